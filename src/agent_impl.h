#ifndef YUCCAPICK_SRC_AGENT_IMPL_H_
#define YUCCAPICK_SRC_AGENT_IMPL_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "yuccapick/agent_core.h"
#include "yuccapick/attempt_gate.h"
#include "yuccapick/engine_cache_tracker.h"
#include "yuccapick/fair_queue.h"
#include "yuccapick/operation_dedup.h"
#include "yuccapick/order_fence.h"
#include "yuccapick/slot_shares.h"
#include "yuccapick/stream_replay_buffer.h"
#include "yuccapick/throughput_estimate.h"

namespace yuccapick {

/// An attempt that waits for a slot, runs at the upstream or has ended and is
/// kept for resumption.
struct RunningAttempt {
  AttemptRequest request;
  TimePoint deadline;
  bool started = false;  ///< Forwarded to the upstream.
  bool ended = false;    ///< The answer is complete; kept for resumption.
  std::optional<TimePoint> detached_since;  ///< No router listens.
};

/// Implementation of `AgentCore`.
class AgentCore::Impl {
 public:
  explicit Impl(AgentCoreOptions options);

  AgentActions Handle(const AgentEvent& event, TimePoint now);
  AgentReport FullReport(TimePoint now) const;
  const UpstreamInfo& Upstream() const { return options_.upstream; }

 private:
  // Attempts: agent_attempts.cc.
  void On(const AttemptArrived& event);
  void On(const AttemptAbandoned& event);
  void On(const UpstreamHead& event);
  void On(const UpstreamChunk& event);
  void On(const UpstreamEnd& event);
  void On(const UpstreamFailed& event);
  void Enqueue(const AttemptRequest& request);
  bool ResumeStream(const AttemptRequest& request);
  void AnswerDuplicate(const AttemptRequest& request,
                       OperationDedup::Verdict verdict);
  void ReplayAnswer(const AttemptRequest& request, const StoredAnswer& answer);
  void Refuse(const AttemptId& attempt, const Error& error);
  RunningAttempt* Running(const AttemptId& attempt);

  // Slots: agent_slots.cc.
  void StartQueued();
  void Start(RunningAttempt& attempt);
  /// Refuses an attempt that waits for a slot; it did not run.
  void RefuseQueued(const AttemptId& attempt, const Error& error);
  void Drop(const AttemptId& attempt);
  void Cancel(const AttemptId& attempt);
  void FailAllStarted(const std::string& reason);
  void ExpireAttempts();
  void RefuseAllQueued();
  bool AllAttemptsEnded() const;

  // Upstream state, orders and reports: agent_core.cc.
  void On(const UpstreamPolled& event);
  void On(const UpstreamUnreachable& event);
  void On(const CacheEventsArrived& event);
  void On(const OrderArrived& event);
  void On(const OrderAnswered& event);
  void On(const UpstreamDrainRequested& event);
  void On(const ConfigChanged& event);
  void On(const TableCommitted& event);
  void On(const TableRead& event);
  void On(const Tick& event);

  AgentReport MakeReport(TimePoint now) const;
  void AddQueuedWork(LoadReport& load, TimePoint now) const;
  void SendReport();
  void CheckDrained();

  AgentCoreOptions options_;
  TimePoint now_;
  AgentActions actions_;
  AttemptGate gate_;
  OperationDedup dedup_;
  OrderFence order_fence_;
  StreamReplayBuffer replay_buffer_;
  FairQueue queue_;
  ThroughputEstimate throughput_;
  SlotShares slots_;
  ConfigPtr config_;
  EngineCacheTracker cache_tracker_;
  std::map<AttemptId, RunningAttempt> running_;
  std::string boot_id_;
  LoadReport load_;
  std::uint64_t sequence_ = 0;
  std::optional<TimePoint> next_report_;
  std::optional<TimePoint> drain_deadline_;
  bool drain_reported_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SRC_AGENT_IMPL_H_
