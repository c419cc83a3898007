#include <fmt/format.h>

#include <vector>

#include "agent_impl.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kRunningRetryAfter{500};

Error MemoryError(OperationMemory::Verdict verdict, const std::string& key) {
  using Verdict = OperationMemory::Verdict;
  switch (verdict) {
    case Verdict::kRunning:
      return {ErrorKind::kOperationInProgress, Execution::kUnknown,
              fmt::format("operation {} is running; ask again", key),
              kRunningRetryAfter};
    case Verdict::kStaleFence:
      return {ErrorKind::kStaleFence, Execution::kNotRun,
              fmt::format("operation {} was taken over; ask again", key),
              kRunningRetryAfter};
    case Verdict::kKeyReused:
      return {
          ErrorKind::kKeyReused, Execution::kUnknown,
          fmt::format("key {} belongs to another request; take a new key", key),
          std::nullopt};
    case Verdict::kFull:
      return {ErrorKind::kOverloaded, Execution::kNotRun,
              "too many operations are remembered here; come back later",
              kRunningRetryAfter};
    default:
      return {ErrorKind::kOutcomeUnknown, Execution::kUnknown,
              fmt::format("operation {} may have run; look into its outcome at "
                          "the service",
                          key),
              std::nullopt};
  }
}

}  // namespace

RunningAttempt* AgentCore::Impl::Running(const AttemptId& attempt) {
  auto it = running_.find(attempt);
  return it == running_.end() ? nullptr : &it->second;
}

void AgentCore::Impl::Refuse(const AttemptId& attempt, const Error& error) {
  const UpstreamInfo& upstream = options_.upstream;
  actions_.push_back(
      ReplyFailed{{attempt, error, upstream.agent_incarnation,
                   upstream.engine_incarnation, gate_.config(), false}});
}

void AgentCore::Impl::On(const AttemptArrived& event) {
  const AttemptRequest& request = event.request;
  const UpstreamInfo& upstream = options_.upstream;
  if (std::optional<Error> error = gate_.CheckAddress(request, upstream)) {
    Refuse(request.attempt, *error);
    return;
  }
  if (!gate_.Remember(request.attempt)) return;
  const bool remembered =
      !request.key.empty() && options_.guards.operation_memory;
  if (remembered) {
    const OperationMemory::Verdict verdict = memory_.Accept(request, now_);
    if (verdict != OperationMemory::Verdict::kPassOn) {
      AnswerFromMemory(request, verdict);
      return;
    }
  }
  if (std::optional<Error> error = gate_.CheckUse(request, upstream)) {
    memory_.OnNotRun(request.attempt);
    Refuse(request.attempt, *error);
    return;
  }
  PassOn(request);
}

void AgentCore::Impl::PassOn(const AttemptRequest& request) {
  running_[request.attempt] = {request, now_ + request.deadline, true};
  if (request.kind != RequestKind::kPlain) {
    picture_.OnAttempt(request.attempt, request.chain, request.chain_end_bytes,
                       now_);
  }
  actions_.push_back(ForwardAttempt{request});
}

void AgentCore::Impl::AnswerFromMemory(const AttemptRequest& request,
                                       OperationMemory::Verdict verdict) {
  const StoredAnswer* answer = memory_.Answer(request);
  const bool answered = verdict == OperationMemory::Verdict::kAnswered;
  if (answered && answer != nullptr && !answer->oversize) {
    ReplayAnswer(request, *answer);
    return;
  }
  Error error = MemoryError(verdict, request.key.value);
  if (answered) error.execution = Execution::kRan;
  const bool full = verdict == OperationMemory::Verdict::kFull;
  if (full && request.take_over) error.execution = Execution::kUnknown;
  Refuse(request.attempt, error);
}

void AgentCore::Impl::ReplayAnswer(const AttemptRequest& request,
                                   const StoredAnswer& answer) {
  actions_.push_back(
      ReplyHead{{request.attempt, answer.status, answer.headers}});
  std::uint64_t position = 0;
  for (const std::string& part : answer.parts) {
    actions_.push_back(ReplyChunk{{request.attempt, position++, part, {}}});
  }
  actions_.push_back(ReplyEnd{{request.attempt, position, {}}});
}

void AgentCore::Impl::On(const AttemptAbandoned& event) {
  auto it = running_.find(event.attempt);
  if (it == running_.end()) return;
  it->second.watched = false;
  if (!it->second.request.key.empty()) return;
  actions_.push_back(CancelUpstream{event.attempt});
  running_.erase(it);
}

void AgentCore::Impl::On(const UpstreamHead& event) {
  RunningAttempt* attempt = Running(event.head.attempt);
  if (attempt == nullptr) return;
  memory_.OnHead(event.head);
  if (attempt->watched) actions_.push_back(ReplyHead{event.head});
}

void AgentCore::Impl::On(const UpstreamChunk& event) {
  RunningAttempt* attempt = Running(event.chunk.attempt);
  if (attempt == nullptr) return;
  memory_.OnChunk(event.chunk);
  if (attempt->watched) actions_.push_back(ReplyChunk{event.chunk});
}

void AgentCore::Impl::On(const UpstreamEnd& event) {
  RunningAttempt* attempt = Running(event.end.attempt);
  if (attempt == nullptr) return;
  memory_.OnEnd(event.end);
  if (attempt->request.kind != RequestKind::kPlain) {
    picture_.OnUsage(event.end.attempt, event.end.usage, now_);
  }
  if (attempt->watched) actions_.push_back(ReplyEnd{event.end});
  running_.erase(event.end.attempt);
}

void AgentCore::Impl::On(const UpstreamFailed& event) {
  RunningAttempt* attempt = Running(event.attempt);
  if (attempt == nullptr) return;
  if (event.sent) {
    memory_.OnBroken(event.attempt);
  } else {
    memory_.OnNotRun(event.attempt);
  }
  Refuse(event.attempt, {ErrorKind::kUpstreamFailed,
                         event.sent ? Execution::kUnknown : Execution::kNotRun,
                         fmt::format("upstream {}: {}; try another one",
                                     options_.upstream.id.value, event.reason),
                         std::nullopt});
  running_.erase(event.attempt);
}

void AgentCore::Impl::BreakAll(const std::string& reason) {
  std::vector<AttemptId> broken;
  for (const auto& [id, attempt] : running_) broken.push_back(id);
  for (const AttemptId& id : broken) On(UpstreamFailed{id, true, reason});
}

void AgentCore::Impl::CancelExpired() {
  std::vector<AttemptId> expired;
  for (const auto& [id, attempt] : running_) {
    const bool repeatable = attempt.request.key.empty();
    if (repeatable && attempt.deadline <= now_) expired.push_back(id);
  }
  for (const AttemptId& id : expired) {
    actions_.push_back(CancelUpstream{id});
    On(UpstreamFailed{id, true, "the deadline passed"});
  }
}

}  // namespace yuccapick
