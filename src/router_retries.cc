#include <fmt/format.h>

#include <algorithm>

#include "router_impl.h"

namespace yuccapick {
namespace {

constexpr std::uint32_t kMaxAttempts = 4;
constexpr std::uint32_t kMaxResumes = 3;
constexpr std::chrono::milliseconds kRetryBase{20};
constexpr std::chrono::milliseconds kRetryMax{1'000};

enum class RetryClass : std::uint8_t {
  kNever,    ///< The caller's matter.
  kAtOnce,   ///< The upstream did no work; another one may.
  kBackOff,  ///< It cost work, or the fleet is loaded.
};

RetryClass ClassOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kWrongIncarnation:
    case ErrorKind::kStaleConfig:
    case ErrorKind::kDraining:
    case ErrorKind::kNoUpstream:
    case ErrorKind::kNotReady:
      return RetryClass::kAtOnce;
    case ErrorKind::kUpstreamFailed:
    case ErrorKind::kIncompleteAnswer:
    case ErrorKind::kOverloaded:
    case ErrorKind::kConflict:
      return RetryClass::kBackOff;
    default:
      return RetryClass::kNever;
  }
}

Error GapError(const UpstreamId& upstream) {
  return {ErrorKind::kIncompleteAnswer, Execution::kUnknown,
          fmt::format("upstream {} left out a part of the answer; send the "
                      "request again",
                      upstream.value),
          std::nullopt};
}

/// A crash breaks all streams of an engine at once; each should go on. Callers
/// have seen their beginnings, so this does not feed an overload.
constexpr RetryBudgetOptions kContinuations{1.0, 1'024.0};

}  // namespace

RetryBudget& RouterCore::Impl::BudgetOf(const ServiceId& service) {
  return budgets_[service];
}

RetryBudget& RouterCore::Impl::ContinuationsOf(const ServiceId& service) {
  return continuations_.try_emplace(service, kContinuations).first->second;
}

std::vector<UpstreamId> RouterCore::Impl::Avoided(const Flight& flight) const {
  const UpstreamKind kind = flight.request.kind == RequestKind::kPlain
                                ? UpstreamKind::kPlainService
                                : UpstreamKind::kModelEngine;
  std::vector<UpstreamId> avoided = flight.excluded;
  for (UpstreamId& id : breaker_.Ejected(upstreams_.CountLive(kind), now_)) {
    avoided.push_back(std::move(id));
  }
  return avoided;
}

void RouterCore::Impl::Retry(Flight& flight, const Error& error) {
  const bool plain = flight.request.kind == RequestKind::kPlain;
  const bool spliced = plain && flight.answer.next() > 0;
  const RetryClass retry = ClassOf(error.kind);
  const bool may_retry = !spliced && retry != RetryClass::kNever &&
                         flight.attempts_made < kMaxAttempts;
  if (may_retry && retry == RetryClass::kAtOnce) {
    Dispatch(flight);
    return;
  }
  if (may_retry && flight.begun &&
      ContinuationsOf(flight.request.service).TryAcquire()) {
    Dispatch(flight);
    return;
  }
  if (may_retry && BudgetOf(flight.request.service).TryAcquire()) {
    const auto ceiling =
        std::min(kRetryMax, kRetryBase * (1 << flight.attempts_made));
    flight.retry_at = Jittered(ceiling);
    timers_.Arm(flight.request.id, *flight.retry_at);
    return;
  }
  Error last = error;
  if (flight.begun) last.kind = ErrorKind::kIncompleteAnswer;
  Fail(flight, last);
}

bool RouterCore::Impl::TryResume(Flight& flight, const AttemptId& id) {
  if (flight.operation || flight.resumes >= kMaxResumes) return false;
  auto it = std::find_if(flight.attempts.begin(), flight.attempts.end(),
                         [&](const Attempt& a) { return a.id == id; });
  const Attempt broken = *it;
  const UpstreamInfo* upstream = upstreams_.Find(broken.upstream);
  const bool same_life =
      upstream != nullptr &&
      upstream->agent_incarnation == broken.agent_incarnation &&
      !upstreams_.HasEnded(broken.upstream, broken.agent_incarnation);
  if (!same_life) return false;
  ++flight.resumes;
  placement_.OnFinished(id, std::nullopt, now_);
  DropAttempt(flight, id);
  Attempt attempt;
  attempt.id = NextAttemptId();
  attempt.upstream = broken.upstream;
  attempt.agent_incarnation = broken.agent_incarnation;
  attempt.engine_incarnation = broken.engine_incarnation;
  attempt.resumes = id;
  Send(flight, std::move(attempt));
  return true;
}

void RouterCore::Impl::Resume(Flight& flight, const AttemptId& id) {
  if (TryResume(flight, id)) return;
  auto it = std::find_if(flight.attempts.begin(), flight.attempts.end(),
                         [&](const Attempt& a) { return a.id == id; });
  const UpstreamId upstream = it->upstream;
  actions_.push_back(CancelAttempt{upstream, id});
  if (!flight.operation) flight.excluded.push_back(upstream);
  OnAttemptOver(flight, id, GapError(upstream));
}

void RouterCore::Impl::PlanHedge(Flight& flight) {
  flight.hedge_at = now_ + hedge_delays_[flight.request.service].Get();
  timers_.Arm(flight.request.id, *flight.hedge_at);
}

void RouterCore::Impl::Hedge(Flight& flight) {
  flight.hedge_at.reset();
  const bool waits = flight.attempts.size() == 1 && !flight.first_token;
  if (!waits || flight.attempts_made >= kMaxAttempts) return;
  std::vector<UpstreamId> avoided = Avoided(flight);
  avoided.push_back(flight.attempts.front().upstream);
  std::optional<Attempt> attempt = ChooseAvoiding(flight, avoided);
  if (!attempt || !BudgetOf(flight.request.service).TryAcquire()) return;
  Send(flight, *std::move(attempt));
}

void RouterCore::Impl::CancelLosers(Flight& flight, const AttemptId& winner) {
  std::vector<AttemptId> losers;
  for (const Attempt& attempt : flight.attempts) {
    if (attempt.id != winner) losers.push_back(attempt.id);
  }
  for (const AttemptId& id : losers) {
    auto it = std::find_if(flight.attempts.begin(), flight.attempts.end(),
                           [&](const Attempt& a) { return a.id == id; });
    actions_.push_back(CancelAttempt{it->upstream, id});
    placement_.OnFinished(id, std::nullopt, now_);
    DropAttempt(flight, id);
  }
}

}  // namespace yuccapick
