#ifndef YUCCAPICK_PLACEMENT_H_
#define YUCCAPICK_PLACEMENT_H_

/// @file
/// Chooses the engine that answers a model request.

#include <chrono>
#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/link_messages.h"
#include "yuccapick/prefix.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

/// A model request that needs an engine.
struct PlacementRequest {
  CacheScope scope;
  ServiceId service;
  std::vector<PrefixPiece> pieces;
  std::uint64_t prompt_bytes = 0;
  bool urgent = false;
  double reuse_weight = 0.5;         ///< Of the service; see ServiceConfig.
  std::vector<UpstreamId> excluded;  ///< Tried already, or ejected.
};

/// The chosen engine and what is expected of it.
struct PlacementDecision {
  UpstreamId upstream;
  Incarnation agent_incarnation;
  Incarnation engine_incarnation;
  std::uint64_t expected_prompt_tokens = 0;
  std::uint64_t expected_cached_tokens = 0;
  std::chrono::microseconds expected_first_token{0};  ///< Time until it.
  std::optional<UpstreamId> import_from;  ///< Kept-KV store to import from.
};

struct PlacementOptions {
  FailureDomain domain;
  Region region;
  std::uint64_t seed = 0;  ///< Of the random sample of candidates.
  /// Number of routers that share the engines; scales the demand that this
  /// router observes.
  std::uint32_t routers = 3;
  /// Mean age of the state that a report describes when it is used.
  std::chrono::milliseconds report_age{300};
};

/// Chooses the engine with the lowest expected cost among the holders of
/// the prompt's prefix, the rendezvous homes and a random sample. Not
/// thread-safe.
class Placement {
 public:
  explicit Placement(PlacementOptions options);
  ~Placement();
  Placement(const Placement&) = delete;
  Placement& operator=(const Placement&) = delete;

  // Commands.

  /// Adds, changes or removes (`kGone`) an upstream.
  void ApplyUpstream(const UpstreamInfo& upstream, TimePoint now);
  /// Applies the load, loaded weights and cache digest of a report.
  void ApplyReport(const AgentReport& report, TimePoint now);
  /// The attempt was sent as decided.
  void OnDispatched(const AttemptId& attempt, const PlacementRequest& request,
                    const PlacementDecision& decision, TimePoint now);
  /// The first token of the attempt arrived.
  void OnFirstToken(const AttemptId& attempt, TimePoint now);
  /// The attempt ended; `usage` is what the engine reported, if it did.
  void OnFinished(const AttemptId& attempt, const std::optional<Usage>& usage,
                  TimePoint now);

  // Queries.

  /// Returns the best engine, or nothing if none can answer.
  std::optional<PlacementDecision> Choose(const PlacementRequest& request,
                                          TimePoint now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_PLACEMENT_H_
