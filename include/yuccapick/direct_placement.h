#ifndef YUCCAPICK_DIRECT_PLACEMENT_H_
#define YUCCAPICK_DIRECT_PLACEMENT_H_

/// @file
/// Chooses the upstream of a request whose caller names its prompt's parts.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "yuccapick/ids.h"
#include "yuccapick/upstream_health.h"
#include "yuccapick/upstream_load.h"
#include "yuccapick/upstream_roster.h"

namespace yuccapick {

/// One part of a prompt, in order; the last one is the request's own.
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
};

/// What placement has to know of a request.
struct PlacementQuery {
  std::string cache_scope;  ///< Parts are shared only within one scope.
  std::vector<PromptPart> parts;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;  ///< Expected.
  std::size_t body_bytes = 0;
  std::vector<UpstreamId> tried;  ///< Never chosen again.
};

/// One upstream that may be chosen.
struct PlacementCandidate {
  const UpstreamEntry* upstream = nullptr;
  bool loading = false;  ///< New weights are on their way to it.
};

struct DirectPlacementOptions {
  FailureDomain own_domain;
  /// Prompt tokens that an engine reads in a millisecond.
  double prefill_tokens_per_ms = 90.0;
  /// Sending a kilobyte to another failure domain counts like this wait.
  std::chrono::duration<double, std::milli> domain_cost_per_kb{1.5};
  std::chrono::duration<double, std::milli> domain_cost{2.0};
  /// Wait that one more running request adds to the others.
  std::chrono::duration<double, std::milli> wait_per_request{1.0};
  /// Importing cached parts from another upstream.
  std::chrono::duration<double, std::milli> import_cost{6.0};
  /// A request that fails for sure counts like this wait.
  std::chrono::duration<double, std::milli> failure_cost{3'000.0};
  /// Memory beyond this share of an engine's brings preemption.
  double full_share = 0.85;
  std::chrono::duration<double, std::milli> full_cost{400.0};
  /// An upstream that is about to load weights, or is paused after failures,
  /// is taken only when nothing better is left.
  std::chrono::duration<double, std::milli> avoid_cost{5'000.0};
  /// Parts not used for this long are taken for evicted.
  std::chrono::milliseconds part_lifetime{20'000};
  std::size_t max_known_parts = 4'096;
};

/// The upstream for a request, and why.
struct DirectChoice {
  UpstreamId upstream;
  std::string import_from;  ///< Endpoint that holds missing parts, or empty.
  std::uint32_t expected_hit_tokens = 0;
  std::uint32_t missing_tokens = 0;
  std::chrono::duration<double, std::milli> cost{0};
};

/// Places requests by expected wait: prefill that is missing, work in flight,
/// memory, failures and distance. Every process ranks the same homes for a
/// shared prefix, so one that has just started finds the cached parts too.
class DirectPlacement {
 public:
  explicit DirectPlacement(DirectPlacementOptions options)
      : options_(std::move(options)) {}

  /// @param kv_capacity tokens an engine holds; 0 for plain services
  /// @return nothing if no candidate is left
  std::optional<DirectChoice> Choose(
      const PlacementQuery& query,
      const std::vector<PlacementCandidate>& candidates,
      std::uint64_t kv_capacity, const UpstreamLoad& load,
      const UpstreamHealth& health, TimePoint now) const;

  /// The request's parts are cached at `upstream` from now on.
  void OnServed(const PlacementQuery& query, const UpstreamId& upstream,
                TimePoint now);
  /// Nothing is cached at `upstream` any more.
  void OnCacheLost(const UpstreamId& upstream);

 private:
  using Cost = std::chrono::duration<double, std::milli>;

  struct Holder {
    UpstreamId upstream;
    TimePoint used_at;
  };
  struct KnownPart {
    std::vector<Holder> holders;
    TimePoint used_at;
  };
  /// Hash of each part with all parts before it, and their tokens together.
  struct ChainLink {
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;
  };

  static std::vector<ChainLink> SharedChain(const PlacementQuery& query);
  std::uint32_t KnownTokens(const std::vector<ChainLink>& chain,
                            const UpstreamId& upstream, TimePoint now) const;
  const Holder* NewestHolder(std::uint64_t hash, TimePoint now) const;
  Cost WaitAt(const UpstreamEntry& upstream, std::uint64_t kv_capacity,
              const PlacementQuery& query, const UpstreamLoad& load,
              TimePoint now) const;
  void DropOldest();

  DirectPlacementOptions options_;
  absl::flat_hash_map<std::uint64_t, KnownPart> parts_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_DIRECT_PLACEMENT_H_
