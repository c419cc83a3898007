#include "yuccapick/hedge_delay.h"

#include <algorithm>

namespace yuccapick {
namespace {

constexpr double kQuantile = 0.97;
constexpr double kStep = 0.2;  // Relative change by one sample.
constexpr double kMargin = 1.5;
constexpr std::uint64_t kMinSamples = 50;
constexpr std::chrono::microseconds kShortest{50'000};
constexpr std::chrono::microseconds kUntilKnown{10'000'000};

}  // namespace

void HedgeDelay::OnFirstToken(std::chrono::microseconds elapsed) {
  const auto us = static_cast<double>(elapsed.count());
  ++samples_;
  if (samples_ == 1) quantile_us_ = std::max(us, 1.0);
  const double step = quantile_us_ * kStep;
  const bool above = us > quantile_us_;
  quantile_us_ += above ? step * kQuantile : -step * (1 - kQuantile);
  quantile_us_ = std::max(quantile_us_, 1.0);
}

std::chrono::microseconds HedgeDelay::Get() const {
  if (samples_ < kMinSamples) return kUntilKnown;
  const auto delay = static_cast<std::int64_t>(quantile_us_ * kMargin);
  return std::max(kShortest, std::chrono::microseconds(delay));
}

}  // namespace yuccapick
