#ifndef YUCCAPICK_CIRCUIT_BREAKER_H_
#define YUCCAPICK_CIRCUIT_BREAKER_H_

/// @file
/// Ejects upstreams that fail, for a time and up to a cap.

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

#include "yuccapick/ids.h"

namespace yuccapick {

struct CircuitBreakerOptions {
  std::uint32_t failures_to_open = 5;  ///< In a row.
  std::chrono::milliseconds base_open{1'000};
  std::chrono::milliseconds max_open{30'000};
  double max_ejected_share = 0.34;  ///< Of the upstreams of one kind.
  std::uint64_t seed = 0;
};

/// One circuit for each upstream. After the open time a single attempt probes
/// the upstream; its result closes or opens the circuit again.
class CircuitBreaker {
 public:
  explicit CircuitBreaker(CircuitBreakerOptions options = {});

  // Commands.

  void OnSuccess(const UpstreamId& id);
  void OnFailure(const UpstreamId& id, TimePoint now);
  /// An attempt goes to `id`; if its circuit is open, it is the probe.
  void OnSent(const UpstreamId& id, TimePoint now);

  // Queries.

  /// Upstreams that get nothing now, those that opened first before others.
  /// @param live number of live upstreams that could be chosen
  std::vector<UpstreamId> Ejected(std::size_t live, TimePoint now) const;

 private:
  struct Circuit {
    std::uint32_t failures = 0;  ///< In a row.
    std::uint32_t openings = 0;  ///< In a row.
    bool open = false;
    TimePoint opened;
    TimePoint until;
  };

  void Open(Circuit& circuit, TimePoint now);

  CircuitBreakerOptions options_;
  std::mt19937_64 random_;
  std::map<UpstreamId, Circuit> circuits_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_CIRCUIT_BREAKER_H_
