#include <fmt/format.h>

#include <algorithm>

#include "router_impl.h"

namespace yuccapick {
namespace {

constexpr std::uint32_t kMaxAttempts = 4;
constexpr std::uint32_t kMaxResumes = 3;
constexpr std::chrono::milliseconds kRetryBaseDelay{20};
constexpr std::chrono::milliseconds kMaxRetryDelay{1'000};

enum class RetryClass : std::uint8_t {
  kNever,        ///< Whether to repeat it is up to the caller.
  kImmediate,    ///< The upstream did no work; another may serve it.
  kWithBackoff,  ///< Work was spent, or upstreams are overloaded.
};

RetryClass ClassOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kWrongIncarnation:
    case ErrorKind::kStaleConfig:
    case ErrorKind::kDraining:
    case ErrorKind::kNoUpstream:
    case ErrorKind::kNotReady:
      return RetryClass::kImmediate;
    case ErrorKind::kUpstreamFailed:
    case ErrorKind::kIncompleteAnswer:
    case ErrorKind::kOverloaded:
    case ErrorKind::kConflict:
      return RetryClass::kWithBackoff;
    default:
      return RetryClass::kNever;
  }
}

Error MissingPartError(const UpstreamId& upstream) {
  return {ErrorKind::kIncompleteAnswer, Execution::kUnknown,
          fmt::format("a part of the answer of upstream {} is missing; send "
                      "the request again",
                      upstream.value),
          std::nullopt};
}

/// Budget for continuing begun answers. It holds all streams of one engine, as
/// a crash breaks them at once. Each continues work that was already accepted,
/// so it does not amplify an overload.
constexpr RetryBudgetOptions kContinuationBudget{1.0, 1'024.0};

}  // namespace

RetryBudget& RouterCore::Impl::RetryBudgetOf(const ServiceId& service) {
  return retry_budgets_[service];
}

RetryBudget& RouterCore::Impl::ContinuationBudgetOf(const ServiceId& service) {
  return continuation_budgets_.try_emplace(service, kContinuationBudget)
      .first->second;
}

std::vector<UpstreamId> RouterCore::Impl::AvoidedUpstreams(
    const ActiveRequest& active) const {
  const UpstreamKind kind = active.request.kind == RequestKind::kPlain
                                ? UpstreamKind::kPlainService
                                : UpstreamKind::kModelEngine;
  std::vector<UpstreamId> avoided = active.excluded;
  for (UpstreamId& id : breaker_.Ejected(upstreams_.CountLive(kind), now_)) {
    avoided.push_back(std::move(id));
  }
  return avoided;
}

void RouterCore::Impl::Retry(ActiveRequest& active, const Error& error) {
  const bool plain = active.request.kind == RequestKind::kPlain;
  const bool partly_delivered = plain && active.answer.next() > 0;
  const RetryClass retry = ClassOf(error.kind);
  const bool may_retry = !partly_delivered && retry != RetryClass::kNever &&
                         active.attempts_made < kMaxAttempts;
  if (may_retry && retry == RetryClass::kImmediate) {
    Dispatch(active);
    return;
  }
  if (may_retry && active.answer_begun &&
      ContinuationBudgetOf(active.request.service).TryAcquire()) {
    Dispatch(active);
    return;
  }
  if (may_retry && RetryBudgetOf(active.request.service).TryAcquire()) {
    const auto ceiling =
        std::min(kMaxRetryDelay, kRetryBaseDelay * (1 << active.attempts_made));
    active.retry_at = Jittered(ceiling);
    timers_.Arm(active.request.id, *active.retry_at);
    return;
  }
  Error last = error;
  if (active.answer_begun) last.kind = ErrorKind::kIncompleteAnswer;
  Fail(active, last);
}

bool RouterCore::Impl::TryResume(ActiveRequest& active, const AttemptId& id) {
  if (active.operation || active.resume_count >= kMaxResumes) return false;
  auto it = std::find_if(active.attempts.begin(), active.attempts.end(),
                         [&](const Attempt& a) { return a.id == id; });
  const Attempt previous = *it;
  const UpstreamInfo* upstream = upstreams_.Find(previous.upstream);
  const bool same_incarnation =
      upstream != nullptr &&
      upstream->agent_incarnation == previous.agent_incarnation &&
      !upstreams_.HasEnded(previous.upstream, previous.agent_incarnation);
  if (!same_incarnation) return false;
  ++active.resume_count;
  placement_.OnFinished(id, std::nullopt, now_);
  EraseAttempt(active, id);
  Attempt attempt;
  attempt.id = NextAttemptId();
  attempt.upstream = previous.upstream;
  attempt.agent_incarnation = previous.agent_incarnation;
  attempt.engine_incarnation = previous.engine_incarnation;
  attempt.resumed_attempt = id;
  Send(active, std::move(attempt));
  return true;
}

void RouterCore::Impl::Resume(ActiveRequest& active, const AttemptId& id) {
  if (TryResume(active, id)) return;
  auto it = std::find_if(active.attempts.begin(), active.attempts.end(),
                         [&](const Attempt& a) { return a.id == id; });
  const UpstreamId upstream = it->upstream;
  actions_.push_back(CancelAttempt{upstream, id});
  if (!active.operation) active.excluded.push_back(upstream);
  OnAttemptEnded(active, id, MissingPartError(upstream));
}

void RouterCore::Impl::ScheduleHedge(ActiveRequest& active) {
  active.hedge_at = now_ + hedge_delays_[active.request.service].Get();
  timers_.Arm(active.request.id, *active.hedge_at);
}

void RouterCore::Impl::Hedge(ActiveRequest& active) {
  active.hedge_at.reset();
  const bool awaiting_first_token =
      active.attempts.size() == 1 && !active.first_token_at;
  if (!awaiting_first_token || active.attempts_made >= kMaxAttempts) return;
  std::vector<UpstreamId> avoided = AvoidedUpstreams(active);
  avoided.push_back(active.attempts.front().upstream);
  std::optional<Attempt> attempt = ChooseUpstreamExcept(active, avoided);
  if (!attempt || !RetryBudgetOf(active.request.service).TryAcquire()) return;
  Send(active, *std::move(attempt));
}

void RouterCore::Impl::CancelOtherAttempts(ActiveRequest& active,
                                           const AttemptId& kept) {
  std::vector<AttemptId> others;
  for (const Attempt& attempt : active.attempts) {
    if (attempt.id != kept) others.push_back(attempt.id);
  }
  for (const AttemptId& id : others) {
    auto it = std::find_if(active.attempts.begin(), active.attempts.end(),
                           [&](const Attempt& a) { return a.id == id; });
    actions_.push_back(CancelAttempt{it->upstream, id});
    placement_.OnFinished(id, std::nullopt, now_);
    EraseAttempt(active, id);
  }
}

}  // namespace yuccapick
