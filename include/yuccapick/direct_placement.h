#ifndef YUCCAPICK_DIRECT_PLACEMENT_H_
#define YUCCAPICK_DIRECT_PLACEMENT_H_

/// @file
/// Chooses the upstream of a request whose caller names its prompt's parts.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/part_directory.h"
#include "yuccapick/transfer_link.h"
#include "yuccapick/upstream_health.h"
#include "yuccapick/upstream_load.h"
#include "yuccapick/upstream_roster.h"

namespace yuccapick {

/// What placement has to know of a request.
struct PlacementQuery {
  std::vector<PromptPart> parts;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;  ///< Expected.
  std::size_t body_bytes = 0;
  std::vector<UpstreamId> tried;  ///< Never chosen again.
};

/// One upstream that may be chosen.
struct PlacementCandidate {
  const UpstreamEntry* upstream = nullptr;
  std::string cache_scope;   ///< Parts are shared only within one scope.
  bool loading = false;      ///< New weights are on their way to it.
  bool old_weights = false;  ///< Newer weights have been named.
};

/// What all candidates of one request have in common.
struct PlacementFleet {
  std::vector<PlacementCandidate> candidates;
  std::uint64_t kv_capacity_tokens = 0;  ///< Of an engine; 0: no engines.
  std::string kv_store_endpoint;         ///< Empty if there is none.
  const TransferLink* kv_store_link = nullptr;  ///< Null: of no account.
};

/// Costs are waits, or what else is lost expressed as a wait.
struct PlacementCosts {
  using Cost = std::chrono::duration<double, std::milli>;

  /// Prompt tokens that an engine reads in a millisecond.
  double prefill_tokens_per_ms = 90.0;
  /// Reading a thousand shared tokens that some engine has read before.
  Cost reread_per_k_tokens{125.0};
  /// Reading a thousand shared tokens that no engine is known to have read, but
  /// not at their home: another process may be reading them there.
  Cost stray_per_k_tokens{40.0};
  /// Sending a request, and each kilobyte of it, to another failure domain.
  Cost domain{2.0};
  Cost domain_per_kb{1.0};
  /// One more running request slows the others down.
  Cost per_request{1.0};
  /// Importing cached parts, by source.
  Cost import_from_engine{25.0};
  Cost import_from_store{20.0};  ///< Beside the time that its link takes.
  /// Parts are not put into the store while transfers there wait longer.
  Cost export_wait{60.0};
  /// A request that fails for sure.
  Cost failure{3'000.0};
  /// Memory beyond `full_share` of an engine's brings preemption; a plain
  /// service beyond its slots queues.
  double full_share = 0.8;
  Cost full{1'500.0};
  /// A request that is answered with weights that were replaced.
  Cost old_weights{80.0};
  /// An upstream that is about to load weights, or is paused after failures,
  /// is taken only when nothing better is left.
  Cost avoid{5'000.0};
};

/// The upstream for a request, and why.
struct DirectChoice {
  UpstreamId upstream;
  std::string import_from;  ///< Endpoint that holds missing parts, or empty.
  std::string export_to;    ///< Endpoint to put the parts at, or empty.
  std::string cache_scope;
  std::uint32_t expected_hit_tokens = 0;
  std::uint32_t missing_tokens = 0;
  std::uint32_t store_tokens = 0;  ///< Expected over the KV store's link.
  PlacementCosts::Cost cost{0};
};

/// Places requests by expected wait: prefill that is missing, work in flight,
/// memory, failures and distance. Every process ranks the same homes for a
/// shared prefix, so one that has just started finds the cached parts too.
class DirectPlacement {
 public:
  DirectPlacement(FailureDomain own_domain, PlacementCosts costs)
      : own_domain_(std::move(own_domain)), costs_(costs) {}

  /// @return nothing if no candidate is left
  std::optional<DirectChoice> Choose(const PlacementQuery& query,
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
    std::uint32_t tokens = 0;
  };
  /// Where the shared parts of a request are, within one scope.
  struct PartSources {
    PartChain chain;
    std::uint32_t shared_tokens = 0;
    std::vector<PartSource> engines;  ///< Those that hold most first.
    std::uint32_t store_tokens = 0;   ///< In the KV store.
    std::uint32_t known_tokens = 0;   ///< Read or being read somewhere.
  };
  /// Where missing parts come from.
  struct PartImport {
    std::string endpoint;            ///< Empty if there is no source.
    std::uint32_t tokens = 0;        ///< From the beginning, held after it.
    std::uint32_t store_tokens = 0;  ///< Over the KV store's link.
    Cost cost{0};
  };

  const PlacementCandidate* HomeOf(const PlacementQuery& query,
                                   const PlacementFleet& fleet,
                                   const UpstreamHealth& health,
                                   TimePoint now) const;
  PartSources SourcesIn(const std::string& scope, const PlacementQuery& query,
                        const PlacementFleet& fleet,
                        const PartDirectory& directory, TimePoint now) const;
  /// The import that spares most, or one without an endpoint.
  /// @param hit tokens that the candidate holds
  PartImport BestImport(const PartSources& sources, const PlacementFleet& fleet,
                        const PlacementCandidate& it, std::uint32_t hit,
                        TimePoint now) const;
  static PartImport EngineImport(const PartSources& sources,
                                 const PlacementCandidate& it, Cost cost);
  PartImport StoreImport(const PartSources& sources,
                         const PlacementFleet& fleet, std::uint32_t hit,
                         TimePoint now) const;
  /// What reading parts costs that the candidate will not hold.
  Cost ReadCost(const PartSources& sources, std::uint32_t held,
                bool at_home) const;
  /// Sets hits, import and export of a candidate.
  /// @return what the missing parts cost
  Cost PlanParts(const PartSources& sources, const PlacementQuery& query,
                 const PlacementFleet& fleet, const PlacementCandidate& it,
                 const PlacementCandidate* home, const PartDirectory& directory,
                 TimePoint now, DirectChoice& choice) const;
  Cost WaitAt(const UpstreamEntry& upstream, const PlacementQuery& query,
              std::uint64_t kv_capacity, const UpstreamLoad& load,
              TimePoint now) const;
  Cost RiskAt(const PlacementCandidate& candidate, const UpstreamHealth& health,
              TimePoint now) const;

  FailureDomain own_domain_;
  PlacementCosts costs_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_DIRECT_PLACEMENT_H_
