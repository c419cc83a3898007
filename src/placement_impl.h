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
  std::uint64_t cached_bytes = 0;
  double arrivals = 0;  ///< Lately, from this router.
  double cost = 0;
};

/// What the costs of all candidates of a request have in common.
struct FleetState {
  double mean_arrivals = 0;     ///< Lately, by candidate.
  double residual_seconds = 0;  ///< Expected rest of a running prefill.
  double reuses = 0;            ///< Requests that a new copy would serve.
  double tokens_per_byte = 0;
};

/// A request on its way.
struct InFlight {
  EngineSlot slot = 0;
  Incarnation engine_incarnation;
  std::uint64_t prefill_tokens = 0;
  std::uint64_t expected_cached = 0;
  std::uint64_t prompt_bytes = 0;
  double believed_idle_seconds = 0;  ///< Of the prefix that was relied on.
  ModelId model;
  std::vector<std::uint64_t> chain;
  bool urgent = false;
  bool prefilled = false;
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
  void Collect(const PlacementRequest& request, const EngineGroup& group,
               TimePoint now, Candidates& candidates) const;
  void AddHolders(const PlacementRequest& request, const EngineGroup& group,
                  TimePoint now, Candidates& candidates) const;
  bool Usable(const PrefixHolder& holder, std::uint64_t group_key,
              TimePoint now) const;
  void AddOthers(const PlacementRequest& request, const EngineGroup& group,
                 Candidates& candidates) const;
  void AddCandidate(const PlacementRequest& request, EngineSlot slot,
                    std::uint64_t cached_bytes, Candidates& candidates) const;
  CostInputs Inputs(const PlacementRequest& request, const Candidate& candidate,
                    const FleetState& fleet, TimePoint now) const;
  FleetState StateFor(const PlacementRequest& request, Candidates& candidates,
                      TimePoint now) const;
  double ExpectedReuses(const PlacementRequest& request, TimePoint now) const;
  const Candidate& Cheapest(const PlacementRequest& request,
                            const Candidates& candidates) const;
  void StoreChain(const InFlight& in_flight, TimePoint now);
  void CorrectLifetime(const InFlight& in_flight, const Usage& usage);
  double IdleSeconds(EngineSlot slot, const PlacementRequest& request,
                     TimePoint now) const;
  void ConsiderImport(const PlacementRequest& request, const CostInputs& inputs,
                      TimePoint now, PlacementDecision& decision) const;
  bool SameLife(const InFlight& in_flight) const;

  PlacementOptions options_;
  EngineTable table_;
  PrefixCacheIndex picture_;
  ByteTokenCalibration calibration_;
  HotPrefixes hot_;
  absl::flat_hash_map<AttemptId, InFlight> in_flight_;
  RunningMean utilisation_;
  RunningMean mean_prefill_;         ///< Seconds, of one request.
  RunningMean mean_square_prefill_;  ///< Seconds squared.
  mutable std::uint64_t draws_;
  mutable std::vector<std::uint64_t> seen_;  ///< Last choice of each slot.
  mutable std::uint64_t choices_ = 0;
  mutable Candidates scratch_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_PLACEMENT_IMPL_H_
