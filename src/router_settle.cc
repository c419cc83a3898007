#include <fmt/format.h>

#include <algorithm>

#include "router_impl.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kSettleBase{50};
constexpr std::chrono::milliseconds kSettleMax{2'000};
constexpr std::chrono::milliseconds kDetachedTime{60'000};
constexpr std::chrono::milliseconds kAbsentUpstreamGrace{10'000};
constexpr std::chrono::milliseconds kInProgressRetryAfter{500};
constexpr std::chrono::milliseconds kMoveTimeout{5'000};
constexpr std::uint32_t kMaxSettleShift = 6;
constexpr std::uint32_t kMaxMoves = 4;

}  // namespace

bool RouterCore::Impl::TargetEnded(const ClaimTarget& target) const {
  const UpstreamInfo* upstream = upstreams_.Find(target.upstream);
  if (upstream != nullptr) {
    return upstreams_.HasEnded(target.upstream, target.agent_incarnation);
  }
  return first_view_ && now_ - *first_view_ >= kAbsentUpstreamGrace;
}

void RouterCore::Impl::OnOperationOver(Flight& flight, const Error& error) {
  OperationClaim& claim = *flight.operation;
  const bool own_claim = !claim.take_over || !options_.guards.sole_claim;
  if (error.execution == Execution::kNotRun) {
    const bool refused_by_fence = error.kind == ErrorKind::kStaleFence;
    if (!refused_by_fence && own_claim) {
      claim.may_have_run = false;
      MoveOperation(flight, error);
      return;
    }
  }
  if (error.kind == ErrorKind::kKeyReused) {
    Fail(flight, error);
    return;
  }
  if (error.execution == Execution::kRan) {
    Fail(flight, error);
    return;
  }
  if (error.kind == ErrorKind::kOutcomeUnknown ||
      error.kind == ErrorKind::kUpstreamFailed) {
    if (claim.in_table) ledger_.RecordUnknown(claim.id);
    OutcomeUnknown(flight);
    return;
  }
  SettleLater(flight);
}

void RouterCore::Impl::MoveOperation(Flight& flight, const Error& error) {
  OperationClaim& claim = *flight.operation;
  const CallerRequest& request = flight.request;
  std::optional<UpstreamId> home = upstreams_.PickByRendezvous(
      request.service, claim.id.key.value, flight.excluded);
  const bool more = flight.attempts_made < kMaxMoves && !flight.detached;
  if (home && more && flight.admitted.deadline > now_) {
    claim.stage = OperationClaim::Stage::kClaiming;
    claim.stage_until = now_ + kMoveTimeout;
    timers_.Arm(request.id, claim.stage_until);
    Reclaim(flight, false, {*home, upstreams_.Find(*home)->agent_incarnation});
    return;
  }
  claim.failure = error;
  if (!claim.in_table) {
    Fail(flight, error);
    return;
  }
  claim.stage = OperationClaim::Stage::kReleasing;
  ledger_.Release(claim.id);
}

void RouterCore::Impl::SettleLater(Flight& flight) {
  OperationClaim& claim = *flight.operation;
  claim.stage = OperationClaim::Stage::kSettling;
  const std::uint32_t shift = std::min(claim.settle_tries, kMaxSettleShift);
  ++claim.settle_tries;
  claim.stage_until =
      Jittered(std::min(kSettleMax, kSettleBase * (1 << shift)));
  timers_.Arm(flight.request.id, claim.stage_until);
}

void RouterCore::Impl::Settle(Flight& flight) {
  OperationClaim& claim = *flight.operation;
  if (TargetEnded(claim.target)) {
    if (claim.in_table) ledger_.RecordUnknown(claim.id);
    OutcomeUnknown(flight);
    return;
  }
  claim.stage_until = flight.admitted.deadline;
  Reclaim(flight, true, claim.target);
}

void RouterCore::Impl::OutcomeUnknown(Flight& flight) {
  Fail(flight, {ErrorKind::kOutcomeUnknown, Execution::kUnknown,
                fmt::format("it cannot be told whether operation {} ran; look "
                            "it up at the service before another key is used",
                            flight.request.key.value),
                std::nullopt});
}

void RouterCore::Impl::Detach(Flight& flight, const Error& error) {
  if (flight.detached) {
    Forget(flight);
    return;
  }
  Error told = error;
  told.retry_after = kInProgressRetryAfter;
  if (error.kind != ErrorKind::kCancelled) {
    actions_.push_back(FailRequest{flight.request.id, told});
  }
  ReportFinished(flight, false, told);
  flight.detached = true;
  flight.admitted.deadline = now_ + kDetachedTime;
  timers_.Arm(flight.request.id, flight.admitted.deadline);
}

}  // namespace yuccapick
