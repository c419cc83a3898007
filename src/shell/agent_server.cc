#include "shell/agent_server.h"

#include <utility>

#include "easylogging++.h"
#include "shell/metrics_server.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kCommandRetryDelay{1};
constexpr std::size_t kMaxResumptions = 4096;

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
      command_retry_timer_(loop) {}

absl::Status AgentServer::Start() {
  const auto weak = weak_from_this();
  links_->HandlePath("/attempt", [weak](const LinkStreamPtr& stream) {
    if (auto self = weak.lock()) self->OnAttemptStream(stream);
  });
  links_->HandlePath("/watch", [weak](const LinkStreamPtr& stream) {
    if (auto self = weak.lock()) self->OnWatchStream(stream);
  });
  links_->HandleCall("order", [weak](const std::string& bytes, CallDone done) {
    if (auto self = weak.lock()) self->OnOrder(bytes, std::move(done));
  });
  if (absl::Status status = links_->Start(); !status.ok()) return status;
  Handle(Tick{});
  return absl::OkStatus();
}

void AgentServer::Stop() {
  wake_timer_.cancel();
  command_retry_timer_.cancel();
  links_->Stop();
}

void AgentServer::Drain(std::chrono::milliseconds deadline) {
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
    std::visit([this](const auto& typed) { Execute(typed); }, action);
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

void AgentServer::OnAttemptStream(const LinkStreamPtr& stream) {
  const auto weak = weak_from_this();
  const std::weak_ptr<LinkStream> weak_stream = stream;
  // Empty until the request arrives.
  auto id = std::make_shared<AttemptId>();
  LinkStreamHandlers handlers;
  handlers.on_frame = [weak, weak_stream, id](LinkMessageType type,
                                              std::string_view payload) {
    const auto self = weak.lock();
    if (self == nullptr) return true;
    const bool expected =
        id->empty() && type == LinkMessageType::kAttemptRequest;
    if (!expected || !self->StartAttempt(weak_stream.lock(), payload, *id)) {
      ++self->stats_.malformed;
      weak_stream.lock()->Reset();
      self->OnAttemptClosed(*id, false);
    }
    return true;
  };
  handlers.on_writable = [weak, id] {
    const auto self = weak.lock();
    if (self == nullptr) return;
    self->SendUpstream(SetUpstreamReceiving{self->UpstreamAttempt(*id), true});
  };
  handlers.on_close = [weak, id](const LinkClose& close) {
    const auto self = weak.lock();
    if (self != nullptr) self->OnAttemptClosed(*id, close.link_broken);
  };
  stream->SetHandlers(std::move(handlers));
}

bool AgentServer::StartAttempt(const LinkStreamPtr& stream,
                               std::string_view payload, AttemptId& id) {
  absl::StatusOr<AttemptRequest> request = Decode<AttemptRequest>(payload);
  if (!request.ok() || request->attempt.empty()) return false;
  const bool is_new =
      attempts_.try_emplace(request->attempt.value, stream).second;
  if (!is_new) return false;
  ++stats_.attempts;
  id = request->attempt;
  RecordResumption(*request);
  Handle(AttemptArrived{*std::move(request)});
  return true;
}

void AgentServer::OnAttemptClosed(const AttemptId& attempt, bool link_broken) {
  const auto node = attempts_.extract(attempt.value);
  if (node.empty()) return;
  // Another attempt may resume the answer, so receiving must not stay paused.
  if (node.mapped()->congested()) {
    SendUpstream(SetUpstreamReceiving{UpstreamAttempt(attempt), true});
  }
  Handle(AttemptAbandoned{attempt, link_broken});
}

AttemptId AgentServer::UpstreamAttempt(const AttemptId& attempt) const {
  const auto it = upstream_attempts_.find(attempt.value);
  return it == upstream_attempts_.end() ? attempt : it->second;
}

void AgentServer::RecordResumption(const AttemptRequest& request) {
  if (request.resume_attempt.empty()) return;
  upstream_attempts_[request.attempt.value] =
      UpstreamAttempt(request.resume_attempt);
  resumption_order_.push_back(request.attempt.value);
  if (resumption_order_.size() <= kMaxResumptions) return;
  upstream_attempts_.erase(resumption_order_.front());
  resumption_order_.pop_front();
}

void AgentServer::OnWatchStream(const LinkStreamPtr& stream) {
  const auto weak = weak_from_this();
  LinkStream* key = stream.get();
  LinkStreamHandlers handlers;
  handlers.on_frame = [weak, key](LinkMessageType type,
                                  std::string_view payload) {
    const auto self = weak.lock();
    if (self && type == LinkMessageType::kWatchRequest) {
      self->OnWatchRequest(key->shared_from_this(), payload);
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

void AgentServer::OnWatchRequest(const LinkStreamPtr& stream,
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

void AgentServer::OnOrder(const std::string& bytes, CallDone done) {
  absl::StatusOr<EngineOrder> order = Decode<EngineOrder>(bytes);
  if (!order.ok()) {
    ++stats_.malformed;
    return done(order.status());
  }
  CallDone& pending = orders_[order->id];
  if (pending) {
    return done(absl::AlreadyExistsError(
        "the order is in progress; ask again for its result"));
  }
  pending = std::move(done);
  Handle(OrderArrived{*std::move(order)});
}

void AgentServer::Execute(const ForwardAttempt& action) {
  upstream_attempts_.erase(action.request.attempt.value);
  if (pending_commands_.empty() && outputs_.upstream(action)) return;
  Handle(UpstreamFailed{action.request.attempt, false,
                        "the agent's command queue is full"});
}

void AgentServer::Execute(const CancelUpstream& action) {
  SendUpstream(action);
}

void AgentServer::Execute(const ForwardOrder& action) { SendUpstream(action); }

template <typename Message>
void AgentServer::Reply(const AttemptId& attempt, const Message& message) {
  const auto it = attempts_.find(attempt.value);
  if (it == attempts_.end()) return;
  const bool was_congested = it->second->congested();
  it->second->Send(message);
  if (was_congested || !it->second->congested()) return;
  ++stats_.replies_slowed;
  SendUpstream(SetUpstreamReceiving{UpstreamAttempt(attempt), false});
}

template <typename Message>
void AgentServer::FinishReply(const AttemptId& attempt,
                              const Message& message) {
  const auto node = attempts_.extract(attempt.value);
  if (node.empty()) return;
  node.mapped()->Send(message);
  node.mapped()->Finish();
}

void AgentServer::Execute(const ReplyHead& action) {
  Reply(action.head.attempt, action.head);
}

void AgentServer::Execute(const ReplyChunk& action) {
  Reply(action.chunk.attempt, action.chunk);
}

void AgentServer::Execute(const ReplyEnd& action) {
  FinishReply(action.end.attempt, action.end);
}

void AgentServer::Execute(const ReplyFailed& action) {
  FinishReply(action.failure.attempt, action.failure);
}

void AgentServer::Execute(const ReplyOrder& action) {
  const auto node = orders_.extract(action.result.id);
  if (!node.empty()) node.mapped()(Encode(action.result));
}

void AgentServer::Execute(const PushReport& action) {
  for (auto& [key, watcher] : watchers_) {
    if (watcher.stream->congested()) {
      watcher.needs_full_report = true;
      ++stats_.reports_skipped;
    } else {
      watcher.stream->Send(action.report);
    }
  }
}

void AgentServer::Execute(const CommitTable& action) {
  Handle(TableCommitted{action.command, {}});
}

void AgentServer::Execute(const ReadTable& action) {
  Handle(TableRead{action.command, false, {}});
}

void AgentServer::Execute(const WakeAt& action) {
  wake_timer_.expires_at(action.when);
  wake_timer_.async_wait([weak = weak_from_this()](asio::error_code ec) {
    const auto self = weak.lock();
    if (!ec && self != nullptr) self->Handle(Tick{});
  });
}

void AgentServer::Execute(const DrainComplete& /*action*/) {
  outputs_.drained();
}

void AgentServer::SendUpstream(UpstreamCommand command) {
  if (pending_commands_.empty() && outputs_.upstream(command)) return;
  pending_commands_.push_back(std::move(command));
  if (pending_commands_.size() == 1) FlushCommands();
}

void AgentServer::FlushCommands() {
  while (!pending_commands_.empty() &&
         outputs_.upstream(pending_commands_.front())) {
    pending_commands_.pop_front();
  }
  if (pending_commands_.empty()) return;
  command_retry_timer_.expires_after(kCommandRetryDelay);
  command_retry_timer_.async_wait(
      [weak = weak_from_this()](asio::error_code ec) {
        const auto self = weak.lock();
        if (!ec && self != nullptr) self->FlushCommands();
      });
}

}  // namespace yuccapick
