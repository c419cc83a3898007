#ifndef YUCCAPICK_PLACEMENT_IMPL_H_
#define YUCCAPICK_PLACEMENT_IMPL_H_

/// @file
/// State of a placement. Commands are in placement.cc, queries in
/// placement_choose.cc.

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "engine_table.h"
#include "running_mean.h"
#include "yuccapick/byte_token_calibration.h"
#include "yuccapick/hot_prefix.h"
#include "yuccapick/placement.h"
#include "yuccapick/placement_cost.h"
#include "yuccapick/prefix_cache_index.h"

namespace yuccapick {

/// An engine that may answer a request.
struct Candidate {
  EngineSlot slot = 0;
  std::uint64_t cached_bytes = 0;  ///< Prompt prefix believed cached.
  double arrivals = 0;  ///< Recent requests from this router, decayed.
  double cost = 0;      ///< Seconds; see `PlacementCost`.
};

/// Inputs of the cost that all candidates of a request share.
struct FleetState {
  double mean_arrivals = 0;     ///< Per candidate, decayed.
  double residual_seconds = 0;  ///< Expected rest of a running prefill.
  double reuses = 0;            ///< Requests that a new copy would serve.
  double tokens_per_byte = 0;
};

/// A request that was sent and has not finished.
struct InFlightRequest {
  EngineSlot slot = 0;
  Incarnation engine_incarnation;
  std::uint64_t prefill_tokens = 0;
  std::uint64_t expected_cached_tokens = 0;
  std::uint64_t prompt_bytes = 0;
  double prefix_idle_seconds = 0;  ///< Of the prefix expected in cache.
  ModelId model;
  std::vector<std::uint64_t> chain;  ///< Chain hashes of the pieces.
  bool urgent = false;
  bool prefilled = false;  ///< The first token arrived.
};

/// Returns the chain hash whose home a request prefers: the end of the last
/// level before the request's own text.
std::uint64_t HomeKey(const std::vector<PrefixPiece>& pieces);

class Placement::Impl {
 public:
  explicit Impl(PlacementOptions options);

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
  void CollectCandidates(const PlacementRequest& request,
                         const EngineGroup& group, TimePoint now,
                         Candidates& candidates) const;
  void AddHolders(const PlacementRequest& request, const EngineGroup& group,
                  TimePoint now, Candidates& candidates) const;
  bool Usable(const PrefixHolder& holder, std::uint64_t group_key,
              TimePoint now) const;
  void AddOthers(const PlacementRequest& request, const EngineGroup& group,
                 Candidates& candidates) const;
  void AddCandidate(const PlacementRequest& request, EngineSlot slot,
                    std::uint64_t cached_bytes, Candidates& candidates) const;
  CostInputs CostInputsFor(const PlacementRequest& request,
                           const Candidate& candidate, const FleetState& fleet,
                           TimePoint now) const;
  FleetState FleetStateFor(const PlacementRequest& request,
                           Candidates& candidates, TimePoint now) const;
  double ExpectedReuses(const PlacementRequest& request, TimePoint now) const;
  const Candidate& FindCheapest(const PlacementRequest& request,
                                const Candidates& candidates) const;
  void StoreChain(const InFlightRequest& in_flight, TimePoint now);
  void CorrectLifetime(const InFlightRequest& in_flight, const Usage& usage);
  double IdleSeconds(EngineSlot slot, const PlacementRequest& request,
                     TimePoint now) const;
  void PlanImport(const PlacementRequest& request, const CostInputs& inputs,
                  TimePoint now, PlacementDecision& decision) const;
  bool IsSameIncarnation(const InFlightRequest& in_flight) const;

  PlacementOptions options_;
  EngineTable table_;
  PrefixCacheIndex caches_;
  ByteTokenCalibration calibration_;
  HotPrefixes hot_prefixes_;
  absl::flat_hash_map<AttemptId, InFlightRequest> in_flight_;
  RunningMean utilisation_;          ///< Share of reports with queued prefill.
  RunningMean mean_prefill_;         ///< Seconds, of one request.
  RunningMean mean_square_prefill_;  ///< Seconds squared.
  mutable std::uint64_t random_state_;
  /// Number of the last choice that considered each slot.
  mutable std::vector<std::uint64_t> last_choice_;
  mutable std::uint64_t choice_number_ = 0;
  mutable Candidates candidates_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_PLACEMENT_IMPL_H_
