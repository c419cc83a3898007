#include <fmt/format.h>

#include <algorithm>

#include "router_impl.h"

namespace yuccapick {
namespace {

constexpr std::uint32_t kMaxAttempts = 4;

Attempt& AttemptIn(Flight& flight, const AttemptId& id) {
  return *std::find_if(flight.attempts.begin(), flight.attempts.end(),
                       [&](const Attempt& it) { return it.id == id; });
}

Error LostError(const UpstreamId& upstream, bool sent) {
  return {ErrorKind::kUpstreamFailed,
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
  switch (flight->answer.Accept(chunk)) {
    case AnswerAssembler::Verdict::kDuplicate:
      return;
    case AnswerAssembler::Verdict::kGap:
      Resume(*flight, chunk.attempt);
      return;
    case AnswerAssembler::Verdict::kDeliver:
      break;
  }
  if (!flight->first_token) {
    flight->first_token = now_;
    placement_.OnFirstToken(chunk.attempt, now_);
  }
  Begin(*flight, attempt);
  actions_.push_back(SendAnswerData{flight->request.id, chunk.data});
}

void RouterCore::Impl::On(const AnswerEndArrived& event) {
  Flight* flight = FlightOf(event.end.attempt, event.upstream);
  if (flight == nullptr) return;
  const Attempt& attempt = AttemptIn(*flight, event.end.attempt);
  if (!attempt.has_head || !flight->answer.IsWhole(event.end.positions)) {
    Resume(*flight, event.end.attempt);
    return;
  }
  Begin(*flight, attempt);
  flight->usage = event.end.usage;
  placement_.OnFinished(event.end.attempt, event.end.usage, now_);
  DropAttempt(*flight, event.end.attempt);
  Complete(*flight);
}

void RouterCore::Impl::On(const AttemptFailedArrived& event) {
  const AttemptFailed& failure = event.failure;
  Flight* flight = FlightOf(failure.attempt, event.upstream);
  if (flight == nullptr) return;
  flight->resume_attempt = {};
  flight->resume_upstream.reset();
  if (failure.resumable) {
    flight->resume_attempt = failure.attempt;
    flight->resume_upstream = event.upstream;
  } else {
    flight->excluded.push_back(event.upstream);
  }
  if (failure.error.kind == ErrorKind::kDraining) {
    upstreams_.MarkLeaving(event.upstream, failure.agent_incarnation);
  }
  OnAttemptOver(*flight, failure.attempt, failure.error);
}

void RouterCore::Impl::On(const AttemptLost& event) {
  Flight* flight = FlightOf(event.attempt, event.upstream);
  if (flight == nullptr) return;
  flight->excluded.push_back(event.upstream);
  flight->resume_attempt = {};
  OnAttemptOver(*flight, event.attempt, LostError(event.upstream, event.sent));
}

void RouterCore::Impl::Resume(Flight& flight, const AttemptId& attempt) {
  const UpstreamId upstream = AttemptIn(flight, attempt).upstream;
  actions_.push_back(CancelAttempt{upstream, attempt});
  flight.excluded.push_back(upstream);
  OnAttemptOver(flight, attempt,
                {ErrorKind::kIncompleteAnswer, Execution::kUnknown,
                 fmt::format("upstream {} left out a part of the answer; send "
                             "the request again",
                             upstream.value),
                 std::nullopt});
}

void RouterCore::Impl::OnAttemptOver(Flight& flight, const AttemptId& id,
                                     const Error& error) {
  placement_.OnFinished(id, std::nullopt, now_);
  DropAttempt(flight, id);
  if (!flight.attempts.empty()) return;
  Retry(flight, error);
}

void RouterCore::Impl::Retry(Flight& flight, const Error& error) {
  const bool plain = flight.request.kind == RequestKind::kPlain;
  const bool spliced = plain && flight.answer.next() > 0;
  const bool repeatable =
      flight.admitted.route.idempotent || error.execution == Execution::kNotRun;
  const bool worth_it = flight.attempts_made < kMaxAttempts &&
                        error.kind != ErrorKind::kBadRequest &&
                        flight.admitted.deadline > now_;
  if (!spliced && repeatable && worth_it) {
    Dispatch(flight);
    return;
  }
  Error last = error;
  if (flight.begun) last.kind = ErrorKind::kIncompleteAnswer;
  Fail(flight, last);
}

}  // namespace yuccapick
