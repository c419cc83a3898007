#ifndef YUCCAPICK_SRC_ROUTER_IMPL_H_
#define YUCCAPICK_SRC_ROUTER_IMPL_H_

#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "router_flight.h"
#include "yuccapick/circuit_breaker.h"
#include "yuccapick/claim_ledger.h"
#include "yuccapick/hedge_delay.h"
#include "yuccapick/retry_budget.h"
#include "yuccapick/router_core.h"
#include "yuccapick/timer_queue.h"
#include "yuccapick/upstream_directory.h"

namespace yuccapick {

/// The stages of `RouterCore`, joined by the flights they work on.
class RouterCore::Impl {
 public:
  explicit Impl(RouterCoreOptions options);

  RouterActions Handle(const RouterEvent& event, TimePoint now);
  bool Ready() const;

 private:
  // Requests: router_requests.cc.
  void On(const RequestArrived& event);
  void On(const CallerDisconnected& event);
  void Dispatch(Flight& flight);
  std::optional<Attempt> Choose(Flight& flight);
  std::optional<Attempt> ChooseAvoiding(Flight& flight,
                                        const std::vector<UpstreamId>& avoided);
  void Send(Flight& flight, Attempt attempt);
  AttemptRequest MakeAttempt(const Flight& flight,
                             const Attempt& attempt) const;
  AttemptId NextAttemptId();
  void RefuseArrival(const CallerRequest& request, Error error);

  // Operations: router_claims.cc.
  void StartOperation(Flight& flight);
  bool AnswerLocally(Flight& flight);
  void SendOperation(Flight& flight);
  void RunClaimEvents();
  void On(const ClaimAcquired& event);
  void On(const ClaimConflict& event);
  void On(const ClaimUnavailable& event);
  void On(const ClaimReleased& event);
  void DecideClaimed(Flight& flight, const OperationRecord& record);
  void Reclaim(Flight& flight, bool take_over, const ClaimTarget& target);
  void Replay(Flight& flight, const StoredAnswer& answer);
  Flight* FlightOf(const OperationId& id);

  // Outcomes of operations: router_settle.cc.
  void OnOperationOver(Flight& flight, const Error& error);
  void MoveOperation(Flight& flight, const Error& error);
  void SettleLater(Flight& flight);
  void Settle(Flight& flight);
  void OutcomeUnknown(Flight& flight);
  void Detach(Flight& flight, const Error& error);
  bool TargetEnded(const ClaimTarget& target) const;

  // Queries of operations: router_queries.cc.
  void On(const OperationQueried& event);
  void On(const TableRead& event);

  // Answers: router_answers.cc.
  void On(const AnswerHeadArrived& event);
  void On(const AnswerChunkArrived& event);
  void On(const AnswerEndArrived& event);
  void On(const AttemptFailedArrived& event);
  void On(const AttemptLost& event);
  void Begin(Flight& flight, const Attempt& attempt);
  void Deliver(Flight& flight, const Attempt& attempt,
               const AnswerChunk& chunk);
  void OnAttemptOver(Flight& flight, const AttemptId& id, const Error& error);

  // Second tries: router_retries.cc.
  void Retry(Flight& flight, const Error& error);
  void Resume(Flight& flight, const AttemptId& attempt);
  bool TryResume(Flight& flight, const AttemptId& attempt);
  void PlanHedge(Flight& flight);
  void Hedge(Flight& flight);
  void CancelLosers(Flight& flight, const AttemptId& winner);
  std::vector<UpstreamId> Avoided(const Flight& flight) const;
  RetryBudget& BudgetOf(const ServiceId& service);
  RetryBudget& ContinuationsOf(const ServiceId& service);

  // Life: router_core.cc.
  void On(const ReportArrived& event);
  void On(const UpstreamChanged& event);
  void On(const ConfigChanged& event);
  void On(const TableCommitted& event);
  void On(const DrainRequested& event);
  void On(const Tick& event);

  // Shared by the stages: router_core.cc.
  Flight* FlightOf(const AttemptId& attempt, const UpstreamId& upstream);
  void Complete(Flight& flight);
  void Fail(Flight& flight, const Error& error);
  void ReportFinished(const Flight& flight, bool complete, const Error& error);
  void Forget(Flight& flight);
  void DropAttempt(Flight& flight, const AttemptId& attempt);
  void CancelAttempts(Flight& flight);
  void CheckDrained();
  void RunTimers();
  void OnDue(Flight& flight);
  void OnDeadline(Flight& flight);
  void CommitClaims();
  void ScheduleWake();
  TimePoint Jittered(std::chrono::milliseconds ceiling);

  RouterCoreOptions options_;
  TimePoint now_;
  RouterActions actions_;
  std::mt19937_64 random_;
  ConfigPtr config_;
  UpstreamDirectory upstreams_;
  std::optional<TimePoint> first_view_;
  Placement placement_;
  ClaimLedger ledger_;
  CircuitBreaker breaker_;
  std::map<ServiceId, std::uint32_t> in_flight_;
  std::map<ServiceId, RetryBudget> budgets_;
  std::map<ServiceId, RetryBudget> continuations_;  ///< Of begun streams.
  std::map<ServiceId, HedgeDelay> hedge_delays_;
  std::map<RequestId, Flight> flights_;
  std::map<AttemptId, RequestId> attempt_owners_;
  std::map<OperationId, RequestId> operation_owners_;
  std::map<std::uint64_t, OperationQueried> queries_;
  std::uint64_t next_query_ = 1;
  TimerQueue<RequestId> timers_;
  std::uint64_t attempts_started_ = 0;
  std::uint64_t keys_made_ = 0;
  std::optional<TimePoint> drain_deadline_;
  bool drain_reported_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SRC_ROUTER_IMPL_H_
