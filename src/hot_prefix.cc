#include "yuccapick/hot_prefix.h"

#include <algorithm>
#include <cmath>

namespace yuccapick {
namespace {

constexpr double kRiseSeconds = 3.0;
constexpr double kFallSeconds = 10.0;
/// A fresh estimate supposes that it has watched for at least this long.
constexpr double kShortestAgeSeconds = 0.5;

/// Returns the sum of a constant rate of one a second, decayed over `span`,
/// after `age`: what a decayed count is to be divided by.
double DecayedSeconds(double span, double age) {
  return span * (1.0 - std::exp(-age / span));
}

double Seconds(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

HotPrefixes::HotPrefixes(std::size_t most_prefixes)
    : most_prefixes_(most_prefixes) {}

HotPrefixes::Demand HotPrefixes::Decayed(const Demand& demand, TimePoint now) {
  const double elapsed =
      std::max(0.0, std::chrono::duration<double>(now - demand.when).count());
  return {demand.rise * std::exp(-elapsed / kRiseSeconds),
          demand.fall * std::exp(-elapsed / kFallSeconds), now};
}

void HotPrefixes::OnRequest(std::uint64_t chain_hash, TimePoint now) {
  if (demands_.empty()) since_ = now;
  Demand& demand = demands_[chain_hash];
  demand = Decayed(demand, now);
  demand.rise += 1.0;
  demand.fall += 1.0;
  if (demands_.size() > most_prefixes_) Trim(now);
}

void HotPrefixes::Trim(TimePoint now) {
  double total = 0;
  for (const auto& [chain_hash, demand] : demands_) {
    total += Decayed(demand, now).fall;
  }
  const double mean = total / static_cast<double>(demands_.size());
  absl::erase_if(demands_, [&](const auto& entry) {
    return Decayed(entry.second, now).fall <= mean;
  });
}

double HotPrefixes::RatePerSecond(std::uint64_t chain_hash,
                                  TimePoint now) const {
  const auto it = demands_.find(chain_hash);
  if (it == demands_.end()) return 0;
  const Demand demand = Decayed(it->second, now);
  const double age = std::max(kShortestAgeSeconds, Seconds(now - since_));
  return std::max(demand.rise / DecayedSeconds(kRiseSeconds, age),
                  demand.fall / DecayedSeconds(kFallSeconds, age));
}

}  // namespace yuccapick
