#ifndef YUCCAPICK_UTIL_DETAIL_LIMITS_RUN_H_
#define YUCCAPICK_UTIL_DETAIL_LIMITS_RUN_H_

/// @file
/// Measures in virtual time how far one team's load reaches another team, and
/// how far retries multiply an overload.

#include <chrono>
#include <cstdint>

namespace yuccapick::outcome {

struct ShareOptions {
  std::uint64_t seed = 1;
  double large_load = 1.0;  ///< In multiples of the large team's share.
  std::chrono::seconds duration{600};
};

/// What one run at one agent showed.
struct ShareResult {
  std::chrono::microseconds small_first_token_p95{0};
  std::uint64_t small_answered = 0;
  std::uint64_t large_answered = 0;
  std::uint64_t small_refused = 0;
  std::uint64_t large_refused = 0;
};

/// Loads one engine's agent with a large and a small team.
ShareResult RunShares(const ShareOptions& options);

/// Attempts sent and requests made while every attempt fails.
struct AmplificationResult {
  std::uint64_t requests = 0;
  std::uint64_t attempts = 0;
};

/// Sends requests through a router whose upstreams all fail.
AmplificationResult RunAmplification(std::uint64_t seed,
                                     std::uint64_t requests);

/// How many operations share one table write.
struct ClaimCostResult {
  std::uint64_t operations = 0;
  std::uint64_t table_writes = 0;
  std::chrono::microseconds added_p95{0};  ///< By the claim.
};

/// Claims operations at a steady rate through one router, the table taking
/// 1 to 4 ms each way.
ClaimCostResult RunClaims(std::uint64_t seed, double operations_per_second);

}  // namespace yuccapick::outcome

#endif  // YUCCAPICK_UTIL_DETAIL_LIMITS_RUN_H_
