#include <fmt/format.h>

#include <utility>

#include "router_impl.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kClaimTimeout{5'000};
constexpr std::chrono::milliseconds kInProgressRetryAfter{500};
constexpr std::chrono::milliseconds kTableUnavailableRetryAfter{2'000};
constexpr std::chrono::milliseconds kNoUpstreamRetryAfter{1'000};

Error InProgressError(const OperationId& id) {
  return {ErrorKind::kOperationInProgress, Execution::kUnknown,
          fmt::format("operation {} of team {} is in progress; repeat the "
                      "request with the same key",
                      id.key.value, id.team.value),
          kInProgressRetryAfter};
}

Error KeyReusedError(const OperationId& id) {
  return {ErrorKind::kKeyReused, Execution::kNotRun,
          fmt::format("key {} of team {} was used for another request; use "
                      "a new key for this one",
                      id.key.value, id.team.value),
          std::nullopt};
}

}  // namespace

ActiveRequest* RouterCore::Impl::FindActive(const OperationId& id) {
  auto owner = operation_owners_.find(id);
  return owner == operation_owners_.end() ? nullptr
                                          : &active_requests_.at(owner->second);
}

void RouterCore::Impl::StartOperation(ActiveRequest& active) {
  const CallerRequest& request = active.request;
  OperationClaim claim;
  claim.in_table = !request.key.empty() && options_.guards.claim;
  claim.id = {request.team, request.service, request.key};
  claim.digest = RequestDigest(request.method, request.target, request.body);
  claim.stage_deadline = now_ + kClaimTimeout;
  if (request.key.empty()) {
    claim.id.key = IdempotencyKey(
        fmt::format("{}-{}-key-{}", options_.instance.value,
                    options_.incarnation.value, ++generated_keys_));
  }
  std::optional<UpstreamId> chosen = upstreams_.PickByRendezvous(
      request.service, claim.id.key.value, active.excluded);
  if (chosen) {
    claim.target = {*chosen, upstreams_.Find(*chosen)->agent_incarnation};
  }
  active.operation = std::move(claim);
  if (AnswerFromLocalState(active)) return;
  if (!chosen) {
    active.operation.reset();
    Fail(active, {ErrorKind::kNoUpstream, RefusalExecution(request, false),
                  fmt::format("no live upstream can serve {}; retry later or "
                              "add one",
                              request.service.value),
                  kNoUpstreamRetryAfter});
    return;
  }
  OperationClaim& held = *active.operation;
  operation_owners_[held.id] = request.id;
  if (!held.in_table) {
    held.fence = FencingToken(1);
    SendOperationAttempt(active);
    return;
  }
  timers_.Arm(request.id, held.stage_deadline);
  ledger_.Claim(held.id, held.digest, held.target, now_);
}

bool RouterCore::Impl::AnswerFromLocalState(ActiveRequest& active) {
  const OperationClaim& claim = *active.operation;
  const OperationId id = claim.id;
  std::string digest;
  bool claim_is_confirmed = false;
  std::optional<StoredAnswer> answer;
  if (const ActiveRequest* other = FindActive(id)) {
    digest = other->operation->digest;
    claim_is_confirmed = other->operation->may_have_run;
  } else if (auto record = ledger_.RecordBeingWritten(id)) {
    digest = record->digest;
    claim_is_confirmed = record->state == OperationState::kDone;
    if (claim_is_confirmed) answer = record->answer;
  } else {
    return false;
  }
  const bool same = digest == claim.digest || !options_.guards.body_digest;
  active.operation.reset();
  if (!same && claim_is_confirmed) {
    Fail(active, KeyReusedError(id));
  } else if (same && answer) {
    ReplayAnswer(active, *answer);
  } else {
    Fail(active, InProgressError(id));
  }
  return true;
}

void RouterCore::Impl::SendOperationAttempt(ActiveRequest& active) {
  OperationClaim& claim = *active.operation;
  claim.stage = OperationClaim::Stage::kHeld;
  claim.may_have_run = true;
  Attempt attempt;
  attempt.id = NextAttemptId();
  attempt.upstream = claim.target.upstream;
  attempt.agent_incarnation = claim.target.agent_incarnation;
  Send(active, std::move(attempt));
}

void RouterCore::Impl::HandleClaimEvents() {
  for (std::vector<ClaimEvent> events = ledger_.TakeEvents(); !events.empty();
       events = ledger_.TakeEvents()) {
    for (const ClaimEvent& event : events) {
      std::visit([this](const auto& typed) { On(typed); }, event);
    }
  }
}

void RouterCore::Impl::On(const ClaimAcquired& event) {
  ActiveRequest* active = FindActive(event.id);
  if (active == nullptr) return;
  OperationClaim& claim = *active->operation;
  claim.fence = event.fence;
  claim.target = event.target;
  claim.take_over = event.take_over;
  SendOperationAttempt(*active);
}

void RouterCore::Impl::On(const ClaimConflict& event) {
  ActiveRequest* active = FindActive(event.id);
  if (active == nullptr) return;
  const OperationClaim& claim = *active->operation;
  const OperationRecord& record = event.record;
  if (record.digest != claim.digest && options_.guards.body_digest) {
    Fail(*active, KeyReusedError(event.id));
    return;
  }
  switch (record.state) {
    case OperationState::kDone:
      ReplayAnswer(*active, record.answer);
      return;
    case OperationState::kUnknown:
      FailOutcomeUnknown(*active);
      return;
    case OperationState::kReleased:
      Reclaim(*active, false, claim.target);
      return;
    case OperationState::kClaimed:
      OnClaimedRecord(*active, record);
      return;
  }
}

void RouterCore::Impl::OnClaimedRecord(ActiveRequest& active,
                                       const OperationRecord& record) {
  const ClaimTarget target{record.upstream, record.agent_incarnation};
  if (!options_.guards.takeover_incarnation) {
    Reclaim(active, true, active.operation->target);
    return;
  }
  if (TargetEnded(target)) {
    ledger_.RecordUnknown(active.operation->id);
    FailOutcomeUnknown(active);
    return;
  }
  if (upstreams_.Find(target.upstream) == nullptr) {
    Fail(active, InProgressError(active.operation->id));
    return;
  }
  Reclaim(active, true, target);
}

void RouterCore::Impl::Reclaim(ActiveRequest& active, bool take_over,
                               const ClaimTarget& target) {
  OperationClaim& claim = *active.operation;
  claim.target = target;
  claim.take_over = take_over;
  if (claim.in_table) {
    ledger_.RaiseFence(claim.id, target, take_over);
    return;
  }
  claim.fence = claim.fence.Next();
  SendOperationAttempt(active);
}

void RouterCore::Impl::On(const ClaimUnavailable& event) {
  ActiveRequest* active = FindActive(event.id);
  if (active == nullptr) return;
  if (active->operation->may_have_run) {
    ScheduleOutcomeCheck(*active);
    return;
  }
  Fail(*active,
       {ErrorKind::kPlatformUnavailable,
        RefusalExecution(active->request, false),
        "the table service is unavailable, so the operation cannot be claimed; "
        "repeat the request with the same key",
        kTableUnavailableRetryAfter});
}

void RouterCore::Impl::On(const ClaimReleased& event) {
  ActiveRequest* active = FindActive(event.id);
  if (active == nullptr) return;
  Error error = active->operation->failure;
  error.execution = event.released ? Execution::kNotRun : Execution::kUnknown;
  Fail(*active, error);
}

void RouterCore::Impl::ReplayAnswer(ActiveRequest& active,
                                    const StoredAnswer& answer) {
  if (answer.partial) {
    Fail(active, {ErrorKind::kIncompleteAnswer, Execution::kRan,
                  "the operation ran, but its answer was too large to be "
                  "stored; look it up at the service",
                  std::nullopt});
    return;
  }
  Attempt stored_attempt;
  stored_attempt.head.status = answer.status;
  stored_attempt.head.headers = answer.headers;
  Begin(active, stored_attempt);
  for (std::size_t n = active.answer.next(); n < answer.parts.size(); ++n) {
    if (active.detached) break;
    actions_.push_back(SendAnswerData{active.request.id, answer.parts[n]});
  }
  Complete(active);
}

}  // namespace yuccapick
