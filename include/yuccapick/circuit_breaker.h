#ifndef YUCCAPICK_CIRCUIT_BREAKER_H_
#define YUCCAPICK_CIRCUIT_BREAKER_H_

/// @file
/// Ejects failing upstreams for a limited time, up to a share of all.

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "yuccapick/ids.h"

namespace yuccapick {

struct CircuitBreakerOptions {
  std::uint32_t failures_to_open = 5;  ///< Consecutive.
  std::chrono::milliseconds base_open{1'000};
  std::chrono::milliseconds max_open{30'000};
  double max_ejected_share = 0.34;  ///< Of the upstreams of one kind.
  std::uint64_t seed = 0;
};

/// Keeps one circuit per upstream. After the open time, which backs off
/// exponentially with jitter, a single attempt probes the upstream; its result
/// closes or reopens the circuit.
class CircuitBreaker {
 public:
  explicit CircuitBreaker(CircuitBreakerOptions options = {});

  // Commands.

  void OnSuccess(const UpstreamId& id);
  void OnFailure(const UpstreamId& id, TimePoint now);
  /// An attempt was sent to `id`. If its circuit is open, this is the probe,
  /// and the circuit stays open for at least `base_open` longer.
  void OnSent(const UpstreamId& id, TimePoint now);

  // Queries.

  /// Returns the upstreams that must not be chosen now, those whose circuit
  /// opened first ahead; at most `max_ejected_share` of `live`.
  /// @param live number of live candidates
  std::vector<UpstreamId> Ejected(std::size_t live, TimePoint now) const;

 private:
  struct Circuit {
    std::uint32_t failures = 0;  ///< Consecutive.
    std::uint32_t openings = 0;  ///< Consecutive.
    bool open = false;
    TimePoint opened_at;
    TimePoint open_until;
  };

  void Open(Circuit& circuit, TimePoint now);

  CircuitBreakerOptions options_;
  std::mt19937_64 random_;
  std::map<UpstreamId, Circuit> circuits_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_CIRCUIT_BREAKER_H_
