#ifndef YUCCAPICK_UTIL_DETAIL_OUTCOME_WORLD_H_
#define YUCCAPICK_UTIL_DETAIL_OUTCOME_WORLD_H_

/// @file
/// Real router and agent cores in virtual time, joined by a faulty network, a
/// table in memory and upstreams in memory.

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

struct WorldOptions {
  std::uint64_t seed = 1;
  FaultSet faults;
  Guards guards;
  std::size_t jobs = 24;
  microseconds busy{6'000'000};  ///< Jobs start and faults strike within it.
};

/// One random schedule.
class World {
 public:
  explicit World(WorldOptions options);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// Runs the schedule to its end and returns what became of every job.
  Tally Run();

 private:
  /// What routers and agents have in common as processes.
  struct Process {
    std::uint64_t life = 1;  ///< Rises with each restart.
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
    std::unique_ptr<MemoryUpstream> upstream;
    UpstreamInfo info;
    std::optional<TimePoint> left;  ///< When it was asked to leave.
    TimePoint last_new_work;
  };
  /// The stream that carries one attempt.
  struct Stream {
    std::size_t router = 0;
    std::uint64_t router_life = 0;
    std::size_t agent = 0;
    std::uint64_t agent_life = 0;
    TimePoint next_down;  ///< Keeps messages to the router in order.
  };

  // Processes: outcome_world.cc.
  void StartRouter(std::size_t n);
  void StartAgent(std::size_t n);
  void TellRouters(const UpstreamInfo& info, microseconds lag);
  void ToRouter(std::size_t n, std::uint64_t life, RouterEvent event);
  void ToAgent(std::size_t n, std::uint64_t life, AgentEvent event);
  void WakeRouter(std::size_t n, TimePoint when);
  void WakeAgent(std::size_t n, TimePoint when);
  void PollUpstream(std::size_t n);
  bool SendToSomeRouter(const CallerRequest& request);

  // Network: outcome_network.cc.
  void Do(std::size_t router, const RouterAction& action);
  void Do(std::size_t agent, const AgentAction& action);
  void SendAttemptUp(std::size_t router, const SendAttempt& action);
  void Arrive(const AttemptRequest& request);
  void Forward(std::size_t agent, const ForwardAttempt& action);
  void Reply(const AttemptId& attempt, const RouterEvent& event, bool is_part);
  void BreakStream(const AttemptId& attempt);
  microseconds NetworkDelay();

  // Faults: outcome_strikes.cc.
  void PlanFaults();
  void Strike(Fault fault);
  void CrashRouter(std::size_t n);
  void CrashAgent(std::size_t n);
  void Leave(std::size_t n);
  void Drain(std::size_t n);
  void Heal();

  WorldOptions options_;
  Timeline timeline_;
  FaultSet faults_;
  Callers callers_;
  MemoryTable table_;
  std::vector<Router> routers_;
  std::vector<Agent> agents_;
  std::map<AttemptId, Stream> streams_;
  std::set<AttemptId> forwarded_;
  std::map<RequestId, std::size_t> request_routers_;
  ConfigPtr config_;
};

/// Runs one schedule.
Tally RunSchedule(const WorldOptions& options);

}  // namespace yuccapick::outcome

#endif  // YUCCAPICK_UTIL_DETAIL_OUTCOME_WORLD_H_
