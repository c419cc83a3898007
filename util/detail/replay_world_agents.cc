#include <utility>

#include "util/detail/replay_world.h"

namespace yuccapick::replay {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kEngineRestart{1'000};
constexpr milliseconds kFirstDigestDelay{10};
constexpr milliseconds kFirstDigestSpread{40};

}  // namespace

AgentReport ReplayWorld::MakeReport(std::uint32_t engine, bool full) {
  Agent& agent = agents_[engine];
  AgentReport report;
  report.upstream = fleet_.infos[engine];
  report.load = fleet_.engines[engine].Load(now_);
  report.digest_is_full = full;
  if (full) {
    report.digest = agent.picture.FullDigest(now_);
    return report;
  }
  report.sequence = ++agent.report_sequence;
  CacheDelta delta = agent.picture.TakeDelta(now_);
  report.digest = std::move(delta.added);
  report.evicted = std::move(delta.evicted);
  return report;
}

void ReplayWorld::Deliver(std::uint32_t engine, const AgentReport& report) {
  for (std::uint32_t n = 0; n < trace_.deployment.routers; ++n) {
    std::visit([&](auto& policy) { policy.OnReport(n, engine, report, now_); },
               policy_);
  }
}

void ReplayWorld::SampleReport(std::uint32_t engine) {
  if (fleet_.infos[engine].state == UpstreamState::kLive) {
    const AgentReport report = MakeReport(engine, false);
    At(now_ + trace_.deployment.report_delay,
       [this, engine, report] { Deliver(engine, report); });
  }
  At(now_ + kReportInterval, [this, engine] { SampleReport(engine); });
}

void ReplayWorld::AnnounceUpstream(std::uint32_t engine) {
  const UpstreamInfo& info = fleet_.infos[engine];
  std::visit([&](auto& policy) { policy.OnUpstream(engine, info, now_); },
             policy_);
}

void ReplayWorld::CrashEngine(std::uint32_t engine) {
  ++lives_[engine];
  agents_[engine].picture.Clear();
  const std::vector<EngineJob> lost = fleet_.engines[engine].Crash();
  At(now_ + kLinkBreakDetected, [this, engine, lost] {
    fleet_.infos[engine].state = UpstreamState::kSuspect;
    AnnounceUpstream(engine);
    for (const EngineJob& job : lost) {
      const Query query = QueryOf(job);
      std::visit(
          [&](auto& policy) { policy.OnFinished(query, std::nullopt, now_); },
          policy_);
      Arrive(job.request, job.try_number + 1);
    }
  });
  At(now_ + kEngineRestart, [this, engine] { RestartEngine(engine); });
}

void ReplayWorld::RestartEngine(std::uint32_t engine) {
  UpstreamInfo& info = fleet_.infos[engine];
  info.state = UpstreamState::kLive;
  info.engine_incarnation = Incarnation(lives_[engine]);
  AnnounceUpstream(engine);
}

void ReplayWorld::RestartRouters() {
  std::visit([&](auto& policy) { policy.OnRoutersRestarted(fleet_, now_); },
             policy_);
  for (std::uint32_t n = 0; n < fleet_.engines.size(); ++n) {
    const auto delay =
        kFirstDigestDelay + kFirstDigestSpread * n / fleet_.engines.size();
    At(now_ + delay, [this, n] { Deliver(n, MakeReport(n, true)); });
  }
}

}  // namespace yuccapick::replay
