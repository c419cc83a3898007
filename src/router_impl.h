#ifndef YUCCAPICK_SRC_ROUTER_IMPL_H_
#define YUCCAPICK_SRC_ROUTER_IMPL_H_

#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "router_active_request.h"
#include "yuccapick/circuit_breaker.h"
#include "yuccapick/claim_ledger.h"
#include "yuccapick/hedge_delay.h"
#include "yuccapick/retry_budget.h"
#include "yuccapick/router_core.h"
#include "yuccapick/timer_queue.h"
#include "yuccapick/upstream_directory.h"

namespace yuccapick {

/// Implementation of `RouterCore`; all stages share the active requests.
class RouterCore::Impl {
 public:
  explicit Impl(RouterCoreOptions options);

  RouterActions Handle(const RouterEvent& event, TimePoint now);
  bool Ready() const;

 private:
  // Requests and dispatch: router_requests.cc.
  void On(const RequestArrived& event);
  void On(const CallerDisconnected& event);
  void Dispatch(ActiveRequest& active);
  std::optional<Attempt> ChooseUpstream(ActiveRequest& active);
  std::optional<Attempt> ChooseUpstreamExcept(
      ActiveRequest& active, const std::vector<UpstreamId>& avoided);
  void Send(ActiveRequest& active, Attempt attempt);
  AttemptRequest MakeAttemptRequest(const ActiveRequest& active,
                                    const Attempt& attempt) const;
  AttemptId NextAttemptId();
  void RejectRequest(const CallerRequest& request, Error error);

  // Claims on operations: router_claims.cc.
  void StartOperation(ActiveRequest& active);
  bool AnswerFromLocalState(ActiveRequest& active);
  void SendOperationAttempt(ActiveRequest& active);
  void HandleClaimEvents();
  void On(const ClaimAcquired& event);
  void On(const ClaimConflict& event);
  void On(const ClaimUnavailable& event);
  void On(const ClaimReleased& event);
  void OnClaimedRecord(ActiveRequest& active, const OperationRecord& record);
  void Reclaim(ActiveRequest& active, bool take_over,
               const ClaimTarget& target);
  void ReplayAnswer(ActiveRequest& active, const StoredAnswer& answer);
  ActiveRequest* FindActive(const OperationId& id);

  // Outcomes of operations: router_settle.cc.
  void OnOperationAttemptEnded(ActiveRequest& active, const Error& error);
  void RetryOperationElsewhere(ActiveRequest& active, const Error& error);
  void ScheduleOutcomeCheck(ActiveRequest& active);
  void ResolveOutcome(ActiveRequest& active);
  void FailOutcomeUnknown(ActiveRequest& active);
  void Detach(ActiveRequest& active, const Error& error);
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
  void Begin(ActiveRequest& active, const Attempt& attempt);
  void Deliver(ActiveRequest& active, const Attempt& attempt,
               const AnswerChunk& chunk);
  void OnAttemptEnded(ActiveRequest& active, const AttemptId& id,
                      const Error& error);

  // Retries, resumption and hedging: router_retries.cc.
  void Retry(ActiveRequest& active, const Error& error);
  void Resume(ActiveRequest& active, const AttemptId& attempt);
  bool TryResume(ActiveRequest& active, const AttemptId& attempt);
  void ScheduleHedge(ActiveRequest& active);
  void Hedge(ActiveRequest& active);
  void CancelOtherAttempts(ActiveRequest& active, const AttemptId& kept);
  std::vector<UpstreamId> AvoidedUpstreams(const ActiveRequest& active) const;
  RetryBudget& RetryBudgetOf(const ServiceId& service);
  RetryBudget& ContinuationBudgetOf(const ServiceId& service);

  // Reports, configuration, table, drain and timer events: router_core.cc.
  void On(const ReportArrived& event);
  void On(const UpstreamChanged& event);
  void On(const ConfigChanged& event);
  void On(const TableCommitted& event);
  void On(const DrainRequested& event);
  void On(const Tick& event);

  // Common to all stages: router_core.cc.
  ActiveRequest* FindActive(const AttemptId& attempt,
                            const UpstreamId& upstream);
  void Complete(ActiveRequest& active);
  void Fail(ActiveRequest& active, const Error& error);
  void ReportFinished(const ActiveRequest& active, bool complete,
                      const Error& error);
  void Forget(ActiveRequest& active);
  void EraseAttempt(ActiveRequest& active, const AttemptId& attempt);
  void CancelAttempts(ActiveRequest& active);
  void CheckDrained();
  void RunTimers();
  void OnTimer(ActiveRequest& active);
  void OnDeadline(ActiveRequest& active);
  void CommitClaims();
  void ScheduleWake();
  TimePoint Jittered(std::chrono::milliseconds ceiling);

  RouterCoreOptions options_;
  TimePoint now_;
  RouterActions actions_;
  std::mt19937_64 random_;
  ConfigPtr config_;
  UpstreamDirectory upstreams_;
  std::optional<TimePoint> first_upstream_view_at_;
  Placement placement_;
  ClaimLedger ledger_;
  CircuitBreaker breaker_;
  std::map<ServiceId, std::uint32_t> in_flight_;
  std::map<ServiceId, RetryBudget> retry_budgets_;
  std::map<ServiceId, RetryBudget>
      continuation_budgets_;  ///< For begun answers.
  std::map<ServiceId, HedgeDelay> hedge_delays_;
  std::map<RequestId, ActiveRequest> active_requests_;
  std::map<AttemptId, RequestId> attempt_owners_;
  std::map<OperationId, RequestId> operation_owners_;
  std::map<std::uint64_t, OperationQueried> operation_queries_;
  std::uint64_t next_query_command_ = 1;
  TimerQueue<RequestId> timers_;
  std::uint64_t attempts_started_ = 0;
  std::uint64_t generated_keys_ = 0;
  std::optional<TimePoint> drain_deadline_;
  bool drain_reported_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SRC_ROUTER_IMPL_H_
