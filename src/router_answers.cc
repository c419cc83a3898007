#include <fmt/format.h>

#include <algorithm>

#include "router_impl.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMaxStoredAnswerBytes = 64 << 10;

Attempt& FindAttempt(ActiveRequest& active, const AttemptId& id) {
  return *std::find_if(active.attempts.begin(), active.attempts.end(),
                       [&](const Attempt& it) { return it.id == id; });
}

/// Stores a part of an operation's answer for repeated requests; discards all
/// parts once they exceed the limit.
void StorePart(OperationClaim& claim, const std::string& data) {
  claim.answer_bytes += data.size();
  if (claim.answer_bytes > kMaxStoredAnswerBytes) {
    claim.answer.partial = true;
    claim.answer.parts.clear();
    return;
  }
  claim.answer.parts.push_back(data);
}

Error LinkBrokenError(const UpstreamId& upstream, bool sent) {
  return {sent ? ErrorKind::kIncompleteAnswer : ErrorKind::kUpstreamFailed,
          sent ? Execution::kUnknown : Execution::kNotRun,
          fmt::format("the link to upstream {} broke; send the request again",
                      upstream.value),
          std::nullopt};
}

}  // namespace

void RouterCore::Impl::On(const AnswerHeadArrived& event) {
  ActiveRequest* active = FindActive(event.head.attempt, event.upstream);
  if (active == nullptr) return;
  Attempt& attempt = FindAttempt(*active, event.head.attempt);
  attempt.has_head = true;
  attempt.head = event.head;
}

void RouterCore::Impl::Begin(ActiveRequest& active, const Attempt& attempt) {
  if (active.answer_begun) return;
  active.answer_begun = true;
  if (active.operation) {
    active.operation->answer.status = attempt.head.status;
    active.operation->answer.headers = attempt.head.headers;
  }
  if (active.detached) return;
  actions_.push_back(BeginAnswer{active.request.id, attempt.head.status,
                                 attempt.head.headers});
}

void RouterCore::Impl::On(const AnswerChunkArrived& event) {
  const AnswerChunk& chunk = event.chunk;
  ActiveRequest* active = FindActive(chunk.attempt, event.upstream);
  if (active == nullptr) return;
  const Attempt& attempt = FindAttempt(*active, chunk.attempt);
  if (!attempt.has_head) {
    Resume(*active, chunk.attempt);
    return;
  }
  AnswerAssembler::Verdict verdict = active->answer.Accept(chunk);
  if (!options_.guards.positions) verdict = AnswerAssembler::Verdict::kDeliver;
  switch (verdict) {
    case AnswerAssembler::Verdict::kDuplicate:
      return;
    case AnswerAssembler::Verdict::kGap:
      Resume(*active, chunk.attempt);
      return;
    case AnswerAssembler::Verdict::kDeliver:
      Deliver(*active, attempt, chunk);
      return;
  }
}

void RouterCore::Impl::Deliver(ActiveRequest& active, const Attempt& attempt,
                               const AnswerChunk& chunk) {
  if (!active.first_token_at) {
    active.first_token_at = now_;
    placement_.OnFirstToken(chunk.attempt, now_);
    hedge_delays_[active.request.service].OnFirstToken(
        std::chrono::duration_cast<std::chrono::microseconds>(now_ -
                                                              attempt.sent_at));
  }
  Begin(active, attempt);
  CancelOtherAttempts(active, chunk.attempt);
  if (active.operation) StorePart(*active.operation, chunk.data);
  if (active.detached) return;
  actions_.push_back(SendAnswerData{active.request.id, chunk.data});
}

void RouterCore::Impl::On(const AnswerEndArrived& event) {
  ActiveRequest* active = FindActive(event.end.attempt, event.upstream);
  if (active == nullptr) return;
  const Attempt& attempt = FindAttempt(*active, event.end.attempt);
  const bool whole = active->answer.IsWhole(event.end.positions) ||
                     !options_.guards.complete_answer;
  if (!attempt.has_head || !whole) {
    Resume(*active, event.end.attempt);
    return;
  }
  Begin(*active, attempt);
  active->usage = event.end.usage;
  placement_.OnFinished(event.end.attempt, event.end.usage, now_);
  breaker_.OnSuccess(event.upstream);
  EraseAttempt(*active, event.end.attempt);
  if (active->operation && active->operation->in_table) {
    active->operation->answer.complete = true;
    ledger_.Record(active->operation->id, active->operation->answer);
  }
  Complete(*active);
}

void RouterCore::Impl::On(const AttemptFailedArrived& event) {
  const AttemptFailed& failure = event.failure;
  ActiveRequest* active = FindActive(failure.attempt, event.upstream);
  if (active == nullptr) return;
  active->excluded.push_back(event.upstream);
  if (failure.error.kind == ErrorKind::kDraining) {
    upstreams_.MarkLeaving(event.upstream, failure.agent_incarnation);
    placement_.ApplyUpstream(*upstreams_.Find(event.upstream), now_);
  }
  if (failure.error.kind == ErrorKind::kUpstreamFailed) {
    breaker_.OnFailure(event.upstream, now_);
  }
  upstreams_.ObserveIncarnation(event.upstream, failure.agent_incarnation);
  // Any other refusal comes from the agent that recorded this claim's token, so
  // that no attempt with a lower token can run.
  const bool token_recorded =
      failure.error.kind != ErrorKind::kWrongIncarnation;
  if (active->operation && token_recorded) active->operation->take_over = false;
  OnAttemptEnded(*active, failure.attempt, failure.error);
}

void RouterCore::Impl::On(const AttemptLost& event) {
  ActiveRequest* active = FindActive(event.attempt, event.upstream);
  if (active == nullptr) return;
  breaker_.OnFailure(event.upstream, now_);
  if (event.sent && TryResume(*active, event.attempt)) return;
  const bool retry_same_upstream = active->operation && event.sent;
  if (!retry_same_upstream) active->excluded.push_back(event.upstream);
  OnAttemptEnded(*active, event.attempt,
                 LinkBrokenError(event.upstream, event.sent));
}

void RouterCore::Impl::OnAttemptEnded(ActiveRequest& active,
                                      const AttemptId& id, const Error& error) {
  placement_.OnFinished(id, std::nullopt, now_);
  EraseAttempt(active, id);
  if (!active.attempts.empty()) return;
  if (active.operation) {
    OnOperationAttemptEnded(active, error);
    return;
  }
  Retry(active, error);
}

}  // namespace yuccapick
