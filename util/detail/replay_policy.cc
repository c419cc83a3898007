#include "util/detail/replay_policy.h"

#include <algorithm>
#include <limits>

#include "yuccapick/rendezvous.h"

namespace yuccapick::replay {
namespace {

constexpr std::chrono::milliseconds kReportAge{300};

bool IsLive(const Fleet& fleet, std::uint32_t engine) {
  return fleet.infos[engine].state == UpstreamState::kLive;
}

const Document& DocumentOf(const Fleet& fleet, const PlacementQuery& query) {
  const Trace& trace = *fleet.trace;
  return trace.documents[trace.requests[query.request].document];
}

std::uint64_t PromptTokens(const Fleet& fleet, const PlacementQuery& query) {
  const Document& document = DocumentOf(fleet, query);
  return PrefixTokens(document, document.pieces.size()) +
         fleet.trace->requests[query.request].question_tokens;
}

/// Returns the live engine with the least cost. Ties are broken by a hash of
/// the request and the engine.
template <typename Cost>
std::uint32_t PickCheapest(const Fleet& fleet, const PlacementQuery& query,
                           Cost cost) {
  const std::uint64_t tie_key =
      fleet.trace->requests[query.request].question_hash;
  std::uint32_t best = 0;
  double best_cost = std::numeric_limits<double>::infinity();
  std::uint64_t best_tie = 0;
  for (std::uint32_t n = 0; n < fleet.engines.size(); ++n) {
    if (!IsLive(fleet, n)) continue;
    const double engine_cost = cost(n);
    const std::uint64_t tie = RendezvousScore(tie_key, n + 1);
    const bool better =
        engine_cost < best_cost || (engine_cost == best_cost && tie > best_tie);
    if (!better) continue;
    best = n;
    best_cost = engine_cost;
    best_tie = tie;
  }
  return best;
}

}  // namespace

RoundRobin::RoundRobin(const Deployment& deployment) {
  for (std::uint32_t n = 0; n < deployment.routers; ++n) {
    next_.push_back(n * deployment.engines / deployment.routers);
  }
}

std::uint32_t RoundRobin::Place(const Fleet& fleet, const PlacementQuery& query,
                                TimePoint /*now*/) {
  std::uint32_t& next = next_[query.router];
  const auto engines = static_cast<std::uint32_t>(fleet.engines.size());
  do {
    next = (next + 1) % engines;
  } while (!IsLive(fleet, next));
  return next;
}

LaggedLoadPolicy::LaggedLoadPolicy(const Deployment& deployment)
    : deployment_(deployment),
      loads_(std::size_t{deployment.routers} * deployment.engines,
             LoadModel(kReportAge)) {}

LoadModel& LaggedLoadPolicy::Load(std::uint32_t router, std::uint32_t engine) {
  return loads_[std::size_t{router} * deployment_.engines + engine];
}

void LaggedLoadPolicy::OnReport(std::uint32_t router, std::uint32_t engine,
                                const AgentReport& report, TimePoint now) {
  Load(router, engine).ApplyReport(report.load, now);
}

void LaggedLoadPolicy::OnRoutersRestarted(const Fleet& /*fleet*/,
                                          TimePoint /*now*/) {
  std::fill(loads_.begin(), loads_.end(), LoadModel(kReportAge));
}

std::uint32_t LeastLoaded::Place(const Fleet& fleet,
                                 const PlacementQuery& query, TimePoint now) {
  const std::uint32_t engine = PickCheapest(fleet, query, [&](std::uint32_t n) {
    return Load(query.router, n).WaitSeconds(now);
  });
  Load(query.router, engine)
      .OnDispatched(PromptTokens(fleet, query), false, now);
  return engine;
}

PrefixHash::PrefixHash(const Deployment& /*deployment*/) {}

std::uint32_t PrefixHash::Place(const Fleet& fleet, const PlacementQuery& query,
                                TimePoint /*now*/) {
  const std::uint64_t key = DocumentOf(fleet, query).pieces.back().chain_hash;
  return PickCheapest(fleet, query, [&](std::uint32_t n) {
    const std::uint64_t node = RendezvousNodeHash(fleet.infos[n].id.value);
    return -static_cast<double>(RendezvousScore(key, node));
  });
}

std::uint32_t GreedyCost::Place(const Fleet& fleet, const PlacementQuery& query,
                                TimePoint now) {
  const Document& document = DocumentOf(fleet, query);
  const std::uint64_t prompt = PromptTokens(fleet, query);
  const auto missing = [&](std::uint32_t n) {
    return prompt - fleet.engines[n].CachedTokens(document, false);
  };
  const std::uint32_t engine = PickCheapest(fleet, query, [&](std::uint32_t n) {
    const LoadModel& load = Load(query.router, n);
    return load.WaitSeconds(now) +
           static_cast<double>(missing(n)) / load.PrefillTokensPerSecond();
  });
  Load(query.router, engine).OnDispatched(missing(engine), false, now);
  return engine;
}

OmniscientGreedy::OmniscientGreedy(const Deployment& /*deployment*/) {}

std::uint32_t OmniscientGreedy::Place(const Fleet& fleet,
                                      const PlacementQuery& query,
                                      TimePoint now) {
  const Document& document = DocumentOf(fleet, query);
  const std::uint64_t prompt = PromptTokens(fleet, query);
  return PickCheapest(fleet, query, [&](std::uint32_t n) {
    const std::uint64_t missing =
        prompt - fleet.engines[n].CachedTokens(document, true);
    return static_cast<double>(
        fleet.engines[n].Load(now).queued_prefill_tokens + missing);
  });
}

Yuccapick::Yuccapick(const Deployment& deployment) : deployment_(deployment) {
  MakeRouters();
}

void Yuccapick::MakeRouters() {
  ++generation_;
  routers_.clear();
  for (std::uint32_t n = 0; n < deployment_.routers; ++n) {
    PlacementOptions options;
    options.domain =
        FailureDomain("domain-" + std::to_string(n % deployment_.domains));
    options.routers = deployment_.routers;
    options.seed = generation_ * 1'000 + n;
    routers_.push_back(std::make_unique<Placement>(options));
  }
}

std::uint32_t Yuccapick::Place(const Fleet& fleet, const PlacementQuery& query,
                               TimePoint now) {
  const TraceRequest& traced = fleet.trace->requests[query.request];
  const Document& document = DocumentOf(fleet, query);
  PlacementRequest request;
  request.scope = document.scope;
  request.pieces = document.pieces;
  const std::uint64_t end_byte =
      document.pieces.back().end_byte +
      static_cast<std::uint64_t>(traced.question_tokens / kTokensPerByte);
  request.pieces.push_back({traced.question_hash, end_byte, true});
  request.prompt_bytes = end_byte;
  request.urgent = traced.urgent;
  request.reuse_weight = deployment_.reuse_weight;
  Placement& placement = *routers_[query.router];
  const std::optional<PlacementDecision> decision =
      placement.Choose(request, now);
  placement.OnDispatched(query.attempt, request, *decision, now);
  for (std::uint32_t n = 0; n < fleet.infos.size(); ++n) {
    if (fleet.infos[n].id == decision->upstream) return n;
  }
  return 0;
}

void Yuccapick::OnUpstream(std::uint32_t /*engine*/, const UpstreamInfo& info,
                           TimePoint now) {
  for (auto& placement : routers_) placement->ApplyUpstream(info, now);
}

void Yuccapick::OnReport(std::uint32_t router, std::uint32_t /*engine*/,
                         const AgentReport& report, TimePoint now) {
  routers_[router]->ApplyReport(report, now);
}

void Yuccapick::OnFirstToken(const PlacementQuery& query, TimePoint now) {
  routers_[query.router]->OnFirstToken(query.attempt, now);
}

void Yuccapick::OnFinished(const PlacementQuery& query,
                           const std::optional<Usage>& usage, TimePoint now) {
  routers_[query.router]->OnFinished(query.attempt, usage, now);
}

void Yuccapick::OnRoutersRestarted(const Fleet& fleet, TimePoint now) {
  MakeRouters();
  for (std::uint32_t n = 0; n < fleet.infos.size(); ++n) {
    OnUpstream(n, fleet.infos[n], now);
  }
}

const std::vector<std::string>& PolicyNames() {
  static const auto* const kNames = new std::vector<std::string>{
      "round_robin", "least_loaded",      "prefix_hash",
      "greedy_cost", "omniscient_greedy", "yuccapick"};
  return *kNames;
}

Policy MakePolicy(const std::string& name, const Deployment& deployment) {
  if (name == "round_robin") return RoundRobin(deployment);
  if (name == "least_loaded") return LeastLoaded(deployment);
  if (name == "prefix_hash") return PrefixHash(deployment);
  if (name == "greedy_cost") return GreedyCost(deployment);
  if (name == "omniscient_greedy") return OmniscientGreedy(deployment);
  return Yuccapick(deployment);
}

}  // namespace yuccapick::replay
