#include "yuccapick/hedge_delay.h"

#include <algorithm>

namespace yuccapick {
namespace {

constexpr double kQuantile = 0.97;
constexpr double kRelativeStep = 0.2;  // Of the quantile, per sample.
constexpr double kMargin = 1.5;
constexpr std::uint64_t kMinSamples = 50;
constexpr std::chrono::microseconds kMinDelay{50'000};
constexpr std::chrono::microseconds kInitialDelay{10'000'000};

}  // namespace

void HedgeDelay::OnFirstToken(std::chrono::microseconds elapsed) {
  const auto us = static_cast<double>(elapsed.count());
  ++samples_;
  if (samples_ == 1) quantile_us_ = std::max(us, 1.0);
  const double step = quantile_us_ * kRelativeStep;
  const bool above = us > quantile_us_;
  quantile_us_ += above ? step * kQuantile : -step * (1 - kQuantile);
  quantile_us_ = std::max(quantile_us_, 1.0);
}

std::chrono::microseconds HedgeDelay::Get() const {
  if (samples_ < kMinSamples) return kInitialDelay;
  const auto delay = static_cast<std::int64_t>(quantile_us_ * kMargin);
  return std::max(kMinDelay, std::chrono::microseconds(delay));
}

}  // namespace yuccapick
