#ifndef YUCCAPICK_UTIL_DETAIL_OUTCOME_UPSTREAM_H_
#define YUCCAPICK_UTIL_DETAIL_OUTCOME_UPSTREAM_H_

/// @file
/// A plain service or model engine in memory, with its faults.

#include <functional>
#include <map>
#include <string>

#include "util/detail/outcome_callers.h"
#include "util/detail/outcome_faults.h"
#include "util/detail/outcome_timeline.h"
#include "yuccapick/agent_events.h"

namespace yuccapick::outcome {

/// Executes calls and tells its agent about them.
class MemoryUpstream {
 public:
  using Notify = std::function<void(AgentEvent event)>;

  MemoryUpstream(Timeline& timeline, const FaultSet& faults, Callers& callers,
                 UpstreamKind kind, Notify notify);

  void Execute(const AttemptRequest& request);
  void Cancel(const AttemptId& attempt) { running_.erase(attempt); }
  /// All connections close; calls that took effect stay done.
  void Crash(microseconds down_for);
  /// The agent's connections close; calls go on without a listener.
  void DropListeners() { running_.clear(); }
  void Heal() { faults_.reset(); }

  std::string boot_id() const { return "boot-" + std::to_string(boots_); }
  bool up() const { return up_; }

 private:
  void Answer(const AttemptRequest& request, std::uint32_t executions);
  void Emit(const AttemptId& attempt, microseconds after, AgentEvent event,
            bool last);

  Timeline& timeline_;
  FaultSet faults_;
  Callers& callers_;
  UpstreamKind kind_;
  Notify notify_;
  std::map<AttemptId, std::uint64_t> running_;  ///< Attempts with a listener.
  std::uint64_t boots_ = 1;
  bool up_ = true;
};

}  // namespace yuccapick::outcome

#endif  // YUCCAPICK_UTIL_DETAIL_OUTCOME_UPSTREAM_H_
