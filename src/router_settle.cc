#include <fmt/format.h>

#include <algorithm>

#include "router_impl.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kOutcomeCheckBaseDelay{50};
constexpr std::chrono::milliseconds kMaxOutcomeCheckDelay{2'000};
constexpr std::chrono::milliseconds kDetachedTimeout{60'000};
constexpr std::chrono::milliseconds kAbsentUpstreamTimeout{10'000};
constexpr std::chrono::milliseconds kInProgressRetryAfter{500};
constexpr std::chrono::milliseconds kClaimTimeout{5'000};
constexpr std::uint32_t kMaxOutcomeCheckShift = 6;
constexpr std::uint32_t kMaxOperationAttempts = 4;

}  // namespace

bool RouterCore::Impl::TargetEnded(const ClaimTarget& target) const {
  const UpstreamInfo* upstream = upstreams_.Find(target.upstream);
  if (upstream != nullptr) {
    return upstreams_.HasEnded(target.upstream, target.agent_incarnation);
  }
  return first_upstream_view_at_ &&
         now_ - *first_upstream_view_at_ >= kAbsentUpstreamTimeout;
}

void RouterCore::Impl::OnOperationAttemptEnded(ActiveRequest& active,
                                               const Error& error) {
  OperationClaim& claim = *active.operation;
  const bool sole_claim = !claim.take_over || !options_.guards.sole_claim;
  if (error.execution == Execution::kNotRun) {
    const bool refused_by_fence = error.kind == ErrorKind::kStaleFence;
    if (!refused_by_fence && sole_claim) {
      claim.may_have_run = false;
      RetryOperationElsewhere(active, error);
      return;
    }
  }
  if (error.kind == ErrorKind::kKeyReused) {
    Fail(active, error);
    return;
  }
  if (error.execution == Execution::kRan) {
    Fail(active, error);
    return;
  }
  if (error.kind == ErrorKind::kOutcomeUnknown ||
      error.kind == ErrorKind::kUpstreamFailed) {
    if (claim.in_table) ledger_.RecordUnknown(claim.id);
    FailOutcomeUnknown(active);
    return;
  }
  ScheduleOutcomeCheck(active);
}

void RouterCore::Impl::RetryOperationElsewhere(ActiveRequest& active,
                                               const Error& error) {
  OperationClaim& claim = *active.operation;
  const CallerRequest& request = active.request;
  std::optional<UpstreamId> chosen = upstreams_.PickByRendezvous(
      request.service, claim.id.key.value, active.excluded);
  const bool may_retry =
      active.attempts_made < kMaxOperationAttempts && !active.detached;
  if (chosen && may_retry && active.admitted.deadline > now_) {
    claim.stage = OperationClaim::Stage::kClaiming;
    claim.stage_deadline = now_ + kClaimTimeout;
    timers_.Arm(request.id, claim.stage_deadline);
    Reclaim(active, false,
            {*chosen, upstreams_.Find(*chosen)->agent_incarnation});
    return;
  }
  claim.failure = error;
  if (!claim.in_table) {
    Fail(active, error);
    return;
  }
  claim.stage = OperationClaim::Stage::kReleasing;
  ledger_.Release(claim.id);
}

void RouterCore::Impl::ScheduleOutcomeCheck(ActiveRequest& active) {
  OperationClaim& claim = *active.operation;
  claim.stage = OperationClaim::Stage::kResolving;
  const std::uint32_t shift =
      std::min(claim.outcome_checks, kMaxOutcomeCheckShift);
  ++claim.outcome_checks;
  claim.stage_deadline = Jittered(
      std::min(kMaxOutcomeCheckDelay, kOutcomeCheckBaseDelay * (1 << shift)));
  timers_.Arm(active.request.id, claim.stage_deadline);
}

void RouterCore::Impl::ResolveOutcome(ActiveRequest& active) {
  OperationClaim& claim = *active.operation;
  if (TargetEnded(claim.target)) {
    if (claim.in_table) ledger_.RecordUnknown(claim.id);
    FailOutcomeUnknown(active);
    return;
  }
  claim.stage_deadline = active.admitted.deadline;
  Reclaim(active, true, claim.target);
}

void RouterCore::Impl::FailOutcomeUnknown(ActiveRequest& active) {
  Fail(active,
       {ErrorKind::kOutcomeUnknown, Execution::kUnknown,
        fmt::format("it is unknown whether operation {} ran; look it up "
                    "at the service before another key is used",
                    active.request.key.value),
        std::nullopt});
}

void RouterCore::Impl::Detach(ActiveRequest& active, const Error& error) {
  if (active.detached) {
    Forget(active);
    return;
  }
  Error reported = error;
  reported.retry_after = kInProgressRetryAfter;
  if (error.kind != ErrorKind::kCancelled) {
    actions_.push_back(FailRequest{active.request.id, reported});
  }
  ReportFinished(active, false, reported);
  active.detached = true;
  active.admitted.deadline = now_ + kDetachedTimeout;
  timers_.Arm(active.request.id, active.admitted.deadline);
}

}  // namespace yuccapick
