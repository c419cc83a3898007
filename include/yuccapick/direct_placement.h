#ifndef YUCCAPICK_DIRECT_PLACEMENT_H_
#define YUCCAPICK_DIRECT_PLACEMENT_H_

/// @file
/// Chooses the upstream for a request whose caller lists the parts of its
/// prompt.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/part_directory.h"
#include "yuccapick/prefill_rate.h"
#include "yuccapick/transfer_link.h"
#include "yuccapick/upstream_health.h"
#include "yuccapick/upstream_load.h"
#include "yuccapick/upstream_roster.h"

namespace yuccapick {

/// The properties of a request that placement depends on.
struct PlacementQuery {
  std::vector<PromptPart> parts;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;  ///< Expected.
  std::size_t body_bytes = 0;
  std::vector<UpstreamId> tried;  ///< Excluded from the choice.
  /// Determines which engines are drawn; differs between requests.
  std::uint64_t random = 0;
};

/// One upstream that may be chosen.
struct PlacementCandidate {
  const UpstreamEntry* upstream = nullptr;
  std::string cache_scope;   ///< Parts are shared only within one scope.
  bool loading = false;      ///< Is about to load, or loading, new weights.
  bool old_weights = false;  ///< A newer version is the target.
  /// Names a limit of requests, so it is no rendezvous home.
  bool limited = false;
  /// Must not get a request now because of its limit, or since it has asked for
  /// a pause. Others may import what it has cached.
  bool held_back = false;
  /// Factor by which it is slower than its service's usual upstreams.
  double slowdown = 1.0;
};

/// The candidates for one request and the properties that they share.
struct PlacementFleet {
  std::vector<PlacementCandidate> candidates;
  /// KV memory of one engine, in tokens; 0 for a plain service.
  std::uint64_t kv_capacity_tokens = 0;
  /// Prompt tokens that a usual engine prefills per millisecond.
  double prefill_tokens_per_ms = PrefillRateEstimate().tokens_per_ms();
  std::string kv_store_endpoint;  ///< `IP:PORT`; empty if there is none.
  /// Null if transfer times are to be ignored.
  const TransferLink* kv_store_link = nullptr;
};

/// Parameters of the cost function. Every cost is a time in milliseconds: an
/// expected wait, or a penalty expressed as one.
struct PlacementCosts {
  using Cost = std::chrono::duration<double, std::milli>;

  /// Penalty for prefilling a thousand shared tokens that are cached elsewhere.
  Cost recompute_per_k_tokens{125.0};
  /// Penalty for prefilling a thousand shared tokens that are not known to be
  /// cached anywhere, on an engine that is not their rendezvous home: another
  /// process may have the home compute them at the same time.
  Cost away_from_home_per_k_tokens{40.0};
  /// Sending a request, and each kilobyte of it, to another failure domain.
  Cost cross_domain{2.0};
  Cost cross_domain_per_kb{1.0};
  /// Slowdown caused by each running request.
  Cost per_running_request{1.0};
  /// Fixed cost of importing cached parts, by source.
  Cost import_from_engine{25.0};
  Cost import_from_store{20.0};  ///< Plus the time on its link.
  /// Engines of the own failure domain, and as many of others, that are drawn
  /// for a request and compared with its home and the holders of its shared
  /// parts. Knowledge of the load is some hundred milliseconds old: if all
  /// gateways compared all engines, they would send all requests of that time
  /// to the same few.
  std::size_t drawn_engines = 2;
  /// Shared parts of fewer tokens are neither exported nor a reason to compare
  /// an engine: engines compute them sooner than they import them.
  std::uint32_t min_shared_tokens = 1'024;
  /// Parts are not exported to the KV store while its transfers wait longer.
  Cost max_export_wait{60.0};
  /// Penalty for a request that is certain to fail; multiplied by the failure
  /// rate.
  Cost failure{3'000.0};
  /// Share of an engine's KV memory above which it preempts requests, or of a
  /// plain service's slots above which it queues them. `overload` is the cost
  /// per unit of share above it.
  double overload_threshold = 0.8;
  Cost overload{1'500.0};
  /// Penalty for an answer computed with weights that have been replaced.
  Cost old_weights{80.0};
  /// Added to upstreams that are about to load weights or paused after
  /// failures, so that they are chosen only if no other is left.
  Cost last_resort{5'000.0};
};

/// The chosen upstream, the planned transfers and the expected cost.
struct DirectPlacementDecision {
  UpstreamId upstream;
  std::string import_from;  ///< Endpoint that holds missing parts, or empty.
  std::string export_to;    ///< Endpoint to export the parts to, or empty.
  std::string cache_scope;
  std::uint32_t expected_cached_tokens = 0;
  std::uint32_t missing_tokens = 0;
  /// Shared tokens that any engine, or the KV store, is known to have cached or
  /// to be computing.
  std::uint32_t known_tokens = 0;
  bool at_home = false;  ///< The upstream is the shared parts' home.
  std::string kv_store;  ///< `PlacementFleet::kv_store_endpoint`.
  /// Expected to be imported and exported over the KV store's link.
  std::uint32_t store_tokens = 0;
  PlacementCosts::Cost cost{0};
};

/// Places each request at the lowest expected cost among the upstreams that it
/// compares. The cost covers missing prefill, work in flight, memory, failures
/// and distance. All processes compute the same rendezvous home for a shared
/// prefix, so that a process without cache information still finds the cached
/// parts.
class DirectPlacement {
 public:
  DirectPlacement(FailureDomain own_domain, PlacementCosts costs)
      : own_domain_(std::move(own_domain)), costs_(costs) {}

  /// @return the cheapest candidate that was not tried, or nothing if there is
  ///     none
  std::optional<DirectPlacementDecision> Choose(const PlacementQuery& query,
                                                const PlacementFleet& fleet,
                                                const PartDirectory& directory,
                                                const UpstreamLoad& load,
                                                const UpstreamHealth& health,
                                                TimePoint now) const;

 private:
  using Cost = PlacementCosts::Cost;

  /// An engine that holds the beginning of a request's shared parts.
  struct PartSource {
    std::string endpoint;
    std::uint32_t tokens = 0;  ///< Of the prompt's beginning.
  };
  /// Where the shared parts of a request are, within one scope.
  struct PartSources {
    PartChain chain;
    std::uint32_t shared_tokens = 0;
    std::uint32_t tokens_before_last = 0;  ///< Of the last shared part.
    std::vector<PartSource> engines;  ///< Those with the most tokens first.
    std::uint32_t store_tokens = 0;   ///< In the KV store.
    /// Cached or being computed at the engine that has most of them.
    std::uint32_t most_held_tokens = 0;
    std::uint32_t known_tokens = 0;  ///< Cached or being computed somewhere.
  };
  /// Where missing parts come from.
  struct PartImport {
    std::string endpoint;            ///< Empty if there is no source.
    std::uint32_t tokens = 0;        ///< Prefix length held after the import.
    std::uint32_t store_tokens = 0;  ///< Over the KV store's link.
    Cost cost{0};
  };

  /// Finds the rendezvous home among the usable candidates. Slower ones are the
  /// home of fewer prefixes.
  const PlacementCandidate* FindHome(const PlacementQuery& query,
                                     const PlacementFleet& fleet,
                                     const UpstreamHealth& health,
                                     TimePoint now) const;
  PartSources FindPartSources(const std::string& scope,
                              const PlacementQuery& query,
                              const PlacementFleet& fleet,
                              const PartDirectory& directory,
                              TimePoint now) const;
  /// Returns the import that saves most, or one without an endpoint if none
  /// saves anything.
  /// @param held_tokens tokens that the candidate holds
  PartImport BestImport(const PartSources& sources, const PlacementFleet& fleet,
                        const PlacementCandidate& candidate,
                        std::uint32_t held_tokens, TimePoint now) const;
  static PartImport EngineImport(const PartSources& sources,
                                 const PlacementCandidate& candidate,
                                 Cost cost);
  PartImport StoreImport(const PartSources& sources,
                         const PlacementFleet& fleet, std::uint32_t held_tokens,
                         TimePoint now) const;
  /// Returns the penalty for computing shared parts that the candidate lacks.
  /// @param held_tokens tokens that the candidate holds, imports included
  Cost RecomputeCost(const PartSources& sources, std::uint32_t held_tokens,
                     bool at_home) const;
  /// Sets the expected hits, import and export of a candidate.
  /// @return cost of the missing parts
  Cost PlanPartTransfers(const PartSources& sources,
                         const PlacementQuery& query,
                         const PlacementFleet& fleet,
                         const PlacementCandidate& candidate,
                         const PlacementCandidate* home,
                         const PartDirectory& directory, TimePoint now,
                         DirectPlacementDecision& choice) const;
  using SourcesByScope = std::map<std::string, PartSources>;

  /// Returns the engines that can take the request now, in an order that
  /// depends on `PlacementQuery::random`.
  static std::vector<const PlacementCandidate*> RankEngines(
      const PlacementQuery& query, const PlacementFleet& fleet,
      const UpstreamHealth& health, TimePoint now);
  /// True for an engine that holds some of the last shared part, or no less of
  /// the shared parts than any other.
  bool IsHolder(const PartSources& sources, std::uint32_t held_tokens) const;
  /// Returns the first engines of `ranked`, all that hold some of the last
  /// shared part, and the first of those that hold as much as any of the parts
  /// before it; none if `ranked` is empty.
  std::set<const PlacementCandidate*> DrawEngines(
      const std::vector<const PlacementCandidate*>& ranked,
      const SourcesByScope& sources, const PartDirectory& directory,
      TimePoint now) const;
  Cost ExpectedWait(const PlacementCandidate& candidate,
                    const PlacementQuery& query, const PlacementFleet& fleet,
                    const UpstreamLoad& load, TimePoint now) const;
  Cost FailureCost(const PlacementCandidate& candidate,
                   const UpstreamHealth& health, TimePoint now) const;

  FailureDomain own_domain_;
  PlacementCosts costs_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_DIRECT_PLACEMENT_H_
