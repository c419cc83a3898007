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

/// An attempt that waits for a slot or that the upstream works on.
struct RunningAttempt {
  AttemptRequest request;
  TimePoint deadline;
  bool started = false;  ///< It was passed to the upstream.
  bool ended = false;    ///< Its answer is whole, kept for resumption.
  std::optional<TimePoint> unwatched_since;
};

/// The stages of `AgentCore`, joined by the attempts that run.
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
  void AnswerFromMemory(const AttemptRequest& request,
                        OperationDedup::Verdict verdict);
  void ReplayAnswer(const AttemptRequest& request, const StoredAnswer& answer);
  void Refuse(const AttemptId& attempt, const Error& error);
  RunningAttempt* Running(const AttemptId& attempt);

  // Slots: agent_slots.cc.
  void StartQueued();
  void Start(RunningAttempt& attempt);
  /// Ends an attempt that waits for a slot; it did not run.
  void RefuseQueued(const AttemptId& attempt, const Error& error);
  void Drop(const AttemptId& attempt);
  void Cancel(const AttemptId& attempt);
  void BreakAll(const std::string& reason);
  void ExpireAttempts();
  void RefuseAllQueued();
  bool AllAnswered() const;

  // Life: agent_core.cc.
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
  void AddQueue(LoadReport& load, TimePoint now) const;
  void Push();
  void CheckDrained();

  AgentCoreOptions options_;
  TimePoint now_;
  AgentActions actions_;
  AttemptGate gate_;
  OperationDedup memory_;
  OrderFence orders_;
  StreamReplayBuffer replay_buffer_;
  FairQueue queue_;
  ThroughputEstimate drain_;
  SlotShares slots_;
  ConfigPtr config_;
  EngineCacheTracker picture_;
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
