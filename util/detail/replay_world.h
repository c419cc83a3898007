#ifndef YUCCAPICK_UTIL_DETAIL_REPLAY_WORLD_H_
#define YUCCAPICK_UTIL_DETAIL_REPLAY_WORLD_H_

/// @file
/// The simulated deployment of a replay, and its clock of events.

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

inline constexpr std::chrono::milliseconds kLinkBreakDetected{20};
inline constexpr std::chrono::milliseconds kReportInterval{300};
inline constexpr double kUsualEventLoss = 0.02;
inline constexpr TimePoint kOrigin{std::chrono::hours(1)};

/// The agent beside one engine.
struct Agent {
  EngineCacheTracker picture;
  std::uint64_t event_sequence = 0;
  std::uint64_t report_sequence = 0;
};

struct Event {
  TimePoint when;
  std::uint64_t order = 0;
  std::function<void()> run;
};

struct Later {
  bool operator()(const Event& a, const Event& b) const {
    return std::pair(a.when, a.order) > std::pair(b.when, b.order);
  }
};

/// One replay: simulated engines and their agents before the real decisions of
/// a router.
class ReplayWorld {
 public:
  ReplayWorld(const Trace& trace, const std::string& policy, Fault fault,
              std::uint64_t seed)
      : trace_(trace),
        policy_(MakePolicy(policy, trace.deployment)),
        fault_(fault),
        random_(seed ^ 0x5eedULL),
        lives_(trace.deployment.engines, 1),
        agents_(trace.deployment.engines) {}

  std::vector<RequestResult> Execute();

 private:
  void Setup();
  void At(TimePoint when, std::function<void()> run);
  void Arrive(std::uint32_t request, std::uint32_t try_number);
  void Enqueue(std::uint32_t engine, const EngineJob& job, std::uint64_t life);
  void WatchPrefill(std::uint32_t engine);
  void EndPrefill(std::uint32_t engine);
  void EndDecode(std::uint32_t engine, const EngineJob& job);
  void CountTokens(std::uint32_t engine, const EngineJob& job);
  void SendEvents(std::uint32_t engine, const EngineJob& job,
                  std::vector<CacheEvent> events);
  void SampleReport(std::uint32_t engine);
  AgentReport MakeReport(std::uint32_t engine, bool full);
  void Deliver(std::uint32_t engine, const AgentReport& report);
  void CrashEngine(std::uint32_t engine);
  void RestartEngine(std::uint32_t engine);
  void AnnounceUpstream(std::uint32_t engine);
  void RestartRouters();
  std::chrono::microseconds Hop(std::uint32_t request,
                                std::uint32_t engine) const;
  Query QueryOf(const EngineJob& job) const;
  Usage UsageOf(const EngineJob& job) const;
  double Uniform();

  const Trace& trace_;
  Policy policy_;
  Fault fault_;
  std::mt19937_64 random_;
  Fleet fleet_;
  std::vector<std::uint64_t> lives_;
  std::vector<Agent> agents_;
  std::vector<RequestResult> results_;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
  std::uint64_t order_ = 0;
  std::size_t answered_ = 0;
  TimePoint now_ = kOrigin;
  double event_loss_ = kUsualEventLoss;
};

}  // namespace yuccapick::replay

#endif  // YUCCAPICK_UTIL_DETAIL_REPLAY_WORLD_H_
