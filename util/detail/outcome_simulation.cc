#include "util/detail/outcome_simulation.h"

#include <algorithm>
#include <utility>

namespace yuccapick::outcome {
namespace {

constexpr std::size_t kRouters = 3;
constexpr std::size_t kPlainAgents = 3;
constexpr std::size_t kAgents = 5;
constexpr milliseconds kPollInterval{250};
constexpr microseconds kRequestDelay{2'000};
constexpr milliseconds kReportInterval{500};
constexpr std::chrono::seconds kMaxRunTime{400};
constexpr std::uint64_t kIncarnationStep = 1'000;

ConfigPtr MakeConfig() {
  auto config = std::make_shared<ConfigSnapshot>();
  config->version = ConfigVersion(3);
  config->teams = {{TeamId("fen"), {}, 1.0}, {TeamId("moor"), {}, 1.0}};
  config->models = {{ModelId("moor-8b"), WeightVersion("v1"), {}, 1}};
  ServiceConfig assistant;
  assistant.id = ServiceId("assistant");
  assistant.models = {ModelId("moor-8b")};
  ServiceConfig bookings;
  bookings.id = ServiceId("bookings");
  bookings.kind = ServiceKind::kPlain;
  bookings.idempotent = false;
  config->services = {assistant, bookings};
  return config;
}

UpstreamInfo MakeInfo(std::size_t n) {
  UpstreamInfo info;
  info.id = UpstreamId("upstream-" + std::to_string(n));
  const bool is_plain = n < kPlainAgents;
  info.kind =
      is_plain ? UpstreamKind::kPlainService : UpstreamKind::kModelEngine;
  if (is_plain) info.services = {ServiceId("bookings")};
  return info;
}

LoadedModel Loaded() {
  return {ModelId("moor-8b"), AdapterId(), WeightVersion("v1")};
}

}  // namespace

OutcomeCounts RunSchedule(const ScheduleOptions& options) {
  return ScheduleSimulation(options).Run();
}

ScheduleSimulation::ScheduleSimulation(ScheduleOptions options)
    : options_(options),
      timeline_(options.seed),
      faults_(options.faults),
      callers_(timeline_, faults_,
               [this](const CallerRequest& request) {
                 return SendToSomeRouter(request);
               }),
      table_(timeline_, faults_),
      routers_(kRouters),
      agents_(kAgents),
      config_(MakeConfig()) {
  for (std::size_t n = 0; n < kAgents; ++n) {
    agents_[n].info = MakeInfo(n);
    agents_[n].upstream = std::make_unique<InMemoryUpstream>(
        timeline_, faults_, callers_, agents_[n].info.kind,
        [this, n](AgentEvent event) {
          DeliverToAgent(n, agents_[n].incarnation, std::move(event));
        });
    agents_[n].incarnation = 0;
    StartAgent(n);
    PollUpstream(n);
  }
  for (std::size_t n = 0; n < kRouters; ++n) {
    routers_[n].incarnation = 0;
    StartRouter(n);
  }
}

ScheduleSimulation::~ScheduleSimulation() = default;

OutcomeCounts ScheduleSimulation::Run() {
  callers_.Start(options_.jobs, options_.active_period);
  ScheduleFaults();
  timeline_.After(options_.active_period, [this] { ClearFaults(); });
  const TimePoint end = timeline_.now() + kMaxRunTime;
  while (!callers_.AllSettled() && timeline_.RunNext(end)) {
  }
  OutcomeCounts counts = callers_.Finish();
  counts.table_transactions = table_.transactions();
  counts.table_rows = table_.rows_written();
  return counts;
}

void ScheduleSimulation::StartRouter(std::size_t n) {
  Router& router = routers_[n];
  ++router.incarnation;
  router.up = true;
  router.next_wake.reset();
  RouterCoreOptions options;
  options.instance = InstanceId("router-" + std::to_string(n));
  options.incarnation = Incarnation(router.incarnation);
  options.seed = timeline_.RandomSeed();
  options.guards = options_.guards;
  router.core = std::make_unique<RouterCore>(options);
  DeliverToRouter(n, router.incarnation, ConfigChanged{config_});
  for (const Agent& agent : agents_) {
    DeliverToRouter(n, router.incarnation, UpstreamChanged{agent.info});
  }
}

void ScheduleSimulation::StartAgent(std::size_t n) {
  Agent& agent = agents_[n];
  ++agent.incarnation;
  agent.up = true;
  agent.next_wake.reset();
  agent.drain_requested_at.reset();
  agent.info.agent_incarnation =
      Incarnation(agent.incarnation * kIncarnationStep);
  agent.info.engine_incarnation = agent.info.agent_incarnation;
  agent.info.state = UpstreamState::kLive;
  if (agent.info.kind == UpstreamKind::kModelEngine) {
    agent.info.loaded = {Loaded()};
  }
  AgentCoreOptions options;
  options.upstream = agent.info;
  options.report_interval = kReportInterval;
  options.seed = timeline_.RandomSeed();
  options.guards = options_.guards;
  agent.core = std::make_unique<AgentCore>(options);
  DeliverToAgent(n, agent.incarnation, ConfigChanged{config_});
}

void ScheduleSimulation::AnnounceUpstream(const UpstreamInfo& info,
                                          microseconds delay) {
  for (std::size_t n = 0; n < kRouters; ++n) {
    timeline_.After(delay, [this, n, info] {
      DeliverToRouter(n, routers_[n].incarnation, UpstreamChanged{info});
    });
  }
}

void ScheduleSimulation::DeliverToRouter(std::size_t n,
                                         std::uint64_t incarnation,
                                         RouterEvent event) {
  Router& router = routers_[n];
  if (!router.up || router.incarnation != incarnation) return;
  if (router.paused_until > timeline_.now()) {
    timeline_.At(router.paused_until,
                 [this, n, incarnation, event = std::move(event)] {
                   DeliverToRouter(n, incarnation, event);
                 });
    return;
  }
  const TimePoint clock = timeline_.now() + router.clock_offset;
  for (const RouterAction& action : router.core->Handle(event, clock)) {
    if (!router.up || router.incarnation != incarnation) return;
    HandleAction(n, action);
  }
}

void ScheduleSimulation::DeliverToAgent(std::size_t n,
                                        std::uint64_t incarnation,
                                        AgentEvent event) {
  Agent& agent = agents_[n];
  if (!agent.up || agent.incarnation != incarnation) return;
  if (agent.paused_until > timeline_.now()) {
    timeline_.At(agent.paused_until,
                 [this, n, incarnation, event = std::move(event)] {
                   DeliverToAgent(n, incarnation, event);
                 });
    return;
  }
  const TimePoint clock = timeline_.now() + agent.clock_offset;
  for (const AgentAction& action : agent.core->Handle(event, clock)) {
    if (!agent.up || agent.incarnation != incarnation) return;
    HandleAction(n, action);
  }
}

void ScheduleSimulation::WakeRouter(std::size_t n, TimePoint when) {
  Router& router = routers_[n];
  const TimePoint at =
      std::max(when - router.clock_offset, timeline_.now()) + milliseconds(1);
  if (router.next_wake && *router.next_wake <= at) return;
  router.next_wake = at;
  timeline_.At(at, [this, n, incarnation = router.incarnation, at] {
    if (routers_[n].incarnation != incarnation || routers_[n].next_wake != at) {
      return;
    }
    routers_[n].next_wake.reset();
    DeliverToRouter(n, incarnation, Tick{});
  });
}

void ScheduleSimulation::WakeAgent(std::size_t n, TimePoint when) {
  Agent& agent = agents_[n];
  const TimePoint at =
      std::max(when - agent.clock_offset, timeline_.now()) + milliseconds(1);
  if (agent.next_wake && *agent.next_wake <= at) return;
  agent.next_wake = at;
  timeline_.At(at, [this, n, incarnation = agent.incarnation, at] {
    if (agents_[n].incarnation != incarnation || agents_[n].next_wake != at) {
      return;
    }
    agents_[n].next_wake.reset();
    DeliverToAgent(n, incarnation, Tick{});
  });
}

void ScheduleSimulation::PollUpstream(std::size_t n) {
  Agent& agent = agents_[n];
  if (agent.upstream->up()) {
    DeliverToAgent(
        n, agent.incarnation,
        UpstreamPolled{agent.upstream->boot_id(), {}, agent.info.loaded});
  } else {
    DeliverToAgent(n, agent.incarnation, UpstreamUnreachable{});
  }
  timeline_.After(kPollInterval, [this, n] { PollUpstream(n); });
}

bool ScheduleSimulation::SendToSomeRouter(const CallerRequest& request) {
  const std::size_t first = timeline_.RandomBelow(kRouters);
  for (std::size_t n = 0; n < kRouters; ++n) {
    const std::size_t router = (first + n) % kRouters;
    if (!routers_[router].up) continue;
    request_routers_[request.id] = router;
    timeline_.After(
        kRequestDelay,
        [this, router, incarnation = routers_[router].incarnation, request] {
          if (routers_[router].incarnation != incarnation) {
            callers_.OnConnectionLost(request.id);
            return;
          }
          DeliverToRouter(router, incarnation, RequestArrived{request});
        });
    return true;
  }
  return false;
}

}  // namespace yuccapick::outcome
