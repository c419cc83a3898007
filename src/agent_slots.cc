#include <utility>
#include <vector>

#include "agent_impl.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kResumeGrace{2'000};

Error ExpiredError() {
  return {ErrorKind::kDeadlineExceeded, Execution::kNotRun,
          "the deadline passed while the request waited; give more time",
          std::nullopt};
}

}  // namespace

void AgentCore::Impl::StartQueued() {
  const auto may_start = [this](const TeamId& team) {
    return slots_.MayStart(team, now_);
  };
  while (std::optional<QueuedWork> work = queue_.Pop(may_start)) {
    if (work->deadline <= now_) {
      RefuseQueued(work->attempt, ExpiredError());
      continue;
    }
    Start(running_.at(work->attempt));
  }
}

void AgentCore::Impl::Start(RunningAttempt& attempt) {
  attempt.started = true;
  slots_.OnStarted(attempt.request.team, now_);
  AttemptRequest request = attempt.request;
  request.deadline = std::chrono::duration_cast<std::chrono::milliseconds>(
      attempt.deadline - now_);
  if (request.kind != RequestKind::kPlain) {
    picture_.OnAttempt(request.attempt, request.chain, request.chain_end_bytes,
                       now_);
  }
  actions_.push_back(ForwardAttempt{std::move(request)});
}

void AgentCore::Impl::Drop(const AttemptId& id) {
  auto it = running_.find(id);
  if (it == running_.end()) return;
  const bool holds_slot = it->second.started && !it->second.ended;
  if (holds_slot) {
    slots_.OnEnded(it->second.request.team);
    drain_.OnEnded(now_);
  }
  replay_buffer_.Erase(id);
  running_.erase(it);
}

void AgentCore::Impl::Cancel(const AttemptId& id) {
  const RunningAttempt* attempt = Running(id);
  if (attempt == nullptr) return;
  if (!attempt->started) queue_.Remove(id);
  const bool at_upstream = attempt->started && !attempt->ended;
  if (at_upstream) actions_.push_back(CancelUpstream{id});
  Drop(id);
}

void AgentCore::Impl::RefuseQueued(const AttemptId& id, const Error& error) {
  memory_.OnNotRun(id);
  Refuse(replay_buffer_.ListenerOf(id), error);
  Drop(id);
}

void AgentCore::Impl::RefuseAllQueued() {
  for (const QueuedWork& work : queue_.TakeAll()) {
    RefuseQueued(work.attempt,
                 {ErrorKind::kDraining, Execution::kNotRun,
                  "the upstream is leaving; use another one", std::nullopt});
  }
}

void AgentCore::Impl::BreakAll(const std::string& reason) {
  std::vector<AttemptId> broken;
  for (const auto& [id, attempt] : running_) {
    if (attempt.started && !attempt.ended) broken.push_back(id);
  }
  for (const AttemptId& id : broken) On(UpstreamFailed{id, true, reason});
}

void AgentCore::Impl::ExpireAttempts() {
  for (const QueuedWork& work : queue_.TakeExpired(now_)) {
    RefuseQueued(
        work.attempt,
        {ErrorKind::kDeadlineExceeded, Execution::kNotRun,
         "the deadline passed while it waited; give more time", std::nullopt});
  }
  std::vector<AttemptId> over;
  for (const auto& [id, attempt] : running_) {
    const bool is_operation = !attempt.request.key.empty();
    const bool late = attempt.deadline <= now_ && !is_operation;
    const bool left = attempt.unwatched_since &&
                      now_ - *attempt.unwatched_since >= kResumeGrace;
    if (attempt.ended ? left : late || (left && !is_operation)) {
      over.push_back(id);
    }
  }
  for (const AttemptId& id : over) Cancel(id);
}

bool AgentCore::Impl::AllAnswered() const {
  for (const auto& [id, attempt] : running_) {
    if (!attempt.ended) return false;
  }
  return true;
}

}  // namespace yuccapick
