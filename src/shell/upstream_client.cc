#include "shell/upstream_client.h"

#include <fmt/format.h>

#include <utility>

#include "yuccapick/engine_protocol.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMaxPollBytes = 4 << 20;
constexpr std::chrono::milliseconds kPendingEventRetryInterval{1};
constexpr std::chrono::milliseconds kEventPollRetryDelay{500};
constexpr std::chrono::milliseconds kOrderTimeout{2'000};
constexpr int kFailedPollsUntilUnreachable = 2;
constexpr long kHttpOk = 200;
constexpr long kHttpMultipleChoices = 300;

bool IsOk(const HttpResponse& response) {
  return response.result.status.ok() && response.result.http_status == kHttpOk;
}

HttpRequest MakeRequest(const char* method, std::string url,
                        std::chrono::milliseconds timeout) {
  HttpRequest request;
  request.method = method;
  request.url = std::move(url);
  request.timeouts.total = timeout;
  request.repeatable = true;
  return request;
}

}  // namespace

UpstreamClient::UpstreamClient(asio::io_context& loop,
                               UpstreamClientOptions options, Emit emit)
    : options_(std::move(options)),
      emit_(std::move(emit)),
      client_(loop),
      pending_timer_(loop),
      load_timer_(loop),
      event_timer_(loop) {}

void UpstreamClient::Start() {
  PollLoad();
  if (options_.kind == UpstreamKind::kModelEngine) PollEvents();
}

void UpstreamClient::Stop() {
  stopped_ = true;
  pending_timer_.cancel();
  load_timer_.cancel();
  event_timer_.cancel();
  for (const auto& [id, exchange] : exchanges_) client_.Cancel(exchange.handle);
  exchanges_.clear();
}

void UpstreamClient::Execute(const UpstreamCommand& command) {
  if (stopped_) return;
  std::visit([this](const auto& typed) { On(typed); }, command);
}

void UpstreamClient::On(const ForwardAttempt& command) {
  const AttemptRequest& attempt = command.request;
  const std::string id = attempt.attempt.value;
  absl::StatusOr<HttpRequest> request =
      MakeUpstreamRequest(attempt, options_.url);
  if (!request.ok() || exchanges_.contains(id)) {
    const std::string reason(request.status().message());
    return EmitOrQueue(UpstreamFailed{attempt.attempt, false, reason});
  }
  const auto exchange =
      std::make_shared<UpstreamExchange>(attempt, ExchangeOutputs(attempt));
  Exchange& entry = exchanges_[id];
  entry.is_model = attempt.kind != RequestKind::kPlain;
  entry.handle = client_.Start(*std::move(request), exchange->Callbacks());
}

UpstreamExchange::Outputs UpstreamClient::ExchangeOutputs(
    const AttemptRequest& attempt) {
  const auto weak = weak_from_this();
  const std::string id = attempt.attempt.value;
  UpstreamExchange::Outputs outputs;
  outputs.emit = [weak](AgentEvent event) {
    if (auto self = weak.lock()) self->EmitOrQueue(std::move(event));
  };
  outputs.on_finished = [weak, id] {
    const auto self = weak.lock();
    if (self == nullptr) return;
    const auto node = self->exchanges_.extract(id);
    if (!node.empty()) self->client_.Cancel(node.mapped().handle);
  };
  if (attempt.resume_attempt.empty()) return outputs;
  AttemptRequest restarted_attempt = attempt;
  restarted_attempt.resume_attempt = {};
  outputs.on_resume_unavailable =
      [weak, id, restarted_attempt = std::move(restarted_attempt)] {
        const auto self = weak.lock();
        if (self == nullptr || self->exchanges_.erase(id) == 0) return;
        self->On(ForwardAttempt{restarted_attempt});
      };
  return outputs;
}

void UpstreamClient::On(const CancelUpstream& command) {
  const auto node = exchanges_.extract(command.attempt.value);
  if (node.empty()) return;
  client_.Cancel(node.mapped().handle);
  if (!node.mapped().is_model) return;
  // Some engines continue to generate after their client disconnects.
  client_.Fetch(MakeRequest("POST",
                            fmt::format("{}/v1/streams/{}/cancel", options_.url,
                                        command.attempt.value),
                            options_.poll_timeout),
                kMaxPollBytes, [](const HttpResponse&) {});
}

void UpstreamClient::On(const ForwardOrder& command) {
  HttpRequest request =
      MakeRequest("POST", options_.url + "/engine/orders", kOrderTimeout);
  request.headers = {{"content-type", "application/json"}};
  request.body = EngineOrderBody(command.order);
  const std::string id = command.order.id;
  client_.Fetch(std::move(request), kMaxPollBytes,
                [weak = weak_from_this(), id](const HttpResponse& response) {
                  const auto self = weak.lock();
                  if (self == nullptr || self->stopped_) return;
                  const HttpResult& result = response.result;
                  OrderAnswered answered{id, false, {}};
                  answered.accepted = result.status.ok() &&
                                      result.http_status >= kHttpOk &&
                                      result.http_status < kHttpMultipleChoices;
                  if (!result.status.ok()) {
                    answered.reason = result.status.ToString();
                  } else if (!answered.accepted) {
                    answered.reason =
                        fmt::format("the engine responded with {}: {}",
                                    result.http_status, response.body);
                  }
                  self->EmitOrQueue(std::move(answered));
                });
}

void UpstreamClient::On(const SetUpstreamReceiving& command) {
  const auto it = exchanges_.find(command.attempt.value);
  if (it == exchanges_.end()) return;
  it->second.receiving = command.receiving;
  if (!command.receiving) return client_.Pause(it->second.handle);
  if (pending_.empty()) client_.Resume(it->second.handle);
}

void UpstreamClient::PollLoad() {
  client_.Fetch(
      MakeRequest("GET", options_.url + "/engine/load", options_.poll_timeout),
      kMaxPollBytes, [weak = weak_from_this()](const HttpResponse& response) {
        const auto self = weak.lock();
        if (self == nullptr || self->stopped_) return;
        self->OnLoadResponse(response);
        self->RunAfter(self->load_timer_, self->options_.poll_interval,
                       &UpstreamClient::PollLoad);
      });
}

void UpstreamClient::OnLoadResponse(const HttpResponse& response) {
  const bool is_plain = options_.kind != UpstreamKind::kModelEngine;
  absl::StatusOr<UpstreamPolled> polled = absl::UnavailableError("no response");
  if (IsOk(response)) polled = ParseEngineLoad(response.body);
  // A plain service need not report load; any response shows that it is up.
  if (is_plain && !polled.ok() && response.result.status.ok()) {
    polled = UpstreamPolled();
  }
  if (polled.ok()) {
    failed_polls_ = 0;
    return EmitOrQueue(*std::move(polled));
  }
  if (++failed_polls_ >= kFailedPollsUntilUnreachable) {
    EmitOrQueue(UpstreamUnreachable{});
  }
}

void UpstreamClient::PollEvents() {
  client_.Fetch(
      MakeRequest(
          "GET",
          fmt::format("{}/engine/events?after={}", options_.url, events_after_),
          options_.event_poll_timeout),
      kMaxPollBytes, [weak = weak_from_this()](const HttpResponse& response) {
        const auto self = weak.lock();
        if (self != nullptr && !self->stopped_) {
          self->OnEventsResponse(response);
        }
      });
}

void UpstreamClient::OnEventsResponse(const HttpResponse& response) {
  absl::StatusOr<EngineEvents> events = absl::UnavailableError("no response");
  if (IsOk(response)) events = ParseEngineEvents(response.body);
  if (!events.ok()) {
    return RunAfter(event_timer_, kEventPollRetryDelay,
                    &UpstreamClient::PollEvents);
  }
  const bool restarted =
      !events_boot_id_.empty() && events_boot_id_ != events->boot_id;
  events_boot_id_ = events->boot_id;
  if (restarted) {
    events_after_ = 0;
    return PollEvents();
  }
  events_after_ = events->next_sequence;
  if (!events->events.empty()) {
    EmitOrQueue(CacheEventsArrived{events->boot_id, std::move(events->events)});
  }
  PollEvents();
}

void UpstreamClient::EmitOrQueue(AgentEvent event) {
  if (stopped_ || (pending_.empty() && emit_(event))) return;
  if (pending_.empty()) SetAllReceiving(false);
  pending_.push_back(std::move(event));
  if (pending_.size() == 1) {
    RunAfter(pending_timer_, kPendingEventRetryInterval,
             &UpstreamClient::EmitPending);
  }
}

void UpstreamClient::EmitPending() {
  while (!pending_.empty() && emit_(pending_.front())) pending_.pop_front();
  if (pending_.empty()) return SetAllReceiving(true);
  RunAfter(pending_timer_, kPendingEventRetryInterval,
           &UpstreamClient::EmitPending);
}

void UpstreamClient::SetAllReceiving(bool receiving) {
  for (const auto& [id, exchange] : exchanges_) {
    if (!receiving) {
      client_.Pause(exchange.handle);
    } else if (exchange.receiving) {
      client_.Resume(exchange.handle);
    }
  }
}

void UpstreamClient::RunAfter(asio::steady_timer& timer,
                              std::chrono::milliseconds delay,
                              void (UpstreamClient::*step)()) {
  timer.expires_after(delay);
  timer.async_wait([weak = weak_from_this(), step](asio::error_code ec) {
    const auto self = weak.lock();
    if (!ec && self != nullptr && !self->stopped_) (self.get()->*step)();
  });
}

}  // namespace yuccapick
