#include "util/detail/replay_run.h"

#include <algorithm>
#include <cmath>

#include "util/detail/replay_simulation.h"

namespace yuccapick::replay {
namespace {

using std::chrono::microseconds;

double Percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) return 0;
  const double position = share * static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(std::ceil(position))];
}

}  // namespace

const std::vector<std::string>& FaultNames() {
  static const auto* const kNames = new std::vector<std::string>{
      "none", "engine_crash", "events_lost", "routers_restarted"};
  return *kNames;
}

std::vector<RequestResult> Replay(const Trace& trace, const std::string& policy,
                                  Fault fault, std::uint64_t seed) {
  return ReplaySimulation(trace, policy, fault, seed).Run();
}

Summary Summarise(const std::vector<RequestResult>& results, microseconds begin,
                  microseconds end) {
  Summary summary;
  std::vector<double> first_tokens;
  std::uint64_t prompt = 0;
  std::uint64_t cached = 0;
  std::uint64_t wasted = 0;
  for (const RequestResult& result : results) {
    if (result.arrival < begin || result.arrival >= end) continue;
    first_tokens.push_back(static_cast<double>(result.first_token.count()) /
                           1'000.0);
    prompt += result.prompt_tokens;
    cached += result.cached_tokens;
    wasted += result.wasted_tokens;
  }
  if (prompt == 0) return summary;
  std::sort(first_tokens.begin(), first_tokens.end());
  summary.hit_rate = static_cast<double>(cached) / static_cast<double>(prompt);
  summary.wasted_ratio =
      static_cast<double>(wasted) / static_cast<double>(prompt);
  summary.ttft_p50_ms = Percentile(first_tokens, 0.50);
  summary.ttft_p95_ms = Percentile(first_tokens, 0.95);
  summary.ttft_p99_ms = Percentile(first_tokens, 0.99);
  return summary;
}

}  // namespace yuccapick::replay
