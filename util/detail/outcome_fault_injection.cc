#include <algorithm>
#include <utility>

#include "util/detail/outcome_simulation.h"

namespace yuccapick::outcome {
namespace {

constexpr microseconds kMinRestartTime{20'000};
constexpr microseconds kMaxRestartTime{1'500'000};
constexpr microseconds kMinPause{50'000};
constexpr microseconds kMaxPause{5'000'000};
constexpr microseconds kMinOutage{200'000};
constexpr microseconds kMaxOutage{4'000'000};
constexpr microseconds kMaxClockStep{20'000'000};
constexpr microseconds kMaxListingDelay{3'000'000};
constexpr milliseconds kDrainDeadline{1'000};
constexpr std::size_t kInjectionsPerFault = 2;

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

void ScheduleSimulation::ScheduleFaults() {
  for (std::size_t n = 0; n < kFaultCount; ++n) {
    const auto fault = static_cast<Fault>(n);
    if (!Has(faults_, fault) || !IsTimed(fault)) continue;
    for (std::size_t injection = 0; injection < kInjectionsPerFault;
         ++injection) {
      timeline_.After(
          timeline_.RandomBetween(microseconds(0), options_.active_period),
          [this, fault] { InjectFault(fault); });
    }
  }
}

void ScheduleSimulation::InjectFault(Fault fault) {
  const std::size_t router = timeline_.RandomBelow(routers_.size());
  const std::size_t agent = timeline_.RandomBelow(agents_.size());
  switch (fault) {
    case Fault::kRouterCrash:
      CrashRouter(router);
      break;
    case Fault::kAgentCrash:
      CrashAgent(agent);
      break;
    case Fault::kUpstreamCrash:
      agents_[agent].upstream->Crash(
          timeline_.RandomBetween(kMinRestartTime, kMaxRestartTime));
      break;
    case Fault::kRouterPause:
      routers_[router].paused_until =
          timeline_.now() + timeline_.RandomBetween(kMinPause, kMaxPause);
      break;
    case Fault::kAgentPause:
      agents_[agent].paused_until =
          timeline_.now() + timeline_.RandomBetween(kMinPause, kMaxPause);
      break;
    case Fault::kOutage:
      table_.BeginOutage();
      timeline_.After(timeline_.RandomBetween(kMinOutage, kMaxOutage),
                      [this] { table_.ClearFaults(); });
      break;
    case Fault::kClockStep:
      routers_[router].clock_offset +=
          timeline_.RandomBetween(-kMaxClockStep, kMaxClockStep);
      agents_[agent].clock_offset +=
          timeline_.RandomBetween(-kMaxClockStep, kMaxClockStep);
      break;
    case Fault::kLeave:
      DrainAgent(agent);
      break;
    case Fault::kRouterDrain:
      DrainRouter(router);
      break;
    default:
      break;
  }
}

void ScheduleSimulation::CrashRouter(std::size_t n) {
  Router& router = routers_[n];
  if (!router.up) return;
  router.up = false;
  for (const auto& [attempt, stream] : streams_) {
    if (stream.router != n || stream.router_incarnation != router.incarnation) {
      continue;
    }
    timeline_.After(NetworkDelay(), [this, attempt = attempt, stream = stream] {
      DeliverToAgent(stream.agent, stream.agent_incarnation,
                     AttemptAbandoned{attempt, true});
    });
  }
  for (const auto& [request, owner] : request_routers_) {
    if (owner != n) continue;
    timeline_.After(NetworkDelay(), [this, request = request] {
      callers_.OnConnectionLost(request);
    });
  }
  timeline_.After(timeline_.RandomBetween(kMinRestartTime, kMaxRestartTime),
                  [this, n] { StartRouter(n); });
}

void ScheduleSimulation::CrashAgent(std::size_t n) {
  Agent& agent = agents_[n];
  if (!agent.up) return;
  agent.up = false;
  agent.upstream->CloseConnections();
  for (auto it = streams_.begin(); it != streams_.end();) {
    const Stream stream = it->second;
    if (stream.agent != n || stream.agent_incarnation != agent.incarnation) {
      ++it;
      continue;
    }
    timeline_.After(NetworkDelay(), [this, stream, attempt = it->first] {
      DeliverToRouter(
          stream.router, stream.router_incarnation,
          AttemptLost{agents_[stream.agent].info.id, attempt, true});
    });
    it = streams_.erase(it);
  }
  timeline_.After(
      timeline_.RandomBetween(kMinRestartTime, kMaxRestartTime), [this, n] {
        StartAgent(n);
        AnnounceUpstream(
            agents_[n].info,
            timeline_.RandomBetween(microseconds(0), kMaxListingDelay));
      });
}

void ScheduleSimulation::DrainAgent(std::size_t n) {
  Agent& agent = agents_[n];
  if (!agent.up || agent.drain_requested_at) return;
  // A paused agent handles the request when it resumes, after the messages
  // that arrived before it.
  agent.drain_requested_at = std::max(timeline_.now(), agent.paused_until);
  DeliverToAgent(n, agent.incarnation, UpstreamDrainRequested{kDrainDeadline});
  // The instance list still shows the agent as live for a while.
  AnnounceUpstream(agent.info,
                   timeline_.RandomBetween(microseconds(0), kMaxListingDelay));
  timeline_.After(4 * kMaxListingDelay,
                  [this, n, incarnation = agent.incarnation] {
                    if (agents_[n].incarnation == incarnation) CrashAgent(n);
                  });
}

void ScheduleSimulation::DrainRouter(std::size_t n) {
  DeliverToRouter(n, routers_[n].incarnation, DrainRequested{kDrainDeadline});
  timeline_.After(2 * kDrainDeadline,
                  [this, n, incarnation = routers_[n].incarnation] {
                    if (routers_[n].incarnation == incarnation) CrashRouter(n);
                  });
}

void ScheduleSimulation::ClearFaults() {
  faults_.reset();
  table_.ClearFaults();
  for (Agent& agent : agents_) agent.upstream->ClearFaults();
}

}  // namespace yuccapick::outcome
