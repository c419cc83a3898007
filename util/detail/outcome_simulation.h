#ifndef YUCCAPICK_UTIL_DETAIL_OUTCOME_SIMULATION_H_
#define YUCCAPICK_UTIL_DETAIL_OUTCOME_SIMULATION_H_

/// @file
/// Simulation of router and agent cores in virtual time, connected by a faulty
/// network to each other, an in-memory table and in-memory upstreams.

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "util/detail/outcome_callers.h"
#include "util/detail/outcome_faults.h"
#include "util/detail/outcome_table.h"
#include "util/detail/outcome_timeline.h"
#include "util/detail/outcome_upstream.h"
#include "yuccapick/agent_core.h"
#include "yuccapick/guards.h"
#include "yuccapick/router_core.h"

namespace yuccapick::outcome {

struct ScheduleOptions {
  std::uint64_t seed = 1;
  FaultSet faults;
  Guards guards;
  std::size_t jobs = 24;
  /// Jobs start and faults occur within it.
  microseconds active_period{6'000'000};
};

/// One random schedule.
class ScheduleSimulation {
 public:
  explicit ScheduleSimulation(ScheduleOptions options);
  ~ScheduleSimulation();
  ScheduleSimulation(const ScheduleSimulation&) = delete;
  ScheduleSimulation& operator=(const ScheduleSimulation&) = delete;

  /// Runs the schedule to its end and returns the outcome counts of its jobs.
  OutcomeCounts Run();

 private:
  /// Process state that routers and agents share.
  struct Process {
    std::uint64_t incarnation = 1;  ///< Incremented at each restart.
    bool up = true;
    TimePoint paused_until;
    microseconds clock_offset{0};
    std::optional<TimePoint> next_wake;
  };
  struct Router : Process {
    std::unique_ptr<RouterCore> core;
  };
  struct Agent : Process {
    std::unique_ptr<AgentCore> core;
    std::unique_ptr<InMemoryUpstream> upstream;
    UpstreamInfo info;
    std::optional<TimePoint> drain_requested_at;
    TimePoint last_new_work;
  };
  /// Stream between a router and an agent that carries one attempt.
  struct Stream {
    std::size_t router = 0;
    std::uint64_t router_incarnation = 0;
    std::size_t agent = 0;
    std::uint64_t agent_incarnation = 0;
    TimePoint next_delivery;  ///< Earliest delivery that keeps the order.
  };

  // Processes: outcome_simulation.cc.
  void StartRouter(std::size_t n);
  void StartAgent(std::size_t n);
  void AnnounceUpstream(const UpstreamInfo& info, microseconds delay);
  void DeliverToRouter(std::size_t n, std::uint64_t incarnation,
                       RouterEvent event);
  void DeliverToAgent(std::size_t n, std::uint64_t incarnation,
                      AgentEvent event);
  void WakeRouter(std::size_t n, TimePoint when);
  void WakeAgent(std::size_t n, TimePoint when);
  void PollUpstream(std::size_t n);
  bool SendToSomeRouter(const CallerRequest& request);

  // Network: outcome_network.cc.
  void HandleAction(std::size_t router, const RouterAction& action);
  void HandleAction(std::size_t agent, const AgentAction& action);
  void SendAttemptToAgent(std::size_t router, const SendAttempt& action);
  void DeliverAttempt(const AttemptRequest& request);
  void ForwardToUpstream(std::size_t agent, const ForwardAttempt& action);
  void SendReply(const AttemptId& attempt, const RouterEvent& event,
                 bool is_part);
  void BreakStream(const AttemptId& attempt);
  microseconds NetworkDelay();

  // Faults: outcome_fault_injection.cc.
  void ScheduleFaults();
  void InjectFault(Fault fault);
  void CrashRouter(std::size_t n);
  void CrashAgent(std::size_t n);
  void DrainAgent(std::size_t n);
  void DrainRouter(std::size_t n);
  void ClearFaults();

  ScheduleOptions options_;
  Timeline timeline_;
  FaultSet faults_;
  SimulatedCallers callers_;
  InMemoryTable table_;
  std::vector<Router> routers_;
  std::vector<Agent> agents_;
  std::map<AttemptId, Stream> streams_;
  std::set<AttemptId> forwarded_;
  std::map<RequestId, std::size_t> request_routers_;
  ConfigPtr config_;
};

/// Runs one schedule.
OutcomeCounts RunSchedule(const ScheduleOptions& options);

}  // namespace yuccapick::outcome

#endif  // YUCCAPICK_UTIL_DETAIL_OUTCOME_SIMULATION_H_
