#include <fmt/format.h>

#include <algorithm>

#include "router_impl.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMaxKeptAnswerBytes = 64 << 10;

Attempt& AttemptIn(Flight& flight, const AttemptId& id) {
  return *std::find_if(flight.attempts.begin(), flight.attempts.end(),
                       [&](const Attempt& it) { return it.id == id; });
}

/// Keeps a part of an operation's answer for repeats.
void KeepPart(OperationClaim& claim, const std::string& data) {
  claim.answer_bytes += data.size();
  if (claim.answer_bytes > kMaxKeptAnswerBytes) {
    claim.answer.partial = true;
    claim.answer.parts.clear();
    return;
  }
  claim.answer.parts.push_back(data);
}

Error LostError(const UpstreamId& upstream, bool sent) {
  return {sent ? ErrorKind::kIncompleteAnswer : ErrorKind::kUpstreamFailed,
          sent ? Execution::kUnknown : Execution::kNotRun,
          fmt::format("the link to upstream {} broke; send the request again",
                      upstream.value),
          std::nullopt};
}

}  // namespace

void RouterCore::Impl::On(const AnswerHeadArrived& event) {
  Flight* flight = FlightOf(event.head.attempt, event.upstream);
  if (flight == nullptr) return;
  Attempt& attempt = AttemptIn(*flight, event.head.attempt);
  attempt.has_head = true;
  attempt.head = event.head;
}

void RouterCore::Impl::Begin(Flight& flight, const Attempt& attempt) {
  if (flight.begun) return;
  flight.begun = true;
  if (flight.operation) {
    flight.operation->answer.status = attempt.head.status;
    flight.operation->answer.headers = attempt.head.headers;
  }
  if (flight.detached) return;
  actions_.push_back(BeginAnswer{flight.request.id, attempt.head.status,
                                 attempt.head.headers});
}

void RouterCore::Impl::On(const AnswerChunkArrived& event) {
  const AnswerChunk& chunk = event.chunk;
  Flight* flight = FlightOf(chunk.attempt, event.upstream);
  if (flight == nullptr) return;
  const Attempt& attempt = AttemptIn(*flight, chunk.attempt);
  if (!attempt.has_head) {
    Resume(*flight, chunk.attempt);
    return;
  }
  AnswerAssembler::Verdict verdict = flight->answer.Accept(chunk);
  if (!options_.guards.positions) verdict = AnswerAssembler::Verdict::kDeliver;
  switch (verdict) {
    case AnswerAssembler::Verdict::kDuplicate:
      return;
    case AnswerAssembler::Verdict::kGap:
      Resume(*flight, chunk.attempt);
      return;
    case AnswerAssembler::Verdict::kDeliver:
      Deliver(*flight, attempt, chunk);
      return;
  }
}

void RouterCore::Impl::Deliver(Flight& flight, const Attempt& attempt,
                               const AnswerChunk& chunk) {
  if (!flight.first_token) {
    flight.first_token = now_;
    placement_.OnFirstToken(chunk.attempt, now_);
    hedge_delays_[flight.request.service].OnFirstToken(
        std::chrono::duration_cast<std::chrono::microseconds>(now_ -
                                                              attempt.sent));
  }
  Begin(flight, attempt);
  CancelLosers(flight, chunk.attempt);
  if (flight.operation) KeepPart(*flight.operation, chunk.data);
  if (flight.detached) return;
  actions_.push_back(SendAnswerData{flight.request.id, chunk.data});
}

void RouterCore::Impl::On(const AnswerEndArrived& event) {
  Flight* flight = FlightOf(event.end.attempt, event.upstream);
  if (flight == nullptr) return;
  const Attempt& attempt = AttemptIn(*flight, event.end.attempt);
  const bool whole = flight->answer.IsWhole(event.end.positions) ||
                     !options_.guards.complete_answer;
  if (!attempt.has_head || !whole) {
    Resume(*flight, event.end.attempt);
    return;
  }
  Begin(*flight, attempt);
  flight->usage = event.end.usage;
  placement_.OnFinished(event.end.attempt, event.end.usage, now_);
  breaker_.OnSuccess(event.upstream);
  DropAttempt(*flight, event.end.attempt);
  if (flight->operation && flight->operation->in_table) {
    flight->operation->answer.complete = true;
    ledger_.Record(flight->operation->id, flight->operation->answer);
  }
  Complete(*flight);
}

void RouterCore::Impl::On(const AttemptFailedArrived& event) {
  const AttemptFailed& failure = event.failure;
  Flight* flight = FlightOf(failure.attempt, event.upstream);
  if (flight == nullptr) return;
  flight->excluded.push_back(event.upstream);
  if (failure.error.kind == ErrorKind::kDraining) {
    upstreams_.MarkLeaving(event.upstream, failure.agent_incarnation);
    placement_.ApplyUpstream(*upstreams_.Find(event.upstream), now_);
  }
  if (failure.error.kind == ErrorKind::kUpstreamFailed) {
    breaker_.OnFailure(event.upstream, now_);
  }
  upstreams_.ObserveIncarnation(event.upstream, failure.agent_incarnation);
  // The agent has noted the token of this claim, so no lower one can run.
  const bool noted = failure.error.kind != ErrorKind::kWrongIncarnation;
  if (flight->operation && noted) flight->operation->take_over = false;
  OnAttemptOver(*flight, failure.attempt, failure.error);
}

void RouterCore::Impl::On(const AttemptLost& event) {
  Flight* flight = FlightOf(event.attempt, event.upstream);
  if (flight == nullptr) return;
  breaker_.OnFailure(event.upstream, now_);
  if (event.sent && TryResume(*flight, event.attempt)) return;
  const bool ask_again = flight->operation && event.sent;
  if (!ask_again) flight->excluded.push_back(event.upstream);
  OnAttemptOver(*flight, event.attempt, LostError(event.upstream, event.sent));
}

void RouterCore::Impl::OnAttemptOver(Flight& flight, const AttemptId& id,
                                     const Error& error) {
  placement_.OnFinished(id, std::nullopt, now_);
  DropAttempt(flight, id);
  if (!flight.attempts.empty()) return;
  if (flight.operation) {
    OnOperationOver(flight, error);
    return;
  }
  Retry(flight, error);
}

}  // namespace yuccapick
