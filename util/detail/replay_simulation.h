#ifndef YUCCAPICK_UTIL_DETAIL_REPLAY_SIMULATION_H_
#define YUCCAPICK_UTIL_DETAIL_REPLAY_SIMULATION_H_

/// @file
/// Discrete-event simulation of a deployment that replays a trace.

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "util/detail/replay_engine.h"
#include "util/detail/replay_policy.h"
#include "util/detail/replay_run.h"
#include "util/detail/replay_trace.h"
#include "yuccapick/engine_cache_tracker.h"

namespace yuccapick::replay {

inline constexpr std::chrono::milliseconds kLinkFailureDetectionDelay{20};
inline constexpr std::chrono::milliseconds kReportInterval{300};
inline constexpr double kNormalEventLoss = 0.02;
inline constexpr TimePoint kSimulationStart{std::chrono::hours(1)};

/// The agent of one engine.
struct Agent {
  EngineCacheTracker cache_tracker;
  std::uint64_t event_sequence = 0;
  std::uint64_t report_sequence = 0;
};

struct Event {
  TimePoint when;
  std::uint64_t order = 0;
  std::function<void()> run;
};

struct LaterEvent {
  bool operator()(const Event& a, const Event& b) const {
    return std::pair(a.when, a.order) > std::pair(b.when, b.order);
  }
};

/// Replays a trace with simulated engines and agents; the policy makes the
/// routers' decisions.
class ReplaySimulation {
 public:
  ReplaySimulation(const Trace& trace, const std::string& policy, Fault fault,
                   std::uint64_t seed)
      : trace_(trace),
        policy_(MakePolicy(policy, trace.deployment)),
        fault_(fault),
        random_(seed ^ 0x5eedULL),
        engine_incarnations_(trace.deployment.engines, 1),
        agents_(trace.deployment.engines) {}

  std::vector<RequestResult> Run();

 private:
  void Setup();
  void Schedule(TimePoint when, std::function<void()> run);
  void PlaceRequest(std::uint32_t request, std::uint32_t attempt_number);
  void Enqueue(std::uint32_t engine, const EngineJob& job,
               std::uint64_t incarnation);
  void SchedulePrefillEnd(std::uint32_t engine);
  void OnPrefillFinished(std::uint32_t engine);
  void OnDecodeFinished(std::uint32_t engine, const EngineJob& job);
  void CountTokens(std::uint32_t engine, const EngineJob& job);
  void SendEvents(std::uint32_t engine, const EngineJob& job,
                  std::vector<CacheEvent> events);
  void SendReport(std::uint32_t engine);
  AgentReport MakeReport(std::uint32_t engine, bool full);
  void DeliverReport(std::uint32_t engine, const AgentReport& report);
  void CrashEngine(std::uint32_t engine);
  void RestartEngine(std::uint32_t engine);
  void AnnounceUpstream(std::uint32_t engine);
  void RestartRouters();
  std::chrono::microseconds NetworkDelay(std::uint32_t request,
                                         std::uint32_t engine) const;
  PlacementQuery QueryOf(const EngineJob& job) const;
  Usage UsageOf(const EngineJob& job) const;
  double Uniform();

  const Trace& trace_;
  Policy policy_;
  Fault fault_;
  std::mt19937_64 random_;
  Fleet fleet_;
  std::vector<std::uint64_t> engine_incarnations_;
  std::vector<Agent> agents_;
  std::vector<RequestResult> results_;
  std::priority_queue<Event, std::vector<Event>, LaterEvent> events_;
  std::uint64_t order_ = 0;
  std::size_t answered_ = 0;
  TimePoint now_ = kSimulationStart;
  double event_loss_ = kNormalEventLoss;
};

}  // namespace yuccapick::replay

#endif  // YUCCAPICK_UTIL_DETAIL_REPLAY_SIMULATION_H_
