#include "shell/agent_server.h"

#include <utility>

#include "easylogging++.h"
#include "shell/metrics_server.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kOfferRetry{1};
constexpr std::size_t kRememberedResumptions = 4096;

AgentCoreOptions CoreOptions(const ProcessSettings& settings,
                             Incarnation incarnation) {
  AgentCoreOptions options;
  UpstreamInfo& upstream = options.upstream;
  upstream.id = settings.agent.upstream;
  upstream.kind = settings.agent.kind;
  upstream.domain = settings.domain;
  upstream.region = settings.region;
  upstream.agent_host = settings.link.host;
  upstream.agent_port = settings.link.port;
  upstream.agent_incarnation = incarnation;
  upstream.services = settings.agent.services;
  options.seed = incarnation.value;
  options.max_slots = static_cast<std::uint32_t>(settings.agent.max_running);
  return options;
}

LinkServerOptions LinkOptions(const ProcessSettings& settings) {
  LinkServerOptions options;
  options.listen = settings.link;
  options.secret = settings.secret;
  options.name = settings.instance.value;
  options.tls = settings.link_tls;
  return options;
}

}  // namespace

AgentServer::AgentServer(asio::io_context& loop,
                         const ProcessSettings& settings,
                         Incarnation incarnation, AgentServerOutputs outputs)
    : outputs_(std::move(outputs)),
      core_(CoreOptions(settings, incarnation)),
      links_(LinkServer::Make(loop, LinkOptions(settings))),
      wake_timer_(loop),
      offer_timer_(loop) {}

absl::Status AgentServer::Start() {
  const auto weak = weak_from_this();
  links_->HandlePath("/attempt", [weak](const LinkStreamPtr& stream) {
    if (auto self = weak.lock()) self->TakeAttemptStream(stream);
  });
  links_->HandlePath("/watch", [weak](const LinkStreamPtr& stream) {
    if (auto self = weak.lock()) self->TakeWatchStream(stream);
  });
  links_->HandleCall("order", [weak](const std::string& bytes, CallDone done) {
    if (auto self = weak.lock()) self->TakeOrder(bytes, std::move(done));
  });
  if (absl::Status status = links_->Start(); !status.ok()) return status;
  Handle(Tick{});
  return absl::OkStatus();
}

void AgentServer::Stop() {
  wake_timer_.cancel();
  offer_timer_.cancel();
  links_->Stop();
}

void AgentServer::Leave(std::chrono::milliseconds deadline) {
  LOG(INFO) << "event=leaving upstream=" << core_.Upstream().id.value
            << " deadline_ms=" << deadline.count();
  Handle(UpstreamDrainRequested{deadline});
}

void AgentServer::Handle(const AgentEvent& event) {
  const UpstreamState state = core_.Upstream().state;
  const AgentActions actions =
      core_.Handle(event, std::chrono::steady_clock::now());
  if (core_.Upstream().state != state) {
    LOG(INFO) << "event=upstream_life upstream=" << core_.Upstream().id.value
              << " life=" << static_cast<int>(core_.Upstream().state);
  }
  for (const AgentAction& action : actions) {
    std::visit([this](const auto& typed) { Do(typed); }, action);
  }
}

std::string AgentServer::RenderMetrics() const {
  const LinkServerStats& links = links_->stats();
  const UpstreamInfo& upstream = core_.Upstream();
  std::string out;
  const auto gauge = [&out](std::string_view name, std::uint64_t value) {
    AppendMetric(out, "gauge", name, value);
  };
  const auto counter = [&out](std::string_view name, std::uint64_t value) {
    AppendMetric(out, "counter", name, value);
  };
  gauge("yuccapick_agent_attempts_running", attempts_.size());
  gauge("yuccapick_agent_watchers", watchers_.size());
  gauge("yuccapick_agent_links", links_->connections());
  gauge("yuccapick_agent_upstream_life",
        static_cast<std::uint64_t>(upstream.state));
  counter("yuccapick_agent_attempts_total", stats_.attempts);
  counter("yuccapick_agent_malformed_total", stats_.malformed);
  counter("yuccapick_agent_replies_slowed_total", stats_.replies_slowed);
  counter("yuccapick_agent_reports_skipped_total", stats_.reports_skipped);
  counter("yuccapick_agent_links_accepted_total", links.accepted);
  counter("yuccapick_agent_links_refused_total", links.refused);
  counter("yuccapick_agent_links_unauthenticated_total", links.unauthenticated);
  return out;
}

void AgentServer::TakeAttemptStream(const LinkStreamPtr& stream) {
  const auto weak = weak_from_this();
  const std::weak_ptr<LinkStream> weak_stream = stream;
  // Empty until the request arrived.
  auto id = std::make_shared<AttemptId>();
  LinkStreamHandlers handlers;
  handlers.on_frame = [weak, weak_stream, id](LinkMessageType type,
                                              std::string_view payload) {
    const auto self = weak.lock();
    if (self == nullptr) return true;
    const bool expected =
        id->empty() && type == LinkMessageType::kAttemptRequest;
    if (!expected || !self->TakeAttempt(weak_stream.lock(), payload, *id)) {
      ++self->stats_.malformed;
      weak_stream.lock()->Reset();
      self->AttemptClosed(*id, false);
    }
    return true;
  };
  handlers.on_writable = [weak, id] {
    const auto self = weak.lock();
    if (self == nullptr) return;
    self->SendUpstream(SetUpstreamReceiving{self->UpstreamName(*id), true});
  };
  handlers.on_close = [weak, id](const LinkClose& close) {
    const auto self = weak.lock();
    if (self != nullptr) self->AttemptClosed(*id, close.link_broken);
  };
  stream->SetHandlers(std::move(handlers));
}

bool AgentServer::TakeAttempt(const LinkStreamPtr& stream,
                              std::string_view payload, AttemptId& id) {
  absl::StatusOr<AttemptRequest> request = Decode<AttemptRequest>(payload);
  if (!request.ok() || request->attempt.empty()) return false;
  const bool is_new =
      attempts_.try_emplace(request->attempt.value, stream).second;
  if (!is_new) return false;
  ++stats_.attempts;
  id = request->attempt;
  NoteResumption(*request);
  Handle(AttemptArrived{*std::move(request)});
  return true;
}

void AgentServer::AttemptClosed(const AttemptId& attempt, bool link_broken) {
  const auto node = attempts_.extract(attempt.value);
  if (node.empty()) return;
  // Another attempt may resume the answer, so it must not stay held back.
  if (node.mapped()->congested()) {
    SendUpstream(SetUpstreamReceiving{UpstreamName(attempt), true});
  }
  Handle(AttemptAbandoned{attempt, link_broken});
}

AttemptId AgentServer::UpstreamName(const AttemptId& attempt) const {
  const auto it = resumed_.find(attempt.value);
  return it == resumed_.end() ? attempt : it->second;
}

void AgentServer::NoteResumption(const AttemptRequest& request) {
  if (request.resume_attempt.empty()) return;
  resumed_[request.attempt.value] = UpstreamName(request.resume_attempt);
  resumed_order_.push_back(request.attempt.value);
  if (resumed_order_.size() <= kRememberedResumptions) return;
  resumed_.erase(resumed_order_.front());
  resumed_order_.pop_front();
}

void AgentServer::TakeWatchStream(const LinkStreamPtr& stream) {
  const auto weak = weak_from_this();
  LinkStream* key = stream.get();
  LinkStreamHandlers handlers;
  handlers.on_frame = [weak, key](LinkMessageType type,
                                  std::string_view payload) {
    const auto self = weak.lock();
    if (self && type == LinkMessageType::kWatchRequest) {
      self->TakeWatch(key->shared_from_this(), payload);
    }
    return true;
  };
  handlers.on_writable = [weak, key] {
    const auto self = weak.lock();
    if (self == nullptr) return;
    const auto it = self->watchers_.find(key);
    if (it == self->watchers_.end() || !it->second.needs_full_report) return;
    it->second.needs_full_report = false;
    key->Send(self->core_.FullReport(std::chrono::steady_clock::now()));
  };
  handlers.on_close = [weak, key](const LinkClose&) {
    if (const auto self = weak.lock()) self->watchers_.erase(key);
  };
  stream->SetHandlers(std::move(handlers));
}

void AgentServer::TakeWatch(const LinkStreamPtr& stream,
                            std::string_view payload) {
  absl::StatusOr<WatchRequest> request = Decode<WatchRequest>(payload);
  if (!request.ok()) {
    ++stats_.malformed;
    return;
  }
  outputs_.peer_version(request->config);
  const bool is_new =
      watchers_.try_emplace(stream.get(), Watcher{stream}).second;
  if (is_new) {
    stream->Send(core_.FullReport(std::chrono::steady_clock::now()));
  }
}

void AgentServer::TakeOrder(const std::string& bytes, CallDone done) {
  absl::StatusOr<EngineOrder> order = Decode<EngineOrder>(bytes);
  if (!order.ok()) {
    ++stats_.malformed;
    return done(order.status());
  }
  CallDone& pending = orders_[order->id];
  if (pending) {
    return done(absl::AlreadyExistsError(
        "the order is being carried out; ask again for its result"));
  }
  pending = std::move(done);
  Handle(OrderArrived{*std::move(order)});
}

void AgentServer::Do(const ForwardAttempt& action) {
  resumed_.erase(action.request.attempt.value);
  if (commands_.empty() && outputs_.upstream(action)) return;
  Handle(UpstreamFailed{action.request.attempt, false,
                        "the ring of attempts is full"});
}

void AgentServer::Do(const CancelUpstream& action) { SendUpstream(action); }

void AgentServer::Do(const ForwardOrder& action) { SendUpstream(action); }

template <typename Message>
void AgentServer::Reply(const AttemptId& attempt, const Message& message) {
  const auto it = attempts_.find(attempt.value);
  if (it == attempts_.end()) return;
  const bool was_congested = it->second->congested();
  it->second->Send(message);
  if (was_congested || !it->second->congested()) return;
  ++stats_.replies_slowed;
  SendUpstream(SetUpstreamReceiving{UpstreamName(attempt), false});
}

template <typename Message>
void AgentServer::ReplyLast(const AttemptId& attempt, const Message& message) {
  const auto node = attempts_.extract(attempt.value);
  if (node.empty()) return;
  node.mapped()->Send(message);
  node.mapped()->Finish();
}

void AgentServer::Do(const ReplyHead& action) {
  Reply(action.head.attempt, action.head);
}

void AgentServer::Do(const ReplyChunk& action) {
  Reply(action.chunk.attempt, action.chunk);
}

void AgentServer::Do(const ReplyEnd& action) {
  ReplyLast(action.end.attempt, action.end);
}

void AgentServer::Do(const ReplyFailed& action) {
  ReplyLast(action.failure.attempt, action.failure);
}

void AgentServer::Do(const ReplyOrder& action) {
  const auto node = orders_.extract(action.result.id);
  if (!node.empty()) node.mapped()(Encode(action.result));
}

void AgentServer::Do(const PushReport& action) {
  for (auto& [key, watcher] : watchers_) {
    if (watcher.stream->congested()) {
      watcher.needs_full_report = true;
      ++stats_.reports_skipped;
    } else {
      watcher.stream->Send(action.report);
    }
  }
}

void AgentServer::Do(const CommitTable& action) {
  Handle(TableCommitted{action.command, {}});
}

void AgentServer::Do(const ReadTable& action) {
  Handle(TableRead{action.command, false, {}});
}

void AgentServer::Do(const WakeAt& action) {
  wake_timer_.expires_at(action.when);
  wake_timer_.async_wait([weak = weak_from_this()](asio::error_code ec) {
    const auto self = weak.lock();
    if (!ec && self != nullptr) self->Handle(Tick{});
  });
}

void AgentServer::Do(const DrainComplete& /*action*/) { outputs_.drained(); }

void AgentServer::SendUpstream(UpstreamCommand command) {
  if (commands_.empty() && outputs_.upstream(command)) return;
  commands_.push_back(std::move(command));
  if (commands_.size() == 1) OfferCommands();
}

void AgentServer::OfferCommands() {
  while (!commands_.empty() && outputs_.upstream(commands_.front())) {
    commands_.pop_front();
  }
  if (commands_.empty()) return;
  offer_timer_.expires_after(kOfferRetry);
  offer_timer_.async_wait([weak = weak_from_this()](asio::error_code ec) {
    const auto self = weak.lock();
    if (!ec && self != nullptr) self->OfferCommands();
  });
}

}  // namespace yuccapick
