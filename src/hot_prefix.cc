#include "yuccapick/hot_prefix.h"

#include <algorithm>
#include <cmath>

namespace yuccapick {
namespace {

/// Time constants of the decayed counts.
constexpr double kShortWindowSeconds = 3.0;
constexpr double kLongWindowSeconds = 10.0;
/// Minimum observation time; without it the first requests would give a very
/// high rate.
constexpr double kMinAgeSeconds = 0.5;

/// Returns the decayed count that one request per second reaches after `age`
/// seconds. A decayed count divided by it is a rate per second.
double DecayedWindowSeconds(double time_constant, double age) {
  return time_constant * (1.0 - std::exp(-age / time_constant));
}

double Seconds(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

HotPrefixes::HotPrefixes(std::size_t max_prefixes)
    : max_prefixes_(max_prefixes) {}

HotPrefixes::Demand HotPrefixes::Decayed(const Demand& demand, TimePoint now) {
  const double elapsed = std::max(
      0.0, std::chrono::duration<double>(now - demand.updated_at).count());
  return {demand.short_window_count * std::exp(-elapsed / kShortWindowSeconds),
          demand.long_window_count * std::exp(-elapsed / kLongWindowSeconds),
          now};
}

void HotPrefixes::OnRequest(std::uint64_t chain_hash, TimePoint now) {
  if (demands_.empty()) first_request_at_ = now;
  Demand& demand = demands_[chain_hash];
  demand = Decayed(demand, now);
  demand.short_window_count += 1.0;
  demand.long_window_count += 1.0;
  if (demands_.size() > max_prefixes_) Trim(now);
}

void HotPrefixes::Trim(TimePoint now) {
  double total = 0;
  for (const auto& [chain_hash, demand] : demands_) {
    total += Decayed(demand, now).long_window_count;
  }
  const double mean = total / static_cast<double>(demands_.size());
  absl::erase_if(demands_, [&](const auto& entry) {
    return Decayed(entry.second, now).long_window_count <= mean;
  });
}

double HotPrefixes::RatePerSecond(std::uint64_t chain_hash,
                                  TimePoint now) const {
  const auto it = demands_.find(chain_hash);
  if (it == demands_.end()) return 0;
  const Demand demand = Decayed(it->second, now);
  const double age = std::max(kMinAgeSeconds, Seconds(now - first_request_at_));
  return std::max(
      demand.short_window_count /
          DecayedWindowSeconds(kShortWindowSeconds, age),
      demand.long_window_count / DecayedWindowSeconds(kLongWindowSeconds, age));
}

}  // namespace yuccapick
