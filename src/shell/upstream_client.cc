#include "shell/upstream_client.h"

#include <fmt/format.h>

#include <utility>

#include "yuccapick/engine_protocol.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMaxPollBytes = 4 << 20;
constexpr std::chrono::milliseconds kKeepRetry{1};
constexpr std::chrono::milliseconds kEventRetry{500};
constexpr std::chrono::milliseconds kOrderTimeout{2'000};
constexpr int kUnreachableAfterPolls = 2;
constexpr long kHttpOk = 200;
constexpr long kFirstRedirect = 300;

bool IsOk(const HttpAnswer& answer) {
  return answer.result.status.ok() && answer.result.http_status == kHttpOk;
}

HttpRequest Call(const char* method, std::string url,
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
      keep_timer_(loop),
      load_timer_(loop),
      event_timer_(loop) {}

void UpstreamClient::Start() {
  PollLoad();
  if (options_.kind == UpstreamKind::kModelEngine) PollEvents();
}

void UpstreamClient::Stop() {
  stopped_ = true;
  keep_timer_.cancel();
  load_timer_.cancel();
  event_timer_.cancel();
  for (const auto& [id, exchange] : exchanges_) client_.Cancel(exchange.handle);
  exchanges_.clear();
}

void UpstreamClient::Take(const UpstreamCommand& command) {
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
    return EmitOrKeep(UpstreamFailed{attempt.attempt, false, reason});
  }
  const auto exchange =
      std::make_shared<UpstreamExchange>(attempt, ExchangeOutputs(attempt));
  Exchange& entry = exchanges_[id];
  entry.model = attempt.kind != RequestKind::kPlain;
  entry.handle = client_.Start(*std::move(request), exchange->Callbacks());
}

UpstreamExchange::Outputs UpstreamClient::ExchangeOutputs(
    const AttemptRequest& attempt) {
  const auto weak = weak_from_this();
  const std::string id = attempt.attempt.value;
  UpstreamExchange::Outputs outputs;
  outputs.emit = [weak](AgentEvent event) {
    if (auto self = weak.lock()) self->EmitOrKeep(std::move(event));
  };
  outputs.over = [weak, id] {
    const auto self = weak.lock();
    if (self == nullptr) return;
    const auto node = self->exchanges_.extract(id);
    if (!node.empty()) self->client_.Cancel(node.mapped().handle);
  };
  if (attempt.resume_attempt.empty()) return outputs;
  AttemptRequest anew = attempt;
  anew.resume_attempt = {};
  outputs.not_held = [weak, id, anew = std::move(anew)] {
    const auto self = weak.lock();
    if (self == nullptr || self->exchanges_.erase(id) == 0) return;
    self->On(ForwardAttempt{anew});
  };
  return outputs;
}

void UpstreamClient::On(const CancelUpstream& command) {
  const auto node = exchanges_.extract(command.attempt.value);
  if (node.empty()) return;
  client_.Cancel(node.mapped().handle);
  if (!node.mapped().model) return;
  // Some engines work on when their client goes away.
  client_.Fetch(Call("POST",
                     fmt::format("{}/v1/streams/{}/cancel", options_.url,
                                 command.attempt.value),
                     options_.poll_timeout),
                kMaxPollBytes, [](const HttpAnswer&) {});
}

void UpstreamClient::On(const ForwardOrder& command) {
  HttpRequest request =
      Call("POST", options_.url + "/engine/orders", kOrderTimeout);
  request.headers = {{"content-type", "application/json"}};
  request.body = EngineOrderBody(command.order);
  const std::string id = command.order.id;
  client_.Fetch(std::move(request), kMaxPollBytes,
                [weak = weak_from_this(), id](const HttpAnswer& answer) {
                  const auto self = weak.lock();
                  if (self == nullptr || self->stopped_) return;
                  const HttpResult& result = answer.result;
                  OrderAnswered answered{id, false, {}};
                  answered.accepted = result.status.ok() &&
                                      result.http_status >= kHttpOk &&
                                      result.http_status < kFirstRedirect;
                  if (!result.status.ok()) {
                    answered.reason = result.status.ToString();
                  } else if (!answered.accepted) {
                    answered.reason =
                        fmt::format("the engine answered {}: {}",
                                    result.http_status, answer.body);
                  }
                  self->EmitOrKeep(std::move(answered));
                });
}

void UpstreamClient::On(const SetUpstreamReceiving& command) {
  const auto it = exchanges_.find(command.attempt.value);
  if (it == exchanges_.end()) return;
  it->second.receiving = command.receiving;
  if (!command.receiving) return client_.Pause(it->second.handle);
  if (kept_.empty()) client_.Resume(it->second.handle);
}

void UpstreamClient::PollLoad() {
  client_.Fetch(
      Call("GET", options_.url + "/engine/load", options_.poll_timeout),
      kMaxPollBytes, [weak = weak_from_this()](const HttpAnswer& answer) {
        const auto self = weak.lock();
        if (self == nullptr || self->stopped_) return;
        self->TakeLoad(answer);
        self->After(self->load_timer_, self->options_.poll_interval,
                    &UpstreamClient::PollLoad);
      });
}

void UpstreamClient::TakeLoad(const HttpAnswer& answer) {
  const bool plain = options_.kind != UpstreamKind::kModelEngine;
  absl::StatusOr<UpstreamPolled> polled = absl::UnavailableError("no answer");
  if (IsOk(answer)) polled = ParseEngineLoad(answer.body);
  // A plain service need not report load; any answer shows that it lives.
  if (plain && !polled.ok() && answer.result.status.ok()) {
    polled = UpstreamPolled();
  }
  if (polled.ok()) {
    failed_polls_ = 0;
    return EmitOrKeep(*std::move(polled));
  }
  if (++failed_polls_ >= kUnreachableAfterPolls) {
    EmitOrKeep(UpstreamUnreachable{});
  }
}

void UpstreamClient::PollEvents() {
  client_.Fetch(
      Call(
          "GET",
          fmt::format("{}/engine/events?after={}", options_.url, events_after_),
          options_.event_poll_timeout),
      kMaxPollBytes, [weak = weak_from_this()](const HttpAnswer& answer) {
        const auto self = weak.lock();
        if (self != nullptr && !self->stopped_) {
          self->TakeEvents(answer);
        }
      });
}

void UpstreamClient::TakeEvents(const HttpAnswer& answer) {
  absl::StatusOr<EngineEvents> events = absl::UnavailableError("no answer");
  if (IsOk(answer)) events = ParseEngineEvents(answer.body);
  if (!events.ok()) {
    return After(event_timer_, kEventRetry, &UpstreamClient::PollEvents);
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
    EmitOrKeep(CacheEventsArrived{events->boot_id, std::move(events->events)});
  }
  PollEvents();
}

void UpstreamClient::EmitOrKeep(AgentEvent event) {
  if (stopped_ || (kept_.empty() && emit_(event))) return;
  if (kept_.empty()) SetAllReceiving(false);
  kept_.push_back(std::move(event));
  if (kept_.size() == 1) {
    After(keep_timer_, kKeepRetry, &UpstreamClient::OfferKept);
  }
}

void UpstreamClient::OfferKept() {
  while (!kept_.empty() && emit_(kept_.front())) kept_.pop_front();
  if (kept_.empty()) return SetAllReceiving(true);
  After(keep_timer_, kKeepRetry, &UpstreamClient::OfferKept);
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

void UpstreamClient::After(asio::steady_timer& timer,
                           std::chrono::milliseconds delay,
                           void (UpstreamClient::*step)()) {
  timer.expires_after(delay);
  timer.async_wait([weak = weak_from_this(), step](asio::error_code ec) {
    const auto self = weak.lock();
    if (!ec && self != nullptr && !self->stopped_) (self.get()->*step)();
  });
}

}  // namespace yuccapick
