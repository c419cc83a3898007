#include <utility>

#include "util/detail/replay_simulation.h"

namespace yuccapick::replay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kEngineRestart{1'000};
constexpr milliseconds kFirstDigestDelay{10};
constexpr milliseconds kFirstDigestSpread{40};

}  // namespace

AgentReport ReplaySimulation::MakeReport(std::uint32_t engine, bool full) {
  Agent& agent = agents_[engine];
  AgentReport report;
  report.upstream = fleet_.infos[engine];
  report.load = fleet_.engines[engine].Load(now_);
  report.digest_is_full = full;
  if (full) {
    report.digest = agent.cache_tracker.FullDigest(now_);
    return report;
  }
  report.sequence = ++agent.report_sequence;
  CacheDelta delta = agent.cache_tracker.TakeDelta(now_);
  report.digest = std::move(delta.added);
  report.evicted = std::move(delta.evicted);
  return report;
}

void ReplaySimulation::DeliverReport(std::uint32_t engine,
                                     const AgentReport& report) {
  for (std::uint32_t n = 0; n < trace_.deployment.routers; ++n) {
    std::visit([&](auto& policy) { policy.OnReport(n, engine, report, now_); },
               policy_);
  }
}

void ReplaySimulation::SendReport(std::uint32_t engine) {
  if (fleet_.infos[engine].state == UpstreamState::kLive) {
    const AgentReport report = MakeReport(engine, false);
    Schedule(now_ + trace_.deployment.report_delay,
             [this, engine, report] { DeliverReport(engine, report); });
  }
  Schedule(now_ + kReportInterval, [this, engine] { SendReport(engine); });
}

void ReplaySimulation::AnnounceUpstream(std::uint32_t engine) {
  const UpstreamInfo& info = fleet_.infos[engine];
  std::visit([&](auto& policy) { policy.OnUpstream(engine, info, now_); },
             policy_);
}

void ReplaySimulation::CrashEngine(std::uint32_t engine) {
  ++engine_incarnations_[engine];
  agents_[engine].cache_tracker.Clear();
  const std::vector<EngineJob> lost = fleet_.engines[engine].Crash();
  Schedule(now_ + kLinkFailureDetectionDelay, [this, engine, lost] {
    fleet_.infos[engine].state = UpstreamState::kSuspect;
    AnnounceUpstream(engine);
    for (const EngineJob& job : lost) {
      const PlacementQuery query = QueryOf(job);
      std::visit(
          [&](auto& policy) { policy.OnFinished(query, std::nullopt, now_); },
          policy_);
      PlaceRequest(job.request, job.attempt_number + 1);
    }
  });
  Schedule(now_ + kEngineRestart, [this, engine] { RestartEngine(engine); });
}

void ReplaySimulation::RestartEngine(std::uint32_t engine) {
  UpstreamInfo& info = fleet_.infos[engine];
  info.state = UpstreamState::kLive;
  info.engine_incarnation = Incarnation(engine_incarnations_[engine]);
  AnnounceUpstream(engine);
}

void ReplaySimulation::RestartRouters() {
  std::visit([&](auto& policy) { policy.OnRoutersRestarted(fleet_, now_); },
             policy_);
  for (std::uint32_t n = 0; n < fleet_.engines.size(); ++n) {
    const auto delay =
        kFirstDigestDelay + kFirstDigestSpread * n / fleet_.engines.size();
    Schedule(now_ + delay,
             [this, n] { DeliverReport(n, MakeReport(n, true)); });
  }
}

}  // namespace yuccapick::replay
