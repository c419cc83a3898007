#include "shell/agent_link.h"

#include <fmt/format.h>

#include <utility>

#include "easylogging++.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kCallTimeout{5'000};
constexpr std::chrono::milliseconds kWatchRetryDelay{500};

LinkClientOptions ClientOptions(const AgentLinkContext& context,
                                const UpstreamInfo& upstream) {
  LinkClientOptions options;
  options.peer = {upstream.agent_host, upstream.agent_port};
  options.secret = context.options.secret;
  options.name = context.options.instance.value;
  options.tls = context.tls;
  options.seed =
      context.options.seed ^ std::hash<std::string>()(upstream.id.value);
  return options;
}

}  // namespace

std::shared_ptr<AgentLink> AgentLink::Make(asio::io_context& loop,
                                           AgentLinkContext& context,
                                           UpstreamInfo upstream) {
  return std::shared_ptr<AgentLink>(
      new AgentLink(loop, context, std::move(upstream)));
}

AgentLink::AgentLink(asio::io_context& loop, AgentLinkContext& context,
                     UpstreamInfo upstream)
    : context_(context),
      loop_(loop),
      upstream_(std::move(upstream)),
      watch_timer_(loop) {}

void AgentLink::Start() {
  LinkClientHandlers handlers;
  handlers.on_up = [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr) return;
    self->is_up_ = true;
    ++self->context_.stats.links_up;
    LOG(INFO) << "event=link_up upstream=" << self->upstream_.id.value;
    self->StartWatch();
  };
  handlers.on_down = [weak = weak_from_this()](const absl::Status& status) {
    const auto self = weak.lock();
    if (self == nullptr || !std::exchange(self->is_up_, false)) return;
    ++self->context_.stats.links_lost;
    LOG(WARNING) << "event=link_down upstream=" << self->upstream_.id.value
                 << " reason=\"" << status.message() << '"';
  };
  client_ = LinkClient::Make(loop_, ClientOptions(context_, upstream_),
                             std::move(handlers));
  client_->Start();
}

void AgentLink::Stop() {
  const auto self = shared_from_this();
  watch_timer_.cancel();
  if (client_ != nullptr) client_->Stop();
}

void AgentLink::Send(const AttemptRequest& request) {
  const AttemptId& attempt = request.attempt;
  const std::string payload = Encode(request);
  if (payload.size() >= kMaxFrameBytes) {
    Error error{ErrorKind::kPayloadTooLarge, Execution::kNotRun,
                fmt::format("request of {} bytes is longer than {}; send less",
                            payload.size(), kMaxFrameBytes),
                std::nullopt};
    return context_.emit_or_queue(AttemptFailedArrived{
        upstream_.id,
        {attempt, std::move(error), request.agent_incarnation,
         request.engine_incarnation, request.config}});
  }
  const LinkStreamPtr stream =
      client_->Open("/attempt", AttemptHandlers(attempt));
  if (stream == nullptr) return EmitAttemptLost(attempt, false);
  ++context_.stats.attempts;
  attempts_[attempt.value].stream = stream;
  stream->SendFrame(LinkMessageType::kAttemptRequest, payload);
  stream->Finish();
}

void AgentLink::Cancel(const AttemptId& attempt) {
  const auto it = attempts_.find(attempt.value);
  if (it == attempts_.end()) return;
  const LinkStreamPtr stream = it->second.stream;
  attempts_.erase(it);
  stream->Reset();
}

void AgentLink::SetReceiving(const AttemptId& attempt, bool receiving) {
  const auto it = attempts_.find(attempt.value);
  if (it == attempts_.end()) return;
  it->second.caller_receives = receiving;
  const LinkStreamPtr stream = it->second.stream;
  stream->SetReceiving(receiving);
}

LinkStreamHandlers AgentLink::AttemptHandlers(const AttemptId& attempt) {
  LinkStreamHandlers handlers;
  handlers.on_frame = [weak = weak_from_this(), attempt](
                          LinkMessageType type, std::string_view payload) {
    const auto self = weak.lock();
    return self == nullptr || self->OnAnswerFrame(attempt, type, payload);
  };
  handlers.on_close = [weak = weak_from_this(),
                       attempt](const LinkClose& close) {
    if (const auto self = weak.lock()) self->OnAttemptClosed(attempt, close);
  };
  return handlers;
}

bool AgentLink::OnAnswerFrame(const AttemptId& attempt, LinkMessageType type,
                              std::string_view payload) {
  const UpstreamId& id = upstream_.id;
  switch (type) {
    case LinkMessageType::kAnswerHead:
      return EmitAnswer<AnswerHead>(
          attempt, payload,
          [&](AnswerHead head) {
            return AnswerHeadArrived{id, std::move(head)};
          },
          false);
    case LinkMessageType::kAnswerChunk:
      return EmitAnswer<AnswerChunk>(
          attempt, payload,
          [&](AnswerChunk chunk) {
            return AnswerChunkArrived{id, std::move(chunk)};
          },
          false);
    case LinkMessageType::kAnswerEnd:
      return EmitAnswer<AnswerEnd>(
          attempt, payload,
          [&](AnswerEnd end) {
            return AnswerEndArrived{id, std::move(end)};
          },
          true);
    case LinkMessageType::kAttemptFailed:
      return EmitAnswer<AttemptFailed>(
          attempt, payload,
          [&](AttemptFailed failure) {
            return AttemptFailedArrived{id, std::move(failure)};
          },
          true);
    default:
      RejectAnswer(attempt);
      return true;
  }
}

template <LinkMessage Message, typename Event>
bool AgentLink::EmitAnswer(const AttemptId& attempt, std::string_view payload,
                           Event make_event, bool last) {
  absl::StatusOr<Message> message = Decode<Message>(payload);
  if (!message.ok() || message->attempt != attempt) {
    RejectAnswer(attempt);
    return true;
  }
  if (!context_.try_emit(make_event(*std::move(message)))) return false;
  if (last) attempts_.erase(attempt.value);
  return true;
}

void AgentLink::RejectAnswer(const AttemptId& attempt) {
  Cancel(attempt);
  EmitAttemptLost(attempt, true);
}

void AgentLink::OnAttemptClosed(const AttemptId& attempt,
                                const LinkClose& close) {
  if (attempts_.erase(attempt.value) == 0) return;
  EmitAttemptLost(attempt, close.sent);
}

void AgentLink::EmitAttemptLost(const AttemptId& attempt, bool sent) {
  ++context_.stats.attempts_lost;
  context_.emit_or_queue(AttemptLost{upstream_.id, attempt, sent});
}

void AgentLink::StartWatch() {
  LinkStreamHandlers handlers;
  handlers.on_frame = [weak = weak_from_this()](LinkMessageType type,
                                                std::string_view payload) {
    const auto self = weak.lock();
    return self == nullptr || self->OnReportFrame(type, payload);
  };
  handlers.on_close = [weak = weak_from_this()](const LinkClose&) {
    const auto self = weak.lock();
    if (self == nullptr) return;
    self->watch_.reset();
    self->watch_timer_.expires_after(kWatchRetryDelay);
    self->watch_timer_.async_wait([weak](asio::error_code ec) {
      const auto again = weak.lock();
      if (!ec && again && again->client_->up() && again->watch_ == nullptr) {
        again->StartWatch();
      }
    });
  };
  watch_ = client_->Open("/watch", std::move(handlers));
  SendWatchRequest();
}

void AgentLink::SendWatchRequest() {
  if (watch_ == nullptr) return;
  watch_->Send(WatchRequest{context_.options.instance, context_.config,
                            context_.options.report_interval});
}

bool AgentLink::OnReportFrame(LinkMessageType type, std::string_view payload) {
  if (type != LinkMessageType::kAgentReport) return true;
  absl::StatusOr<AgentReport> report = Decode<AgentReport>(payload);
  // Another agent may have taken over the address.
  if (!report.ok() || report->upstream.id != upstream_.id) {
    ++context_.stats.reports_rejected;
    return true;
  }
  return context_.try_emit(ReportArrived{*std::move(report)});
}

void AgentLink::Order(const EngineOrder& order,
                      std::function<void(absl::StatusOr<OrderResult>)> done) {
  CallDone take_bytes =
      [done = std::move(done)](const absl::StatusOr<std::string>& bytes) {
        if (!bytes.ok()) return done(bytes.status());
        done(Decode<OrderResult>(*bytes));
      };
  client_->Call("order", Encode(order), kCallTimeout, std::move(take_bytes));
}

void AgentLink::Call(const std::string& name, std::string_view bytes,
                     CallDone done) {
  client_->Call(name, bytes, kCallTimeout, std::move(done));
}

void AgentLink::ResumeReceiving() {
  const auto attempts = attempts_;
  for (const auto& [id, attempt] : attempts) {
    if (attempt.caller_receives) attempt.stream->SetReceiving(true);
  }
  const LinkStreamPtr watch = watch_;
  if (watch != nullptr) watch->SetReceiving(true);
}

}  // namespace yuccapick
