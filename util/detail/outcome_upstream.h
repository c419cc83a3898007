#ifndef YUCCAPICK_UTIL_DETAIL_OUTCOME_UPSTREAM_H_
#define YUCCAPICK_UTIL_DETAIL_OUTCOME_UPSTREAM_H_

/// @file
/// In-memory plain service or model engine with fault injection.

#include <functional>
#include <map>
#include <string>

#include "util/detail/outcome_callers.h"
#include "util/detail/outcome_faults.h"
#include "util/detail/outcome_timeline.h"
#include "yuccapick/agent_events.h"

namespace yuccapick::outcome {

/// Executes requests and reports their progress to its agent.
class InMemoryUpstream {
 public:
  using Notify = std::function<void(AgentEvent event)>;

  InMemoryUpstream(Timeline& timeline, const FaultSet& faults,
                   SimulatedCallers& callers, UpstreamKind kind, Notify notify);

  void Execute(const AttemptRequest& request);
  void Cancel(const AttemptId& attempt) { running_.erase(attempt); }
  /// Closes all connections; requests that were executed stay executed.
  void Crash(microseconds down_for);
  /// Closes the agent's connections; requests in progress still execute.
  void CloseConnections() { running_.clear(); }
  void ClearFaults() { faults_.reset(); }

  std::string boot_id() const { return "boot-" + std::to_string(boots_); }
  bool up() const { return up_; }

 private:
  void Answer(const AttemptRequest& request, std::uint32_t executions);
  void Emit(const AttemptId& attempt, microseconds after, AgentEvent event,
            bool last);

  Timeline& timeline_;
  FaultSet faults_;
  SimulatedCallers& callers_;
  UpstreamKind kind_;
  Notify notify_;
  /// Attempts with an open connection, with the number of the boot.
  std::map<AttemptId, std::uint64_t> running_;
  std::uint64_t boots_ = 1;
  bool up_ = true;
};

}  // namespace yuccapick::outcome

#endif  // YUCCAPICK_UTIL_DETAIL_OUTCOME_UPSTREAM_H_
