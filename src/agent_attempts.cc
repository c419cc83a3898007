#include <fmt/format.h>

#include <vector>

#include "agent_impl.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kRunningRetryAfter{500};
constexpr std::chrono::milliseconds kQueueRetryAfter{1'000};
constexpr double kCostPerAttempt = 1'000;  // In bytes of body.

Error NotKeptError(const AttemptRequest& request) {
  return {ErrorKind::kIncompleteAnswer, Execution::kUnknown,
          fmt::format("the answer of attempt {} is not kept from position {} "
                      "on; send the request again",
                      request.resume_attempt.value, request.resume_from),
          std::nullopt};
}

Error BrokenOffError(const std::string& key) {
  return {ErrorKind::kIncompleteAnswer, Execution::kRan,
          fmt::format("operation {} ran but its answer broke off; look it up "
                      "at the service",
                      key),
          std::nullopt};
}

Error UnclaimedError(const std::string& key) {
  return {
      ErrorKind::kPlatformUnavailable, Execution::kNotRun,
      fmt::format("key {} is not claimed in the table; claim it first", key),
      std::nullopt};
}

Error FullError(const AttemptRequest& request, FairQueue::PushResult result) {
  const bool own_share = result == FairQueue::PushResult::kTeamFull;
  return {own_share ? ErrorKind::kShareExceeded : ErrorKind::kOverloaded,
          Execution::kNotRun,
          fmt::format("{} requests of team {} wait already; come back later",
                      own_share ? "too many" : "all queues are full and",
                      request.team.value),
          kQueueRetryAfter};
}

Error MemoryError(OperationDedup::Verdict verdict, const std::string& key) {
  using Verdict = OperationDedup::Verdict;
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
  const bool unclaimed =
      !request.key.empty() && !request.claimed && !request.key_generated;
  if (unclaimed && options_.guards.claim) {
    Refuse(request.attempt, UnclaimedError(request.key.value));
    return;
  }
  const bool remembered =
      !request.key.empty() && options_.guards.operation_dedup;
  if (remembered) {
    const OperationDedup::Verdict verdict = memory_.Accept(request, now_);
    if (verdict != OperationDedup::Verdict::kPassOn) {
      AnswerFromMemory(request, verdict);
      return;
    }
  }
  if (ResumeStream(request)) return;
  if (std::optional<Error> error = gate_.CheckUse(request, upstream)) {
    memory_.OnNotRun(request.attempt);
    Refuse(request.attempt, *error);
    return;
  }
  Enqueue(request);
}

bool AgentCore::Impl::ResumeStream(const AttemptRequest& request) {
  if (request.resume_attempt.empty() || !request.key.empty()) return false;
  std::optional<ReplayedAnswer> replay = replay_buffer_.Resume(
      request.resume_attempt, request.attempt, request.resume_from);
  if (!replay) {
    if (const AttemptId* stream =
            replay_buffer_.StreamOf(request.resume_attempt)) {
      Cancel(AttemptId(*stream));
    }
    const bool spliced = request.kind == RequestKind::kPlain;
    if (spliced) Refuse(request.attempt, NotKeptError(request));
    return spliced;
  }
  RunningAttempt& attempt =
      running_.at(*replay_buffer_.StreamOf(request.attempt));
  attempt.unwatched_since.reset();
  if (replay->head) actions_.push_back(ReplyHead{*replay->head});
  for (const AnswerChunk& chunk : replay->chunks) {
    actions_.push_back(ReplyChunk{chunk});
  }
  if (replay->end) actions_.push_back(ReplyEnd{*replay->end});
  return true;
}

void AgentCore::Impl::Enqueue(const AttemptRequest& request) {
  const TeamConfig* team =
      config_ == nullptr ? nullptr : config_->FindTeam(request.team);
  QueuedWork work;
  work.attempt = request.attempt;
  work.team = request.team;
  work.weight = team == nullptr ? 1.0 : team->weight;
  work.cost = kCostPerAttempt + static_cast<double>(request.body.size());
  work.urgent = request.urgent;
  work.deadline = now_ + request.deadline;
  const FairQueue::PushResult result = queue_.Push(work);
  if (result != FairQueue::PushResult::kQueued) {
    memory_.OnNotRun(request.attempt);
    Refuse(request.attempt, FullError(request, result));
    return;
  }
  running_[request.attempt] = {request, work.deadline, false, false, {}};
  replay_buffer_.Start(request.attempt);
  StartQueued();
}

void AgentCore::Impl::AnswerFromMemory(const AttemptRequest& request,
                                       OperationDedup::Verdict verdict) {
  const StoredAnswer* answer = memory_.Answer(request);
  const bool answered = verdict == OperationDedup::Verdict::kAnswered;
  if (answered && answer != nullptr && !answer->partial) {
    ReplayAnswer(request, *answer);
    return;
  }
  Error error = MemoryError(verdict, request.key.value);
  if (answered) error = BrokenOffError(request.key.value);
  const bool full = verdict == OperationDedup::Verdict::kFull;
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
  const AttemptId* name = replay_buffer_.StreamOf(event.attempt);
  if (name == nullptr) return;
  const AttemptId stream = *name;
  if (replay_buffer_.ListenerOf(stream) != event.attempt) return;
  RunningAttempt& attempt = running_.at(stream);
  if (!attempt.started && !event.link_broken) {
    queue_.Remove(stream);
    memory_.OnNotRun(stream);
    Drop(stream);
    return;
  }
  replay_buffer_.StopListening(event.attempt);
  attempt.unwatched_since = now_;
  const bool may_cancel = attempt.request.key.empty();
  if (may_cancel && !event.link_broken) Cancel(stream);
}

void AgentCore::Impl::On(const UpstreamHead& event) {
  if (Running(event.head.attempt) == nullptr) return;
  memory_.OnHead(event.head);
  if (auto head = replay_buffer_.OnHead(event.head)) {
    actions_.push_back(ReplyHead{*std::move(head)});
  }
}

void AgentCore::Impl::On(const UpstreamChunk& event) {
  if (Running(event.chunk.attempt) == nullptr) return;
  memory_.OnChunk(event.chunk);
  if (auto chunk = replay_buffer_.OnChunk(event.chunk)) {
    actions_.push_back(ReplyChunk{*std::move(chunk)});
  }
}

void AgentCore::Impl::On(const UpstreamEnd& event) {
  const AttemptId& id = event.end.attempt;
  RunningAttempt* attempt = Running(id);
  if (attempt == nullptr || attempt->ended) return;
  memory_.OnEnd(event.end);
  if (attempt->request.kind != RequestKind::kPlain) {
    picture_.OnUsage(id, event.end.usage, now_);
  }
  if (auto end = replay_buffer_.OnEnd(event.end)) {
    actions_.push_back(ReplyEnd{*std::move(end)});
  }
  attempt->ended = true;
  attempt->unwatched_since = now_;
  slots_.OnEnded(attempt->request.team);
  drain_.OnEnded(now_);
}

void AgentCore::Impl::On(const UpstreamFailed& event) {
  RunningAttempt* attempt = Running(event.attempt);
  if (attempt == nullptr || attempt->ended) return;
  const bool ran = event.sent && replay_buffer_.HasHead(event.attempt);
  if (event.sent) {
    memory_.OnBroken(event.attempt);
  } else {
    memory_.OnNotRun(event.attempt);
  }
  const bool is_operation = !attempt->request.key.empty();
  Error error{ErrorKind::kUpstreamFailed,
              event.sent ? Execution::kUnknown : Execution::kNotRun,
              fmt::format("upstream {}: {}; try another one",
                          options_.upstream.id.value, event.reason),
              std::nullopt};
  if (ran && is_operation) error = BrokenOffError(attempt->request.key.value);
  Refuse(replay_buffer_.ListenerOf(event.attempt), error);
  Drop(event.attempt);
}

}  // namespace yuccapick
