#include <algorithm>

#include "placement_impl.h"
#include "yuccapick/rendezvous.h"

namespace yuccapick {
namespace {

/// In groups up to this size every engine is a candidate. Also the maximum
/// number of holders examined for each piece.
constexpr std::size_t kMaxFullScan = 32;
/// Maximum numbers of candidates of each kind in larger groups.
constexpr std::size_t kMaxHolders = 16;
constexpr std::size_t kMaxHomeCandidates = 4;
constexpr std::size_t kSampledCandidates = 8;
/// Costs count as equal to the lowest one if they exceed it by at most this
/// time plus this share of it.
constexpr double kTieToleranceSeconds = 0.010;
constexpr double kTieToleranceShare = 0.02;
/// Maximum time for which a new copy of a prefix is expected to be used.
constexpr double kMaxCopySeconds = 5.0;
/// Added to each engine's arrivals, so that low counts have little influence.
constexpr double kArrivalPrior = 8.0;
/// Time to import KV from a store: a fixed part plus the tokens at a rate.
constexpr double kImportFixedSeconds = 0.010;
constexpr double kImportTokensPerSecond = 200'000;

}  // namespace

std::uint64_t HomeKey(const std::vector<PrefixPiece>& pieces) {
  if (pieces.empty()) return 0;
  for (std::size_t n = pieces.size() - 1; n-- > 0;) {
    if (pieces[n].level_end) return pieces[n].chain_hash;
  }
  return pieces.front().chain_hash;
}

bool Placement::Impl::Excluded(const PlacementRequest& request,
                               EngineSlot slot) const {
  return std::find(request.excluded.begin(), request.excluded.end(),
                   table_.At(slot).info.id) != request.excluded.end();
}

bool Placement::Impl::Usable(const PrefixHolder& holder,
                             std::uint64_t group_key, TimePoint now) const {
  return caches_.Valid(holder, now) && table_.InGroup(holder.slot, group_key);
}

void Placement::Impl::AddCandidate(const PlacementRequest& request,
                                   EngineSlot slot, std::uint64_t cached_bytes,
                                   Candidates& candidates) const {
  if (slot >= last_choice_.size()) last_choice_.resize(table_.SlotCount(), 0);
  if (last_choice_[slot] == choice_number_) return;
  last_choice_[slot] = choice_number_;
  if (Excluded(request, slot)) return;
  candidates.push_back({slot, cached_bytes});
}

void Placement::Impl::AddHolders(const PlacementRequest& request,
                                 const EngineGroup& group, TimePoint now,
                                 Candidates& candidates) const {
  const std::uint64_t group_key = EngineTable::GroupKey(request.scope);
  const bool full_scan = group.slots.size() <= kMaxFullScan;
  const std::size_t max_candidates =
      full_scan ? group.slots.size() : kMaxHolders;
  for (std::size_t n = request.pieces.size(); n-- > 0;) {
    const PrefixPiece& piece = request.pieces[n];
    const auto holders = caches_.Holders(piece.chain_hash);
    const std::size_t examined = std::min(holders.size(), kMaxFullScan);
    random_state_ = RendezvousScore(random_state_, n + 1);
    for (std::size_t k = 0; k < examined; ++k) {
      const PrefixHolder& holder =
          holders[(random_state_ + k) % holders.size()];
      if (!Usable(holder, group_key, now)) continue;
      AddCandidate(request, holder.slot, piece.end_byte, candidates);
      if (candidates.size() >= max_candidates) return;
    }
  }
}

void Placement::Impl::AddOthers(const PlacementRequest& request,
                                const EngineGroup& group,
                                Candidates& candidates) const {
  if (group.slots.size() <= kMaxFullScan) {
    for (const EngineSlot slot : group.slots) {
      AddCandidate(request, slot, 0, candidates);
    }
    return;
  }
  // Scoring every engine is the most expensive step, and a prefix with many
  // holders does not need its homes.
  if (candidates.size() < kMaxHolders) {
    const std::vector<std::uint32_t> homes = RendezvousHomes(
        HomeKey(request.pieces), group.node_hashes, kMaxHomeCandidates);
    for (const std::uint32_t n : homes) {
      AddCandidate(request, group.slots[n], 0, candidates);
    }
  }
  for (std::size_t n = 0; n < kSampledCandidates; ++n) {
    random_state_ = RendezvousScore(random_state_, n + 1);
    AddCandidate(request, group.slots[random_state_ % group.slots.size()], 0,
                 candidates);
  }
}

void Placement::Impl::CollectCandidates(const PlacementRequest& request,
                                        const EngineGroup& group, TimePoint now,
                                        Candidates& candidates) const {
  ++choice_number_;
  candidates.clear();
  AddHolders(request, group, now, candidates);
  AddOthers(request, group, candidates);
}

double Placement::Impl::ExpectedReuses(const PlacementRequest& request,
                                       TimePoint now) const {
  const std::uint64_t key = HomeKey(request.pieces);
  double copies = 0;
  double lifetimes = 0;
  const auto holders = caches_.Holders(key);
  const std::size_t examined = std::min(holders.size(), kMaxHolders);
  for (std::size_t n = 0; n < examined; ++n) {
    const PrefixHolder& holder = holders[n];
    if (!caches_.Valid(holder, now)) continue;
    copies += 1.0;
    lifetimes +=
        std::chrono::duration<double>(caches_.Lifetime(holder.slot)).count();
  }
  double served_seconds = kMaxCopySeconds;
  if (copies > 0) {
    served_seconds = std::min(served_seconds, lifetimes / copies);
  }
  const double rate = hot_prefixes_.RatePerSecond(key, now) * options_.routers;
  return rate * served_seconds / (copies + 1.0);
}

FleetState Placement::Impl::FleetStateFor(const PlacementRequest& request,
                                          Candidates& candidates,
                                          TimePoint now) const {
  FleetState fleet;
  double arrivals = 0;
  for (Candidate& candidate : candidates) {
    candidate.arrivals = table_.At(candidate.slot).load.RecentArrivals(now);
    arrivals += candidate.arrivals;
  }
  fleet.tokens_per_byte = calibration_.TokensPerByte(request.scope.model);
  fleet.mean_arrivals = arrivals / static_cast<double>(candidates.size());
  if (mean_prefill_.Value() > 0) {
    fleet.residual_seconds =
        mean_square_prefill_.Value() / (2.0 * mean_prefill_.Value());
  }
  fleet.reuses = ExpectedReuses(request, now);
  return fleet;
}

CostInputs Placement::Impl::CostInputsFor(const PlacementRequest& request,
                                          const Candidate& candidate,
                                          const FleetState& fleet,
                                          TimePoint now) const {
  const EngineEntry& entry = table_.At(candidate.slot);
  const std::uint64_t missing_bytes =
      request.prompt_bytes -
      std::min(request.prompt_bytes, candidate.cached_bytes);
  const double missing =
      fleet.tokens_per_byte * static_cast<double>(missing_bytes);
  CostInputs inputs;
  inputs.queue = entry.load.WaitSeconds(now);
  inputs.wait = request.urgent
                    ? entry.load.UrgentWaitSeconds(fleet.residual_seconds, now)
                    : inputs.queue;
  inputs.prefill = missing / entry.load.PrefillTokensPerSecond();
  inputs.round_trip = entry.round_trip_seconds;
  inputs.utilisation = utilisation_.Value();
  inputs.mean_prefill = mean_prefill_.Value();
  inputs.arrival_share = (candidate.arrivals + kArrivalPrior) /
                         (fleet.mean_arrivals + kArrivalPrior);
  inputs.reuses = fleet.reuses;
  inputs.reuse_weight = request.reuse_weight;
  inputs.urgent = request.urgent;
  return inputs;
}

const Candidate& Placement::Impl::FindCheapest(
    const PlacementRequest& request, const Candidates& candidates) const {
  double lowest = candidates.front().cost;
  for (const Candidate& candidate : candidates) {
    lowest = std::min(lowest, candidate.cost);
  }
  const double bound =
      lowest + kTieToleranceSeconds + kTieToleranceShare * lowest;
  const std::uint64_t key = HomeKey(request.pieces);
  const Candidate* best = nullptr;
  std::uint64_t best_score = 0;
  for (const Candidate& candidate : candidates) {
    if (candidate.cost > bound) continue;
    const std::uint64_t score =
        RendezvousScore(key, table_.At(candidate.slot).node_hash);
    if (best != nullptr && score <= best_score) continue;
    best = &candidate;
    best_score = score;
  }
  return *best;
}

void Placement::Impl::PlanImport(const PlacementRequest& request,
                                 const CostInputs& inputs, TimePoint now,
                                 PlacementDecision& decision) const {
  if (table_.Stores().empty()) return;
  const double tokens_per_second =
      table_.At(*table_.Find(decision.upstream)).load.PrefillTokensPerSecond();
  for (std::size_t n = request.pieces.size(); n-- > 0;) {
    const std::uint64_t stored_tokens =
        calibration_.Tokens(request.scope.model, request.pieces[n].end_byte);
    if (stored_tokens <= decision.expected_cached_tokens) return;
    const auto gained =
        static_cast<double>(stored_tokens - decision.expected_cached_tokens);
    const double import = kImportFixedSeconds + gained / kImportTokensPerSecond;
    CostInputs imported = inputs;
    imported.prefill =
        std::max(0.0, inputs.prefill - gained / tokens_per_second);
    if (import + PlacementCost(imported) >= PlacementCost(inputs)) continue;
    for (const PrefixHolder& holder :
         caches_.Holders(request.pieces[n].chain_hash)) {
      const EngineEntry& store = table_.At(holder.slot);
      if (store.info.kind != UpstreamKind::kKvStore) continue;
      if (!store.present || !caches_.Valid(holder, now)) continue;
      decision.import_from = store.info.id;
      return;
    }
  }
}

std::optional<PlacementDecision> Placement::Impl::Choose(
    const PlacementRequest& request, TimePoint now) const {
  const EngineGroup* group = table_.Group(EngineTable::GroupKey(request.scope));
  if (group == nullptr) return std::nullopt;
  Candidates& candidates = candidates_;
  CollectCandidates(request, *group, now, candidates);
  if (candidates.empty()) return std::nullopt;
  const FleetState fleet = FleetStateFor(request, candidates, now);
  for (Candidate& candidate : candidates) {
    candidate.cost =
        PlacementCost(CostInputsFor(request, candidate, fleet, now));
  }
  const Candidate& best = FindCheapest(request, candidates);
  const EngineEntry& entry = table_.At(best.slot);
  const CostInputs inputs = CostInputsFor(request, best, fleet, now);
  PlacementDecision decision;
  decision.upstream = entry.info.id;
  decision.agent_incarnation = entry.info.agent_incarnation;
  decision.engine_incarnation = entry.info.engine_incarnation;
  decision.expected_prompt_tokens =
      calibration_.Tokens(request.scope.model, request.prompt_bytes);
  decision.expected_cached_tokens =
      calibration_.Tokens(request.scope.model, best.cached_bytes);
  decision.expected_first_token =
      std::chrono::microseconds(static_cast<std::int64_t>(
          1e6 * (inputs.round_trip + inputs.wait + inputs.prefill)));
  PlanImport(request, inputs, now, decision);
  return decision;
}

}  // namespace yuccapick
