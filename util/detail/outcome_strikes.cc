#include <algorithm>
#include <utility>

#include "util/detail/outcome_world.h"

namespace yuccapick::outcome {
namespace {

constexpr microseconds kShortestRestart{20'000};
constexpr microseconds kLongestRestart{1'500'000};
constexpr microseconds kShortestPause{50'000};
constexpr microseconds kLongestPause{5'000'000};
constexpr microseconds kShortestOutage{200'000};
constexpr microseconds kLongestOutage{4'000'000};
constexpr microseconds kLargestClockStep{20'000'000};
constexpr microseconds kLongestListLag{3'000'000};
constexpr milliseconds kDrainDeadline{1'000};
constexpr std::size_t kStrikes = 2;

bool IsTimed(Fault fault) {
  switch (fault) {
    case Fault::kRouterCrash:
    case Fault::kAgentCrash:
    case Fault::kUpstreamCrash:
    case Fault::kRouterPause:
    case Fault::kAgentPause:
    case Fault::kOutage:
    case Fault::kClockStep:
    case Fault::kLeave:
    case Fault::kRouterDrain:
      return true;
    default:
      return false;
  }
}

}  // namespace

void World::PlanFaults() {
  for (std::size_t n = 0; n < kFaultCount; ++n) {
    const auto fault = static_cast<Fault>(n);
    if (!Has(faults_, fault) || !IsTimed(fault)) continue;
    for (std::size_t strike = 0; strike < kStrikes; ++strike) {
      timeline_.After(timeline_.Between(microseconds(0), options_.busy),
                      [this, fault] { Strike(fault); });
    }
  }
}

void World::Strike(Fault fault) {
  const std::size_t router = timeline_.Below(routers_.size());
  const std::size_t agent = timeline_.Below(agents_.size());
  switch (fault) {
    case Fault::kRouterCrash:
      CrashRouter(router);
      break;
    case Fault::kAgentCrash:
      CrashAgent(agent);
      break;
    case Fault::kUpstreamCrash:
      agents_[agent].upstream->Crash(
          timeline_.Between(kShortestRestart, kLongestRestart));
      break;
    case Fault::kRouterPause:
      routers_[router].paused_until =
          timeline_.now() + timeline_.Between(kShortestPause, kLongestPause);
      break;
    case Fault::kAgentPause:
      agents_[agent].paused_until =
          timeline_.now() + timeline_.Between(kShortestPause, kLongestPause);
      break;
    case Fault::kOutage:
      table_.BeginOutage();
      timeline_.After(timeline_.Between(kShortestOutage, kLongestOutage),
                      [this] { table_.Heal(); });
      break;
    case Fault::kClockStep:
      routers_[router].clock_offset +=
          timeline_.Between(-kLargestClockStep, kLargestClockStep);
      agents_[agent].clock_offset +=
          timeline_.Between(-kLargestClockStep, kLargestClockStep);
      break;
    case Fault::kLeave:
      Leave(agent);
      break;
    case Fault::kRouterDrain:
      Drain(router);
      break;
    default:
      break;
  }
}

void World::CrashRouter(std::size_t n) {
  Router& router = routers_[n];
  if (!router.up) return;
  router.up = false;
  for (const auto& [attempt, stream] : streams_) {
    if (stream.router != n || stream.router_life != router.life) continue;
    timeline_.After(NetworkDelay(), [this, attempt = attempt, stream = stream] {
      ToAgent(stream.agent, stream.agent_life, AttemptAbandoned{attempt, true});
    });
  }
  for (const auto& [request, owner] : request_routers_) {
    if (owner != n) continue;
    timeline_.After(NetworkDelay(), [this, request = request] {
      callers_.OnConnectionLost(request);
    });
  }
  timeline_.After(timeline_.Between(kShortestRestart, kLongestRestart),
                  [this, n] { StartRouter(n); });
}

void World::CrashAgent(std::size_t n) {
  Agent& agent = agents_[n];
  if (!agent.up) return;
  agent.up = false;
  agent.upstream->DropListeners();
  for (auto it = streams_.begin(); it != streams_.end();) {
    const Stream stream = it->second;
    if (stream.agent != n || stream.agent_life != agent.life) {
      ++it;
      continue;
    }
    timeline_.After(NetworkDelay(), [this, stream, attempt = it->first] {
      ToRouter(stream.router, stream.router_life,
               AttemptLost{agents_[stream.agent].info.id, attempt, true});
    });
    it = streams_.erase(it);
  }
  timeline_.After(
      timeline_.Between(kShortestRestart, kLongestRestart), [this, n] {
        StartAgent(n);
        TellRouters(agents_[n].info,
                    timeline_.Between(microseconds(0), kLongestListLag));
      });
}

void World::Leave(std::size_t n) {
  Agent& agent = agents_[n];
  if (!agent.up || agent.left) return;
  // A paused agent hears of it when it wakes, after what arrived before.
  agent.left = std::max(timeline_.now(), agent.paused_until);
  ToAgent(n, agent.life, UpstreamDrainRequested{kDrainDeadline});
  // The list goes on showing it as live for a while.
  TellRouters(agent.info, timeline_.Between(microseconds(0), kLongestListLag));
  timeline_.After(4 * kLongestListLag, [this, n, life = agent.life] {
    if (agents_[n].life == life) CrashAgent(n);
  });
}

void World::Drain(std::size_t n) {
  ToRouter(n, routers_[n].life, DrainRequested{kDrainDeadline});
  timeline_.After(2 * kDrainDeadline, [this, n, life = routers_[n].life] {
    if (routers_[n].life == life) CrashRouter(n);
  });
}

void World::Heal() {
  faults_.reset();
  table_.Heal();
  for (Agent& agent : agents_) agent.upstream->Heal();
}

}  // namespace yuccapick::outcome
