#include "util/detail/outcome_world.h"

#include <algorithm>
#include <utility>

namespace yuccapick::outcome {
namespace {

constexpr std::size_t kRouters = 3;
constexpr std::size_t kPlainAgents = 3;
constexpr std::size_t kAgents = 5;
constexpr milliseconds kPollInterval{250};
constexpr microseconds kTellLag{2'000};
constexpr milliseconds kReportInterval{500};
constexpr std::chrono::seconds kLongestRun{400};
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

Tally RunSchedule(const WorldOptions& options) { return World(options).Run(); }

World::World(WorldOptions options)
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
    agents_[n].upstream = std::make_unique<MemoryUpstream>(
        timeline_, faults_, callers_, agents_[n].info.kind,
        [this, n](AgentEvent event) {
          ToAgent(n, agents_[n].life, std::move(event));
        });
    agents_[n].life = 0;
    StartAgent(n);
    PollUpstream(n);
  }
  for (std::size_t n = 0; n < kRouters; ++n) {
    routers_[n].life = 0;
    StartRouter(n);
  }
}

World::~World() = default;

Tally World::Run() {
  callers_.Start(options_.jobs, options_.busy);
  PlanFaults();
  timeline_.After(options_.busy, [this] { Heal(); });
  const TimePoint end = timeline_.now() + kLongestRun;
  while (!callers_.AllSettled() && timeline_.RunOne(end)) {
  }
  Tally tally = callers_.Finish();
  tally.table_transactions = table_.transactions();
  tally.table_rows = table_.rows_written();
  return tally;
}

void World::StartRouter(std::size_t n) {
  Router& router = routers_[n];
  ++router.life;
  router.up = true;
  router.next_wake.reset();
  RouterCoreOptions options;
  options.instance = InstanceId("router-" + std::to_string(n));
  options.incarnation = Incarnation(router.life);
  options.seed = timeline_.Seed();
  options.guards = options_.guards;
  router.core = std::make_unique<RouterCore>(options);
  ToRouter(n, router.life, ConfigChanged{config_});
  for (const Agent& agent : agents_) {
    ToRouter(n, router.life, UpstreamChanged{agent.info});
  }
}

void World::StartAgent(std::size_t n) {
  Agent& agent = agents_[n];
  ++agent.life;
  agent.up = true;
  agent.next_wake.reset();
  agent.left.reset();
  agent.info.agent_incarnation = Incarnation(agent.life * kIncarnationStep);
  agent.info.engine_incarnation = agent.info.agent_incarnation;
  agent.info.state = UpstreamState::kLive;
  if (agent.info.kind == UpstreamKind::kModelEngine) {
    agent.info.loaded = {Loaded()};
  }
  AgentCoreOptions options;
  options.upstream = agent.info;
  options.report_interval = kReportInterval;
  options.seed = timeline_.Seed();
  options.guards = options_.guards;
  agent.core = std::make_unique<AgentCore>(options);
  ToAgent(n, agent.life, ConfigChanged{config_});
}

void World::TellRouters(const UpstreamInfo& info, microseconds lag) {
  for (std::size_t n = 0; n < kRouters; ++n) {
    timeline_.After(lag, [this, n, info] {
      ToRouter(n, routers_[n].life, UpstreamChanged{info});
    });
  }
}

void World::ToRouter(std::size_t n, std::uint64_t life, RouterEvent event) {
  Router& router = routers_[n];
  if (!router.up || router.life != life) return;
  if (router.paused_until > timeline_.now()) {
    timeline_.At(router.paused_until,
                 [this, n, life, event = std::move(event)] {
                   ToRouter(n, life, event);
                 });
    return;
  }
  const TimePoint clock = timeline_.now() + router.clock_offset;
  for (const RouterAction& action : router.core->Handle(event, clock)) {
    if (!router.up || router.life != life) return;
    Do(n, action);
  }
}

void World::ToAgent(std::size_t n, std::uint64_t life, AgentEvent event) {
  Agent& agent = agents_[n];
  if (!agent.up || agent.life != life) return;
  if (agent.paused_until > timeline_.now()) {
    timeline_.At(agent.paused_until, [this, n, life, event = std::move(event)] {
      ToAgent(n, life, event);
    });
    return;
  }
  const TimePoint clock = timeline_.now() + agent.clock_offset;
  for (const AgentAction& action : agent.core->Handle(event, clock)) {
    if (!agent.up || agent.life != life) return;
    Do(n, action);
  }
}

void World::WakeRouter(std::size_t n, TimePoint when) {
  Router& router = routers_[n];
  const TimePoint at =
      std::max(when - router.clock_offset, timeline_.now()) + milliseconds(1);
  if (router.next_wake && *router.next_wake <= at) return;
  router.next_wake = at;
  timeline_.At(at, [this, n, life = router.life, at] {
    if (routers_[n].life != life || routers_[n].next_wake != at) return;
    routers_[n].next_wake.reset();
    ToRouter(n, life, Tick{});
  });
}

void World::WakeAgent(std::size_t n, TimePoint when) {
  Agent& agent = agents_[n];
  const TimePoint at =
      std::max(when - agent.clock_offset, timeline_.now()) + milliseconds(1);
  if (agent.next_wake && *agent.next_wake <= at) return;
  agent.next_wake = at;
  timeline_.At(at, [this, n, life = agent.life, at] {
    if (agents_[n].life != life || agents_[n].next_wake != at) return;
    agents_[n].next_wake.reset();
    ToAgent(n, life, Tick{});
  });
}

void World::PollUpstream(std::size_t n) {
  Agent& agent = agents_[n];
  if (agent.upstream->up()) {
    ToAgent(n, agent.life,
            UpstreamPolled{agent.upstream->boot_id(), {}, agent.info.loaded});
  } else {
    ToAgent(n, agent.life, UpstreamUnreachable{});
  }
  timeline_.After(kPollInterval, [this, n] { PollUpstream(n); });
}

bool World::SendToSomeRouter(const CallerRequest& request) {
  const std::size_t first = timeline_.Below(kRouters);
  for (std::size_t n = 0; n < kRouters; ++n) {
    const std::size_t router = (first + n) % kRouters;
    if (!routers_[router].up) continue;
    request_routers_[request.id] = router;
    timeline_.After(kTellLag,
                    [this, router, life = routers_[router].life, request] {
                      if (routers_[router].life != life) {
                        callers_.OnConnectionLost(request.id);
                        return;
                      }
                      ToRouter(router, life, RequestArrived{request});
                    });
    return true;
  }
  return false;
}

}  // namespace yuccapick::outcome
