#ifndef YUCCAPICK_UPSTREAM_H_
#define YUCCAPICK_UPSTREAM_H_

/// @file
/// Identity, state, load and loaded weights of an upstream.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "yuccapick/ids.h"

namespace yuccapick {

enum class UpstreamKind : std::uint8_t {
  kModelEngine,
  kPlainService,
  kKvStore
};

/// State of one incarnation. A suspect upstream has stopped responding and
/// gets no new work. The state never returns from `kLeaving` or `kGone` to an
/// earlier one.
enum class UpstreamState : std::uint8_t { kLive, kSuspect, kLeaving, kGone };

/// Weights that an engine can answer with.
struct LoadedModel {
  ModelId model;
  AdapterId adapter;  ///< Empty for the base model.
  WeightVersion weights;

  auto operator<=>(const LoadedModel&) const = default;
};

/// An upstream's own report of its load.
struct LoadReport {
  std::uint32_t running = 0;                ///< Requests being decoded.
  std::uint32_t queued = 0;                 ///< Requests waiting for prefill.
  std::uint64_t queued_prefill_tokens = 0;  ///< Tokens waiting for prefill.
  double prefill_tokens_per_second = 0;
  double decode_tokens_per_second = 0;  ///< Over all running requests.
  std::uint64_t cached_blocks = 0;
  std::uint64_t capacity_blocks = 0;
};

/// An upstream as known to the membership.
struct UpstreamInfo {
  UpstreamId id;
  UpstreamKind kind = UpstreamKind::kModelEngine;
  FailureDomain domain;
  Region region;
  std::string agent_host;  ///< IP address of the agent beside the upstream.
  std::uint16_t agent_port = 0;
  Incarnation agent_incarnation;   ///< A new one has lost the agent's claims.
  Incarnation engine_incarnation;  ///< A new one has lost the cache.
  UpstreamState state = UpstreamState::kLive;
  std::vector<ServiceId> services;  ///< For plain services: what it serves.
  std::vector<LoadedModel> loaded;  ///< For engines: what it can answer with.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_UPSTREAM_H_
