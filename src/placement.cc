#include "yuccapick/placement.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "engine_table.h"
#include "yuccapick/byte_token_calibration.h"
#include "yuccapick/cache_picture.h"
#include "yuccapick/placement_cost.h"
#include "yuccapick/rendezvous.h"

namespace yuccapick {
namespace {

constexpr std::size_t kPictureEntriesPerEngine = 512;
/// Groups up to this size are compared whole.
constexpr std::size_t kWholeScan = 32;
constexpr std::size_t kMostHolders = 32;
constexpr std::size_t kHomeCandidates = 4;
constexpr std::size_t kSampledCandidates = 12;
/// Costs this close, in seconds, count as equal.
constexpr double kTieSeconds = 0.010;
constexpr double kTieShare = 0.02;
constexpr double kFleetSmoothing = 0.02;

/// An engine that may answer a request.
struct Candidate {
  EngineSlot slot = 0;
  std::uint64_t cached_bytes = 0;
  double cost = 0;
};

/// A request on its way.
struct InFlight {
  EngineSlot slot = 0;
  Incarnation engine_incarnation;
  std::uint64_t prefill_tokens = 0;
  std::uint64_t expected_cached = 0;
  std::uint64_t prompt_bytes = 0;
  ModelId model;
  std::vector<std::uint64_t> chain;
  bool urgent = false;
  bool prefilled = false;
};

/// Returns the chain hash whose home a request prefers: the end of the last
/// level before the request's own text.
std::uint64_t HomeKey(const std::vector<PrefixPiece>& pieces) {
  if (pieces.empty()) return 0;
  for (std::size_t n = pieces.size() - 1; n-- > 0;) {
    if (pieces[n].level_end) return pieces[n].chain_hash;
  }
  return pieces.front().chain_hash;
}

}  // namespace

class Placement::Impl {
 public:
  explicit Impl(PlacementOptions options)
      : options_(std::move(options)),
        table_(options_.domain, options_.region),
        picture_(kPictureEntriesPerEngine),
        draws_(options_.seed) {}

  void ApplyUpstream(const UpstreamInfo& upstream, TimePoint now);
  void ApplyReport(const AgentReport& report, TimePoint now);
  void OnDispatched(const AttemptId& attempt, const PlacementRequest& request,
                    const PlacementDecision& decision, TimePoint now);
  void OnFirstToken(const AttemptId& attempt, TimePoint now);
  void OnFinished(const AttemptId& attempt, const std::optional<Usage>& usage,
                  TimePoint now);
  std::optional<PlacementDecision> Choose(const PlacementRequest& request,
                                          TimePoint now) const;

 private:
  using Candidates = std::vector<Candidate>;

  bool Excluded(const PlacementRequest& request, EngineSlot slot) const;
  void Collect(const PlacementRequest& request, const EngineGroup& group,
               TimePoint now, Candidates& candidates) const;
  void AddHolders(const PlacementRequest& request, const EngineGroup& group,
                  TimePoint now, Candidates& candidates) const;
  void AddOthers(const PlacementRequest& request, const EngineGroup& group,
                 Candidates& candidates) const;
  void AddCandidate(const PlacementRequest& request, EngineSlot slot,
                    std::uint64_t cached_bytes, Candidates& candidates) const;
  CostInputs Inputs(const PlacementRequest& request, const Candidate& candidate,
                    TimePoint now) const;
  const Candidate& Cheapest(const PlacementRequest& request,
                            const Candidates& candidates) const;
  bool InGroup(const EngineEntry& entry, const CacheScope& scope) const;
  void StoreChain(const InFlight& in_flight, TimePoint now);
  bool SameLife(const InFlight& in_flight) const;

  PlacementOptions options_;
  EngineTable table_;
  CachePicture picture_;
  ByteTokenCalibration calibration_;
  absl::flat_hash_map<AttemptId, InFlight> in_flight_;
  double utilisation_ = 0;
  double mean_prefill_ = 0;
  mutable std::uint64_t draws_;
  mutable std::vector<std::uint64_t> seen_;  ///< Last choice of each slot.
  mutable std::uint64_t choices_ = 0;
  mutable Candidates scratch_;
};

void Placement::Impl::ApplyUpstream(const UpstreamInfo& upstream,
                                    TimePoint now) {
  if (upstream.life == UpstreamLife::kGone) {
    const std::optional<EngineSlot> slot = table_.Find(upstream.id);
    if (!slot) return;
    picture_.Reset(*slot);
    table_.Remove(*slot);
    return;
  }
  const std::optional<CacheFate> fate = table_.Apply(upstream, now);
  if (fate == CacheFate::kLost) picture_.Reset(*table_.Find(upstream.id));
}

void Placement::Impl::ApplyReport(const AgentReport& report, TimePoint now) {
  if (!table_.Find(report.upstream.id)) return;
  const std::optional<CacheFate> fate = table_.Apply(report.upstream, now);
  if (!fate) return;
  const EngineSlot slot = *table_.Find(report.upstream.id);
  if (*fate == CacheFate::kLost) picture_.Reset(slot);
  if (report.digest_is_full) picture_.Clear(slot);
  for (const std::uint64_t evicted : report.evicted) {
    picture_.Evict(slot, evicted, now);
  }
  for (const DigestEntry& entry : report.digest) {
    picture_.Store(slot, entry.chain_hash, now - entry.idle);
  }
  table_.Load(slot).ApplyReport(report.load, now);
  const double busy = report.load.queued_prefill_tokens > 0 ? 1.0 : 0.0;
  utilisation_ += kFleetSmoothing * (busy - utilisation_);
}

bool Placement::Impl::SameLife(const InFlight& in_flight) const {
  return table_.At(in_flight.slot).present &&
         table_.At(in_flight.slot).info.engine_incarnation ==
             in_flight.engine_incarnation;
}

void Placement::Impl::StoreChain(const InFlight& in_flight, TimePoint now) {
  for (const std::uint64_t chain_hash : in_flight.chain) {
    picture_.Store(in_flight.slot, chain_hash, now);
  }
}

void Placement::Impl::OnDispatched(const AttemptId& attempt,
                                   const PlacementRequest& request,
                                   const PlacementDecision& decision,
                                   TimePoint now) {
  const std::optional<EngineSlot> slot = table_.Find(decision.upstream);
  if (!slot) return;
  InFlight in_flight;
  in_flight.slot = *slot;
  in_flight.engine_incarnation = decision.engine_incarnation;
  if (!SameLife(in_flight)) return;
  in_flight.expected_cached = decision.expected_cached_tokens;
  in_flight.prefill_tokens =
      decision.expected_prompt_tokens -
      std::min(decision.expected_prompt_tokens, in_flight.expected_cached);
  in_flight.prompt_bytes = request.prompt_bytes;
  in_flight.model = request.scope.model;
  in_flight.urgent = request.urgent;
  for (const PrefixPiece& piece : request.pieces) {
    in_flight.chain.push_back(piece.chain_hash);
  }
  StoreChain(in_flight, now);
  LoadModel& load = table_.Load(*slot);
  load.OnDispatched(in_flight.prefill_tokens, in_flight.urgent, now);
  const double prefill =
      static_cast<double>(in_flight.prefill_tokens) / load.Speed();
  mean_prefill_ += kFleetSmoothing * (prefill - mean_prefill_);
  in_flight_[attempt] = std::move(in_flight);
}

void Placement::Impl::OnFirstToken(const AttemptId& attempt, TimePoint now) {
  const auto it = in_flight_.find(attempt);
  if (it == in_flight_.end() || it->second.prefilled) return;
  it->second.prefilled = true;
  if (!SameLife(it->second)) return;
  StoreChain(it->second, now);
  table_.Load(it->second.slot)
      .OnPrefilled(it->second.prefill_tokens, it->second.urgent);
}

void Placement::Impl::OnFinished(const AttemptId& attempt,
                                 const std::optional<Usage>& usage,
                                 TimePoint now) {
  const auto it = in_flight_.find(attempt);
  if (it == in_flight_.end()) return;
  const InFlight in_flight = std::move(it->second);
  in_flight_.erase(it);
  if (usage) {
    calibration_.Learn(in_flight.model, in_flight.prompt_bytes,
                       usage->prompt_tokens);
  }
  if (!SameLife(in_flight)) return;
  if (usage) StoreChain(in_flight, now);
  if (!in_flight.prefilled) {
    table_.Load(in_flight.slot)
        .OnPrefilled(in_flight.prefill_tokens, in_flight.urgent);
  }
}

bool Placement::Impl::Excluded(const PlacementRequest& request,
                               EngineSlot slot) const {
  return std::find(request.excluded.begin(), request.excluded.end(),
                   table_.At(slot).info.id) != request.excluded.end();
}

bool Placement::Impl::InGroup(const EngineEntry& entry,
                              const CacheScope& scope) const {
  if (!entry.present || entry.info.life != UpstreamLife::kLive) return false;
  if (entry.info.kind != UpstreamKind::kModelEngine) return false;
  const LoadedModel wanted{scope.model, scope.adapter, scope.weights};
  return std::find(entry.info.loaded.begin(), entry.info.loaded.end(),
                   wanted) != entry.info.loaded.end();
}

void Placement::Impl::AddCandidate(const PlacementRequest& request,
                                   EngineSlot slot, std::uint64_t cached_bytes,
                                   Candidates& candidates) const {
  if (slot >= seen_.size()) seen_.resize(table_.Slots(), 0);
  if (seen_[slot] == choices_) return;
  seen_[slot] = choices_;
  if (Excluded(request, slot)) return;
  candidates.push_back({slot, cached_bytes, 0});
}

void Placement::Impl::AddHolders(const PlacementRequest& request,
                                 const EngineGroup& group, TimePoint now,
                                 Candidates& candidates) const {
  const std::size_t most = std::max(kWholeScan, kMostHolders);
  for (std::size_t n = request.pieces.size(); n-- > 0;) {
    const PrefixPiece& piece = request.pieces[n];
    for (const PrefixHolder& holder : picture_.Holders(piece.chain_hash)) {
      if (!picture_.Valid(holder, now)) continue;
      if (!InGroup(table_.At(holder.slot), request.scope)) continue;
      AddCandidate(request, holder.slot, piece.end_byte, candidates);
      if (candidates.size() >= std::min(most, group.slots.size())) return;
    }
  }
}

void Placement::Impl::AddOthers(const PlacementRequest& request,
                                const EngineGroup& group,
                                Candidates& candidates) const {
  if (group.slots.size() <= kWholeScan) {
    for (const EngineSlot slot : group.slots) {
      AddCandidate(request, slot, 0, candidates);
    }
    return;
  }
  const std::vector<std::uint32_t> homes = RendezvousHomes(
      HomeKey(request.pieces), group.node_hashes, kHomeCandidates);
  for (const std::uint32_t n : homes) {
    AddCandidate(request, group.slots[n], 0, candidates);
  }
  for (std::size_t n = 0; n < kSampledCandidates; ++n) {
    draws_ = RendezvousScore(draws_, n + 1);
    AddCandidate(request, group.slots[draws_ % group.slots.size()], 0,
                 candidates);
  }
}

void Placement::Impl::Collect(const PlacementRequest& request,
                              const EngineGroup& group, TimePoint now,
                              Candidates& candidates) const {
  ++choices_;
  candidates.clear();
  AddHolders(request, group, now, candidates);
  AddOthers(request, group, candidates);
}

CostInputs Placement::Impl::Inputs(const PlacementRequest& request,
                                   const Candidate& candidate,
                                   TimePoint now) const {
  const EngineEntry& entry = table_.At(candidate.slot);
  const std::uint64_t missing_bytes =
      request.prompt_bytes -
      std::min(request.prompt_bytes, candidate.cached_bytes);
  const std::uint64_t missing =
      calibration_.Tokens(request.scope.model, missing_bytes);
  CostInputs inputs;
  inputs.wait = entry.load.WaitSeconds(request.urgent, now);
  inputs.queue = entry.load.WaitSeconds(false, now);
  inputs.prefill = static_cast<double>(missing) / entry.load.Speed();
  inputs.hop = entry.hop_seconds;
  inputs.utilisation = utilisation_;
  inputs.mean_prefill = mean_prefill_;
  inputs.reuse_weight = request.reuse_weight;
  inputs.urgent = request.urgent;
  return inputs;
}

const Candidate& Placement::Impl::Cheapest(const PlacementRequest& request,
                                           const Candidates& candidates) const {
  double lowest = candidates.front().cost;
  for (const Candidate& candidate : candidates) {
    lowest = std::min(lowest, candidate.cost);
  }
  const double bound = lowest + kTieSeconds + kTieShare * lowest;
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

std::optional<PlacementDecision> Placement::Impl::Choose(
    const PlacementRequest& request, TimePoint now) const {
  const EngineGroup* group = table_.Group(request.scope);
  if (group == nullptr) return std::nullopt;
  Candidates& candidates = scratch_;
  Collect(request, *group, now, candidates);
  if (candidates.empty()) return std::nullopt;
  for (Candidate& candidate : candidates) {
    candidate.cost = PlacementCost(Inputs(request, candidate, now));
  }
  const Candidate& best = Cheapest(request, candidates);
  const EngineEntry& entry = table_.At(best.slot);
  const CostInputs inputs = Inputs(request, best, now);
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
          1e6 * (inputs.hop + inputs.wait + inputs.prefill)));
  return decision;
}

Placement::Placement(PlacementOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

Placement::~Placement() = default;

void Placement::ApplyUpstream(const UpstreamInfo& upstream, TimePoint now) {
  impl_->ApplyUpstream(upstream, now);
}

void Placement::ApplyReport(const AgentReport& report, TimePoint now) {
  impl_->ApplyReport(report, now);
}

void Placement::OnDispatched(const AttemptId& attempt,
                             const PlacementRequest& request,
                             const PlacementDecision& decision, TimePoint now) {
  impl_->OnDispatched(attempt, request, decision, now);
}

void Placement::OnFirstToken(const AttemptId& attempt, TimePoint now) {
  impl_->OnFirstToken(attempt, now);
}

void Placement::OnFinished(const AttemptId& attempt,
                           const std::optional<Usage>& usage, TimePoint now) {
  impl_->OnFinished(attempt, usage, now);
}

std::optional<PlacementDecision> Placement::Choose(
    const PlacementRequest& request, TimePoint now) const {
  return impl_->Choose(request, now);
}

}  // namespace yuccapick
