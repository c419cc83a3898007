#include "yuccapick/hot_prefix.h"

#include <algorithm>
#include <cmath>

namespace yuccapick {
namespace {

constexpr double kRiseSeconds = 3.0;
constexpr double kFallSeconds = 10.0;

double Rate(double rise, double fall) {
  return std::max(rise / kRiseSeconds, fall / kFallSeconds);
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
  return Rate(demand.rise, demand.fall);
}

}  // namespace yuccapick
