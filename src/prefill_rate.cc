#include "yuccapick/prefill_rate.h"

#include <algorithm>

namespace yuccapick {
namespace {

using Time = PrefillRateEstimate::Time;

constexpr double kTokensPerK = 1'000.0;
/// Weight of a sample in the mean length.
constexpr double kMeanGain = 0.05;
/// Change of the median time with each sample, as a share of it.
constexpr double kTimeStep = 0.05;
/// Change of the time per thousand tokens with each sample, as a share of it.
/// A sample of the mean length tells nothing of it, a sample that is longer or
/// shorter by the mean length or more counts fully.
constexpr double kSlopeStep = 0.02;
constexpr Time kMinPerKTokens{0.5};
constexpr Time kMaxPerKTokens{200.0};

}  // namespace

void PrefillRateEstimate::OnSample(std::uint32_t tokens, Time time) {
  const double k_tokens = tokens / kTokensPerK;
  if (!sampled_) {
    sampled_ = true;
    mean_k_tokens_ = k_tokens;
    at_mean_ = time;
    return;
  }
  const double distance = k_tokens - mean_k_tokens_;
  const bool slower = time > at_mean_ + per_k_tokens_ * distance;
  const double sign = slower ? 1.0 : -1.0;
  const double weight = std::clamp(
      distance / std::max(mean_k_tokens_, 1 / kTokensPerK), -1.0, 1.0);
  per_k_tokens_ = std::clamp(per_k_tokens_ * (1 + kSlopeStep * weight * sign),
                             kMinPerKTokens, kMaxPerKTokens);
  at_mean_ *= 1 + kTimeStep * sign;
  const double step = kMeanGain * distance;
  mean_k_tokens_ += step;
  at_mean_ += per_k_tokens_ * step;
}

Time PrefillRateEstimate::TimeFor(std::uint32_t tokens) const {
  if (!sampled_) return Time(0);
  const double distance = tokens / kTokensPerK - mean_k_tokens_;
  return std::max(at_mean_ + per_k_tokens_ * distance, Time(0));
}

double PrefillRateEstimate::tokens_per_ms() const {
  return kTokensPerK / per_k_tokens_.count();
}

}  // namespace yuccapick
