#include "yuccapick/throughput_estimate.h"

#include <algorithm>
#include <cmath>

namespace yuccapick {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr Seconds kWindow{4};
/// Of an upstream that has not ended anything lately.
constexpr double kLeastPerSecond = 1.0;

}  // namespace

void ThroughputEstimate::OnEnded(TimePoint now) {
  decayed_ = PerSecond(now) * kWindow.count() + 1;
  decayed_at_ = now;
}

double ThroughputEstimate::PerSecond(TimePoint now) const {
  const Seconds age = now - decayed_at_;
  return decayed_ * std::exp(-age / kWindow) / kWindow.count();
}

Seconds ThroughputEstimate::ExpectedWait(std::size_t waiting,
                                         TimePoint now) const {
  const double rate = std::max(PerSecond(now), kLeastPerSecond);
  return Seconds(static_cast<double>(waiting) / rate);
}

}  // namespace yuccapick
