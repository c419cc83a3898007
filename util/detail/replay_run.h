#ifndef YUCCAPICK_UTIL_DETAIL_REPLAY_RUN_H_
#define YUCCAPICK_UTIL_DETAIL_REPLAY_RUN_H_

/// @file
/// Replays a trace under one policy and one fault, in simulated time.

#include <chrono>
#include <string>
#include <vector>

#include "util/detail/replay_policy.h"

namespace yuccapick::replay {

enum class Fault { kNone, kEngineCrash, kEventsLost, kRoutersRestarted };

/// Returns the names of the faults, in the order of `Fault`.
const std::vector<std::string>& FaultNames();

/// Time of the fault, from the start of the trace.
inline constexpr std::chrono::seconds kFaultTime{30};

/// Result of one request.
struct RequestResult {
  std::chrono::microseconds arrival{0};
  /// Time to first token; negative if there was none.
  std::chrono::microseconds first_token{-1};
  std::uint64_t prompt_tokens = 0;
  std::uint64_t cached_tokens = 0;
  std::uint64_t wasted_tokens = 0;  ///< Recomputed although cached elsewhere.
};

/// Statistics of the requests that arrived in a time interval. Ratios are
/// relative to the prompt tokens.
struct Summary {
  double hit_rate = 0;
  double ttft_p50_ms = 0;
  double ttft_p95_ms = 0;
  double ttft_p99_ms = 0;
  double wasted_ratio = 0;
};

/// Replays `trace`; results are in the order of its requests.
std::vector<RequestResult> Replay(const Trace& trace, const std::string& policy,
                                  Fault fault, std::uint64_t seed);

/// Summarises the requests that arrived in [`begin`, `end`).
Summary Summarise(const std::vector<RequestResult>& results,
                  std::chrono::microseconds begin,
                  std::chrono::microseconds end);

}  // namespace yuccapick::replay

#endif  // YUCCAPICK_UTIL_DETAIL_REPLAY_RUN_H_
