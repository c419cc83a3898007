#include <fmt/format.h>

#include <utility>

#include "router_impl.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kClaimTimeout{5'000};
constexpr std::chrono::milliseconds kBusyRetryAfter{500};
constexpr std::chrono::milliseconds kOutageRetryAfter{2'000};
constexpr std::chrono::milliseconds kNoUpstreamRetryAfter{1'000};

Error InProgressError(const OperationId& id) {
  return {ErrorKind::kOperationInProgress, Execution::kUnknown,
          fmt::format("operation {} of team {} is in progress; repeat the "
                      "request with the same key",
                      id.key.value, id.team.value),
          kBusyRetryAfter};
}

Error KeyReusedError(const OperationId& id) {
  return {ErrorKind::kKeyReused, Execution::kNotRun,
          fmt::format("key {} of team {} belongs to another request; take a "
                      "new key for this one",
                      id.key.value, id.team.value),
          std::nullopt};
}

}  // namespace

Flight* RouterCore::Impl::FlightOf(const OperationId& id) {
  auto owner = operation_owners_.find(id);
  return owner == operation_owners_.end() ? nullptr
                                          : &flights_.at(owner->second);
}

void RouterCore::Impl::StartOperation(Flight& flight) {
  const CallerRequest& request = flight.request;
  OperationClaim claim;
  claim.in_table = !request.key.empty() && options_.guards.claim;
  claim.id = {request.team, request.service, request.key};
  claim.digest = RequestDigest(request.method, request.target, request.body);
  claim.stage_until = now_ + kClaimTimeout;
  if (request.key.empty()) {
    claim.id.key =
        IdempotencyKey(fmt::format("{}-{}-key-{}", options_.instance.value,
                                   options_.incarnation.value, ++keys_made_));
  }
  std::optional<UpstreamId> home =
      upstreams_.Home(request.service, claim.id.key.value, flight.excluded);
  if (home) {
    claim.target = {*home, upstreams_.Find(*home)->agent_incarnation};
  }
  flight.operation = std::move(claim);
  if (AnswerLocally(flight)) return;
  if (!home) {
    flight.operation.reset();
    Fail(flight, {ErrorKind::kNoUpstream, RefusalExecution(request, false),
                  fmt::format("no live upstream can serve {}; retry later or "
                              "add one",
                              request.service.value),
                  kNoUpstreamRetryAfter});
    return;
  }
  OperationClaim& held = *flight.operation;
  operation_owners_[held.id] = request.id;
  if (!held.in_table) {
    held.fence = FencingToken(1);
    SendOperation(flight);
    return;
  }
  timers_.Arm(request.id, held.stage_until);
  ledger_.Claim(held.id, held.digest, held.target, now_);
}

bool RouterCore::Impl::AnswerLocally(Flight& flight) {
  const OperationClaim& claim = *flight.operation;
  const OperationId id = claim.id;
  std::string digest;
  bool claim_is_settled = false;
  std::optional<StoredAnswer> answer;
  if (const Flight* other = FlightOf(id)) {
    digest = other->operation->digest;
    claim_is_settled = other->operation->may_have_run;
  } else if (auto record = ledger_.BeingWritten(id)) {
    digest = record->digest;
    claim_is_settled = record->state == OperationState::kDone;
    if (claim_is_settled) answer = record->answer;
  } else {
    return false;
  }
  const bool same = digest == claim.digest || !options_.guards.body_digest;
  flight.operation.reset();
  if (!same && claim_is_settled) {
    Fail(flight, KeyReusedError(id));
  } else if (same && answer) {
    Replay(flight, *answer);
  } else {
    Fail(flight, InProgressError(id));
  }
  return true;
}

void RouterCore::Impl::SendOperation(Flight& flight) {
  OperationClaim& claim = *flight.operation;
  claim.stage = OperationClaim::Stage::kHeld;
  claim.may_have_run = true;
  Attempt attempt;
  attempt.id = NextAttemptId();
  attempt.upstream = claim.target.upstream;
  attempt.agent_incarnation = claim.target.agent_incarnation;
  Send(flight, std::move(attempt));
}

void RouterCore::Impl::RunClaimEvents() {
  for (std::vector<ClaimEvent> events = ledger_.TakeEvents(); !events.empty();
       events = ledger_.TakeEvents()) {
    for (const ClaimEvent& event : events) {
      std::visit([this](const auto& typed) { On(typed); }, event);
    }
  }
}

void RouterCore::Impl::On(const ClaimAcquired& event) {
  Flight* flight = FlightOf(event.id);
  if (flight == nullptr) return;
  OperationClaim& claim = *flight->operation;
  claim.fence = event.fence;
  claim.target = event.target;
  claim.take_over = event.take_over;
  SendOperation(*flight);
}

void RouterCore::Impl::On(const ClaimConflict& event) {
  Flight* flight = FlightOf(event.id);
  if (flight == nullptr) return;
  const OperationClaim& claim = *flight->operation;
  const OperationRecord& record = event.record;
  if (record.digest != claim.digest && options_.guards.body_digest) {
    Fail(*flight, KeyReusedError(event.id));
    return;
  }
  switch (record.state) {
    case OperationState::kDone:
      Replay(*flight, record.answer);
      return;
    case OperationState::kUnknown:
      OutcomeUnknown(*flight);
      return;
    case OperationState::kReleased:
      Reclaim(*flight, false, claim.target);
      return;
    case OperationState::kClaimed:
      DecideClaimed(*flight, record);
      return;
  }
}

void RouterCore::Impl::DecideClaimed(Flight& flight,
                                     const OperationRecord& record) {
  const ClaimTarget target{record.upstream, record.agent_incarnation};
  if (!options_.guards.same_agent) {
    Reclaim(flight, true, flight.operation->target);
    return;
  }
  if (TargetEnded(target)) {
    ledger_.RecordUnknown(flight.operation->id);
    OutcomeUnknown(flight);
    return;
  }
  if (upstreams_.Find(target.upstream) == nullptr) {
    Fail(flight, InProgressError(flight.operation->id));
    return;
  }
  Reclaim(flight, true, target);
}

void RouterCore::Impl::Reclaim(Flight& flight, bool take_over,
                               const ClaimTarget& target) {
  OperationClaim& claim = *flight.operation;
  claim.target = target;
  claim.take_over = take_over;
  if (claim.in_table) {
    ledger_.Raise(claim.id, target, take_over);
    return;
  }
  claim.fence = claim.fence.Next();
  SendOperation(flight);
}

void RouterCore::Impl::On(const ClaimUnavailable& event) {
  Flight* flight = FlightOf(event.id);
  if (flight == nullptr) return;
  if (flight->operation->may_have_run) {
    SettleLater(*flight);
    return;
  }
  Fail(*flight,
       {ErrorKind::kPlatformUnavailable,
        RefusalExecution(flight->request, false),
        "the table service is out, so the operation cannot be claimed; repeat "
        "the request with the same key",
        kOutageRetryAfter});
}

void RouterCore::Impl::On(const ClaimReleased& event) {
  Flight* flight = FlightOf(event.id);
  if (flight == nullptr) return;
  Error error = flight->operation->failure;
  error.execution = event.released ? Execution::kNotRun : Execution::kUnknown;
  Fail(*flight, error);
}

void RouterCore::Impl::Replay(Flight& flight, const StoredAnswer& answer) {
  if (answer.partial) {
    Fail(flight, {ErrorKind::kIncompleteAnswer, Execution::kRan,
                  "the operation ran; its answer was too large to be kept, so "
                  "look it up at the service",
                  std::nullopt});
    return;
  }
  Attempt kept;
  kept.head.status = answer.status;
  kept.head.headers = answer.headers;
  Begin(flight, kept);
  for (std::size_t n = flight.answer.next(); n < answer.parts.size(); ++n) {
    if (flight.detached) break;
    actions_.push_back(SendAnswerData{flight.request.id, answer.parts[n]});
  }
  Complete(flight);
}

}  // namespace yuccapick
