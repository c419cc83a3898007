#ifndef YUCCAPICK_LATENCY_ESTIMATE_H_
#define YUCCAPICK_LATENCY_ESTIMATE_H_

/// @file
/// Estimate of the current latency of answers.

#include <chrono>
#include <cmath>

namespace yuccapick {

/// Smoothed mean and deviation of answer latencies, as TCP estimates its
/// retransmission timeout (RFC 6298). An attempt that takes longer than
/// `UpperBound` is slower than nearly all others. As the bound rises with the
/// load, slow answers under load are not taken for failures.
class LatencyEstimate {
 public:
  /// @param time from sending to the first event, or to giving the attempt up
  void OnSample(std::chrono::milliseconds time) {
    const Time sample(time);
    if (!sampled_) {
      sampled_ = true;
      mean_ = sample;
      deviation_ = sample / 2;
      return;
    }
    const Time error = sample - mean_;
    deviation_ += kDeviationGain * (std::chrono::abs(error) - deviation_);
    mean_ += kMeanGain * error;
  }

  /// @return mean latency; zero before the first sample
  std::chrono::milliseconds mean() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(mean_);
  }
  /// @return time within which nearly all answers begin; zero before the first
  ///   sample
  std::chrono::milliseconds UpperBound() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        mean_ + kDeviations * deviation_);
  }

 private:
  using Time = std::chrono::duration<double, std::milli>;

  // Values of RFC 6298.
  static constexpr double kMeanGain = 0.125;
  static constexpr double kDeviationGain = 0.25;
  static constexpr double kDeviations = 4.0;

  bool sampled_ = false;
  Time mean_{0};
  Time deviation_{0};
};

}  // namespace yuccapick

#endif  // YUCCAPICK_LATENCY_ESTIMATE_H_
