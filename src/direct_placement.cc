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

const PlacementCandidate* DirectPlacement::HomeOf(const PlacementQuery& query,
                                                  const PlacementFleet& fleet,
                                                  const UpstreamHealth& health,
                                                  TimePoint now) const {
  // Without a scope, so that homes stay when new weights come.
  const PartChain chain = SharedChain("", query.parts);
  if (chain.empty()) return nullptr;
  const PlacementCandidate* home = nullptr;
  std::uint64_t home_score = 0;
  for (const PlacementCandidate& it : fleet.candidates) {
    if (it.loading || health.Paused(it.upstream->id, now)) continue;
    const std::uint64_t score = RendezvousScore(
        chain.back().hash, RendezvousNodeHash(it.upstream->id.value));
    if (home != nullptr && score <= home_score) continue;
    home = &it;
    home_score = score;
  }
  return home;
}

DirectPlacement::PartSources DirectPlacement::SourcesIn(
    const std::string& scope, const PlacementQuery& query,
    const PlacementFleet& fleet, const PartDirectory& directory,
    TimePoint now) const {
  PartSources sources;
  sources.chain = SharedChain(scope, query.parts);
  for (const PartKey& key : sources.chain) sources.shared_tokens += key.tokens;
  if (!fleet.kv_store_endpoint.empty()) {
    sources.store_tokens = directory.TokensInStore(sources.chain, now);
  }
  sources.known_tokens = sources.store_tokens;
  for (const PartHolder& holder : directory.Holders(sources.chain, now)) {
    for (const PlacementCandidate& it : fleet.candidates) {
      if (it.upstream->id != holder.upstream || it.loading) continue;
      if (it.cache_scope != scope) continue;
      sources.engines.push_back({it.upstream->endpoint, holder.read_tokens});
      sources.known_tokens =
          std::max(sources.known_tokens, holder.expected_tokens);
    }
  }
  return sources;
}

DirectPlacement::PartImport DirectPlacement::EngineImport(
    const PartSources& sources, const PlacementCandidate& it, Cost cost) {
  for (const PartSource& engine : sources.engines) {
    if (engine.endpoint == it.upstream->endpoint) continue;
    return {engine.endpoint, engine.tokens, 0, cost};
  }
  return {};
}

DirectPlacement::PartImport DirectPlacement::StoreImport(
    const PartSources& sources, const PlacementFleet& fleet, std::uint32_t hit,
    TimePoint now) const {
  if (sources.store_tokens <= hit) return {};
  PartImport import{fleet.kv_store_endpoint, sources.store_tokens,
                    sources.store_tokens - hit, costs_.import_from_store};
  if (fleet.kv_store_link != nullptr) {
    import.cost += fleet.kv_store_link->Wait(now);
    import.cost += fleet.kv_store_link->TimeFor(import.store_tokens);
  }
  return import;
}

DirectPlacement::PartImport DirectPlacement::BestImport(
    const PartSources& sources, const PlacementFleet& fleet,
    const PlacementCandidate& it, std::uint32_t hit, TimePoint now) const {
  PartImport best;
  best.tokens = hit;
  Cost most_spared{0};
  // Engines have wider links than the store, which all of them share.
  for (PartImport& import :
       std::array{EngineImport(sources, it, costs_.import_from_engine),
                  StoreImport(sources, fleet, hit, now)}) {
    if (import.tokens <= hit) continue;
    const double k_tokens = (import.tokens - hit) / kTokensPerK;
    const Cost spared = costs_.reread_per_k_tokens * k_tokens - import.cost;
    if (spared <= most_spared) continue;
    most_spared = spared;
    best = std::move(import);
  }
  return best;
}

DirectPlacement::Cost DirectPlacement::ReadCost(const PartSources& sources,
                                                std::uint32_t held,
                                                bool at_home) const {
  const std::uint32_t known = std::max(sources.known_tokens, held);
  const Cost again =
      costs_.reread_per_k_tokens * ((known - held) / kTokensPerK);
  if (at_home) return again;
  const std::uint32_t unknown = sources.shared_tokens - known;
  return again + costs_.stray_per_k_tokens * (unknown / kTokensPerK);
}

DirectPlacement::Cost DirectPlacement::PlanParts(
    const PartSources& sources, const PlacementQuery& query,
    const PlacementFleet& fleet, const PlacementCandidate& it,
    const PlacementCandidate* home, const PartDirectory& directory,
    TimePoint now, DirectChoice& choice) const {
  const std::uint32_t hit =
      directory.TokensAt(sources.chain, it.upstream->id, now);
  PartImport import = BestImport(sources, fleet, it, hit, now);
  const bool in_store = sources.store_tokens >= sources.shared_tokens;
  // A source named beside a whole hit costs nothing, and helps where the
  // picture is wrong.
  if (hit >= sources.shared_tokens && in_store) {
    import.endpoint = fleet.kv_store_endpoint;
  }
  choice.import_from = std::move(import.endpoint);
  choice.store_tokens = import.store_tokens;
  const TransferLink* link = fleet.kv_store_link;
  const bool store_free =
      link == nullptr || link->Wait(now) <= costs_.export_wait;
  if (sources.shared_tokens > 0 && !in_store && store_free) {
    choice.export_to = fleet.kv_store_endpoint;
    choice.store_tokens += query.prompt_tokens;
  }
  choice.expected_hit_tokens = import.tokens;
  choice.missing_tokens =
      query.prompt_tokens - std::min(query.prompt_tokens, import.tokens);
  return import.cost +
         Cost(choice.missing_tokens / costs_.prefill_tokens_per_ms) +
         ReadCost(sources, import.tokens, &it == home);
}

DirectPlacement::Cost DirectPlacement::WaitAt(const UpstreamEntry& upstream,
                                              const PlacementQuery& query,
                                              std::uint64_t kv_capacity,
                                              const UpstreamLoad& load,
                                              TimePoint now) const {
  const WorkAmount work = load.Total(upstream.id, now);
  Cost wait = costs_.per_request * work.requests;
  wait += Cost(static_cast<double>(work.prefill_tokens) /
               costs_.prefill_tokens_per_ms);
  double used_share = 0;
  if (kv_capacity > 0) {
    const std::uint64_t tokens =
        work.kv_tokens + query.prompt_tokens + query.output_tokens;
    used_share = static_cast<double>(tokens) / static_cast<double>(kv_capacity);
  } else {
    used_share = static_cast<double>(work.requests + 1) / upstream.slots;
  }
  if (used_share > costs_.full_share) {
    wait += costs_.full * (used_share - costs_.full_share);
  }
  if (upstream.domain != own_domain_) {
    wait += costs_.domain;
    wait += costs_.domain_per_kb * (query.body_bytes / kBytesPerKb);
  }
  return wait;
}

DirectPlacement::Cost DirectPlacement::RiskAt(
    const PlacementCandidate& candidate, const UpstreamHealth& health,
    TimePoint now) const {
  const UpstreamId& id = candidate.upstream->id;
  Cost risk = costs_.failure * health.FailureRate(id, now);
  if (candidate.loading || health.Paused(id, now)) risk += costs_.avoid;
  if (candidate.old_weights) risk += costs_.old_weights;
  return risk;
}

std::optional<DirectChoice> DirectPlacement::Choose(
    const PlacementQuery& query, const PlacementFleet& fleet,
    const PartDirectory& directory, const UpstreamLoad& load,
    const UpstreamHealth& health, TimePoint now) const {
  const PlacementCandidate* home = HomeOf(query, fleet, health, now);
  std::map<std::string, PartSources> sources;
  std::optional<DirectChoice> best;
  for (const PlacementCandidate& it : fleet.candidates) {
    if (WasTried(query, it.upstream->id)) continue;
    auto found = sources.find(it.cache_scope);
    if (found == sources.end()) {
      found = sources
                  .emplace(it.cache_scope, SourcesIn(it.cache_scope, query,
                                                     fleet, directory, now))
                  .first;
    }
    DirectChoice choice;
    choice.upstream = it.upstream->id;
    choice.cache_scope = it.cache_scope;
    choice.cost =
        WaitAt(*it.upstream, query, fleet.kv_capacity_tokens, load, now);
    choice.cost += RiskAt(it, health, now);
    choice.cost += PlanParts(found->second, query, fleet, it, home, directory,
                             now, choice);
    if (!best || choice.cost < best->cost) best = std::move(choice);
  }
  return best;
}

}  // namespace yuccapick
