#include "yuccapick/direct_placement.h"

#include <algorithm>
#include <array>
#include <utility>

#include "yuccapick/rendezvous.h"

namespace yuccapick {
namespace {

constexpr double kTokensPerK = 1'000.0;
constexpr double kBytesPerKb = 1'000.0;

bool WasTried(const PlacementQuery& query, const UpstreamId& id) {
  return std::find(query.tried.begin(), query.tried.end(), id) !=
         query.tried.end();
}

}  // namespace

const PlacementCandidate* DirectPlacement::FindHome(
    const PlacementQuery& query, const PlacementFleet& fleet,
    const UpstreamHealth& health, TimePoint now) const {
  // The scope depends on the loaded weights. An empty one is hashed instead, so
  // that the home stays the same when new weights are loaded.
  const PartChain chain = SharedChain("", query.parts);
  if (chain.empty()) return nullptr;
  const PlacementCandidate* home = nullptr;
  WeightedScore home_score;
  for (const PlacementCandidate& node : fleet.candidates) {
    if (node.loading || node.limited) continue;
    if (health.Paused(node.upstream->id, now)) continue;
    const WeightedScore score{
        RendezvousScore(chain.back().hash,
                        RendezvousNodeHash(node.upstream->id.value)),
        RendezvousWeight(node.slowdown)};
    if (home != nullptr && !(home_score < score)) continue;
    home = &node;
    home_score = score;
  }
  return home;
}

DirectPlacement::PartSources DirectPlacement::FindPartSources(
    const std::string& scope, const PlacementQuery& query,
    const PlacementFleet& fleet, const PartDirectory& directory,
    TimePoint now) const {
  PartSources sources;
  sources.chain = SharedChain(scope, query.parts);
  for (const PartKey& key : sources.chain) {
    sources.tokens_before_last = sources.shared_tokens;
    sources.shared_tokens += key.tokens;
  }
  if (!fleet.kv_store_endpoint.empty()) {
    sources.store_tokens =
        directory.TokensInStore(sources.chain, fleet.kv_store_endpoint, now);
  }
  for (const PartHolder& holder : directory.Holders(sources.chain, now)) {
    for (const PlacementCandidate& engine : fleet.candidates) {
      if (engine.upstream->id != holder.upstream || engine.loading) continue;
      if (engine.cache_scope != scope) continue;
      sources.engines.push_back(
          {engine.upstream->endpoint, holder.importable_tokens});
      sources.most_held_tokens =
          std::max(sources.most_held_tokens, holder.expected_tokens);
    }
  }
  sources.known_tokens =
      std::max(sources.store_tokens, sources.most_held_tokens);
  return sources;
}

DirectPlacement::PartImport DirectPlacement::EngineImport(
    const PartSources& sources, const PlacementCandidate& candidate,
    Cost cost) {
  for (const PartSource& engine : sources.engines) {
    if (engine.endpoint == candidate.upstream->endpoint) continue;
    return {engine.endpoint, engine.tokens, 0, cost};
  }
  return {};
}

DirectPlacement::PartImport DirectPlacement::StoreImport(
    const PartSources& sources, const PlacementFleet& fleet,
    std::uint32_t held_tokens, TimePoint now) const {
  if (sources.store_tokens <= held_tokens) return {};
  PartImport import{fleet.kv_store_endpoint, sources.store_tokens,
                    sources.store_tokens - held_tokens,
                    costs_.import_from_store};
  if (fleet.kv_store_link != nullptr) {
    import.cost += fleet.kv_store_link->Wait(now);
    import.cost += fleet.kv_store_link->TimeFor(import.store_tokens);
  }
  return import;
}

DirectPlacement::PartImport DirectPlacement::BestImport(
    const PartSources& sources, const PlacementFleet& fleet,
    const PlacementCandidate& candidate, std::uint32_t held_tokens,
    TimePoint now) const {
  PartImport best;
  best.tokens = held_tokens;
  Cost best_saving{0};
  // On equal savings engines come first: the KV store's link has less bandwidth
  // and is shared by all.
  for (PartImport& import :
       std::array{EngineImport(sources, candidate, costs_.import_from_engine),
                  StoreImport(sources, fleet, held_tokens, now)}) {
    if (import.tokens <= held_tokens) continue;
    const double k_tokens = (import.tokens - held_tokens) / kTokensPerK;
    const Cost saving = costs_.recompute_per_k_tokens * k_tokens - import.cost;
    if (saving <= best_saving) continue;
    best_saving = saving;
    best = std::move(import);
  }
  return best;
}

DirectPlacement::Cost DirectPlacement::RecomputeCost(const PartSources& sources,
                                                     std::uint32_t held_tokens,
                                                     bool at_home) const {
  const std::uint32_t known = std::max(sources.known_tokens, held_tokens);
  const Cost recompute =
      costs_.recompute_per_k_tokens * ((known - held_tokens) / kTokensPerK);
  if (at_home) return recompute;
  const std::uint32_t unknown = sources.shared_tokens - known;
  return recompute +
         costs_.away_from_home_per_k_tokens * (unknown / kTokensPerK);
}

DirectPlacement::Cost DirectPlacement::PlanPartTransfers(
    const PartSources& sources, const PlacementQuery& query,
    const PlacementFleet& fleet, const PlacementCandidate& candidate,
    const PlacementCandidate* home, const PartDirectory& directory,
    TimePoint now, DirectPlacementDecision& choice) const {
  const std::uint32_t held_tokens =
      directory.TokensAt(sources.chain, candidate.upstream->id, now);
  PartImport import = BestImport(sources, fleet, candidate, held_tokens, now);
  const bool in_store = sources.store_tokens >= sources.shared_tokens;
  // The directory expects a complete hit. Naming the KV store as source costs
  // nothing then, and helps if the directory is out of date.
  if (held_tokens >= sources.shared_tokens && in_store) {
    import.endpoint = fleet.kv_store_endpoint;
  }
  choice.import_from = std::move(import.endpoint);
  choice.store_tokens = import.store_tokens;
  const TransferLink* link = fleet.kv_store_link;
  const bool store_free =
      link == nullptr || link->Wait(now) <= costs_.max_export_wait;
  const bool long_enough = sources.shared_tokens >= costs_.min_shared_tokens;
  if (long_enough && !in_store && store_free) {
    choice.export_to = fleet.kv_store_endpoint;
    choice.store_tokens += query.prompt_tokens;
  }
  choice.known_tokens = sources.known_tokens;
  choice.at_home = &candidate == home;
  choice.expected_cached_tokens = import.tokens;
  choice.missing_tokens =
      query.prompt_tokens - std::min(query.prompt_tokens, import.tokens);
  return import.cost +
         Cost(choice.missing_tokens / fleet.prefill_tokens_per_ms) *
             candidate.slowdown +
         RecomputeCost(sources, import.tokens, &candidate == home);
}

DirectPlacement::Cost DirectPlacement::ExpectedWait(
    const PlacementCandidate& candidate, const PlacementQuery& query,
    const PlacementFleet& fleet, const UpstreamLoad& load,
    TimePoint now) const {
  const UpstreamEntry& upstream = *candidate.upstream;
  const WorkAmount work = load.Total(upstream.id, now);
  Cost wait = costs_.per_running_request * work.requests;
  wait += Cost(static_cast<double>(work.prefill_tokens) /
               fleet.prefill_tokens_per_ms);
  wait *= candidate.slowdown;
  double used_share = 0;
  const std::uint64_t kv_capacity = fleet.kv_capacity_tokens;
  if (kv_capacity > 0) {
    const std::uint64_t tokens =
        work.kv_tokens + query.prompt_tokens + query.output_tokens;
    used_share = static_cast<double>(tokens) / static_cast<double>(kv_capacity);
  } else {
    used_share = static_cast<double>(work.requests + 1) / upstream.slots;
  }
  if (used_share > costs_.overload_threshold) {
    wait += costs_.overload * (used_share - costs_.overload_threshold);
  }
  if (upstream.domain != own_domain_) {
    wait += costs_.cross_domain;
    wait += costs_.cross_domain_per_kb * (query.body_bytes / kBytesPerKb);
  }
  return wait;
}

DirectPlacement::Cost DirectPlacement::FailureCost(
    const PlacementCandidate& candidate, const UpstreamHealth& health,
    TimePoint now) const {
  const UpstreamId& id = candidate.upstream->id;
  Cost cost = costs_.failure * health.FailureRate(id, now);
  if (candidate.loading || health.Paused(id, now)) cost += costs_.last_resort;
  if (candidate.old_weights) cost += costs_.old_weights;
  return cost;
}

std::vector<const PlacementCandidate*> DirectPlacement::RankEngines(
    const PlacementQuery& query, const PlacementFleet& fleet,
    const UpstreamHealth& health, TimePoint now) {
  std::vector<std::pair<std::uint64_t, const PlacementCandidate*>> ranked;
  for (const PlacementCandidate& node : fleet.candidates) {
    const UpstreamId& id = node.upstream->id;
    if (node.held_back || node.loading || health.Paused(id, now)) continue;
    if (WasTried(query, id)) continue;
    const std::uint64_t node_hash = RendezvousNodeHash(id.value);
    ranked.emplace_back(RendezvousScore(query.random, node_hash), &node);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<const PlacementCandidate*> engines;
  engines.reserve(ranked.size());
  for (const auto& [score, engine] : ranked) engines.push_back(engine);
  return engines;
}

bool DirectPlacement::IsHolder(const PartSources& sources,
                               std::uint32_t held_tokens) const {
  if (sources.most_held_tokens < costs_.min_shared_tokens) return false;
  return held_tokens > sources.tokens_before_last ||
         held_tokens >= sources.most_held_tokens;
}

std::set<const PlacementCandidate*> DirectPlacement::DrawEngines(
    const std::vector<const PlacementCandidate*>& ranked,
    const SourcesByScope& sources, const PartDirectory& directory,
    TimePoint now) const {
  const std::size_t most = costs_.drawn_engines;
  std::set<const PlacementCandidate*> drawn;
  std::size_t near = 0;
  std::size_t far = 0;
  for (const PlacementCandidate* engine : ranked) {
    std::size_t& n = engine->upstream->domain == own_domain_ ? near : far;
    if (++n <= most) drawn.insert(engine);
  }
  // Some fleets have too few engines in one of the two groups.
  for (const PlacementCandidate* engine : ranked) {
    if (drawn.size() >= 2 * most) break;
    drawn.insert(engine);
  }
  std::size_t holders = 0;
  for (const PlacementCandidate* engine : ranked) {
    const PartSources& found = sources.at(engine->cache_scope);
    const std::uint32_t held =
        directory.TokensAt(found.chain, engine->upstream->id, now);
    if (!IsHolder(found, held)) continue;
    const bool has_last_part = held > found.tokens_before_last;
    if (!has_last_part && ++holders > 2 * most) continue;
    drawn.insert(engine);
  }
  return drawn;
}

std::optional<DirectPlacementDecision> DirectPlacement::Choose(
    const PlacementQuery& query, const PlacementFleet& fleet,
    const PartDirectory& directory, const UpstreamLoad& load,
    const UpstreamHealth& health, TimePoint now) const {
  const PlacementCandidate* home = FindHome(query, fleet, health, now);
  SourcesByScope sources;
  for (const PlacementCandidate& it : fleet.candidates) {
    if (sources.contains(it.cache_scope)) continue;
    sources[it.cache_scope] =
        FindPartSources(it.cache_scope, query, fleet, directory, now);
  }
  std::set<const PlacementCandidate*> drawn;
  if (fleet.kv_capacity_tokens > 0) {
    drawn = DrawEngines(RankEngines(query, fleet, health, now), sources,
                        directory, now);
  }
  std::optional<DirectPlacementDecision> best;
  for (const PlacementCandidate& candidate : fleet.candidates) {
    if (candidate.held_back) continue;
    if (WasTried(query, candidate.upstream->id)) continue;
    const bool compared =
        drawn.empty() || drawn.contains(&candidate) || &candidate == home;
    if (!compared) continue;
    DirectPlacementDecision choice;
    choice.upstream = candidate.upstream->id;
    choice.kv_store = fleet.kv_store_endpoint;
    choice.cache_scope = candidate.cache_scope;
    choice.cost = ExpectedWait(candidate, query, fleet, load, now);
    choice.cost += FailureCost(candidate, health, now);
    choice.cost +=
        PlanPartTransfers(sources.at(candidate.cache_scope), query, fleet,
                          candidate, home, directory, now, choice);
    if (!best || choice.cost < best->cost) best = std::move(choice);
  }
  return best;
}

}  // namespace yuccapick
