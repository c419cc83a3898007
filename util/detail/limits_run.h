#ifndef YUCCAPICK_UTIL_DETAIL_LIMITS_RUN_H_
#define YUCCAPICK_UTIL_DETAIL_LIMITS_RUN_H_

/// @file
/// Measures in virtual time how much one team's load affects another team, how
/// much retries amplify an overload, and what claims cost.

#include <chrono>
#include <cstdint>

namespace yuccapick::outcome {

struct ShareOptions {
  std::uint64_t seed = 1;
  double large_load = 1.0;  ///< Relative to the large team's share.
  std::chrono::seconds duration{600};
};

/// Result of one run at one agent.
struct ShareResult {
  std::chrono::microseconds small_first_token_p95{0};
  std::uint64_t small_answered = 0;
  std::uint64_t large_answered = 0;
  std::uint64_t small_refused = 0;
  std::uint64_t large_refused = 0;
};

/// Sends the load of a large and a small team to one engine's agent.
ShareResult RunShares(const ShareOptions& options);

/// Requests and the attempts sent for them while every attempt fails.
struct AmplificationResult {
  std::uint64_t requests = 0;
  std::uint64_t attempts = 0;
};

/// Sends requests through a router whose upstreams all fail.
AmplificationResult RunAmplification(std::uint64_t seed,
                                     std::uint64_t requests);

/// Table writes and latency caused by claims.
struct ClaimCostResult {
  std::uint64_t operations = 0;
  std::uint64_t table_writes = 0;
  std::chrono::microseconds added_p95{0};  ///< Latency added by the claim.
};

/// Claims operations at a steady rate through one router. The table takes 1 to
/// 4 ms in each direction.
ClaimCostResult RunClaims(std::uint64_t seed, double operations_per_second);

}  // namespace yuccapick::outcome

#endif  // YUCCAPICK_UTIL_DETAIL_LIMITS_RUN_H_
