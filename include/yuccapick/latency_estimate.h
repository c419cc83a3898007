#ifndef YUCCAPICK_LATENCY_ESTIMATE_H_
#define YUCCAPICK_LATENCY_ESTIMATE_H_

/// @file
/// How long answers take at present.

#include <chrono>
#include <cmath>

namespace yuccapick {

/// Smoothed mean and deviation of answer times, as TCP estimates its
/// retransmission timeout (RFC 6298). An attempt that takes longer than
/// `UpperBound` is slower than nearly all, so under load that slows everything
/// down, waiting is not mistaken for failure.
class LatencyEstimate {
 public:
  /// @param time from sending to the first event; for an attempt that was given
  ///   up, until then
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

  /// @return zero if none is known
  std::chrono::milliseconds mean() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(mean_);
  }
  /// @return time within which nearly all answers begin; zero if none is known
  std::chrono::milliseconds UpperBound() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        mean_ + kDeviations * deviation_);
  }

 private:
  using Time = std::chrono::duration<double, std::milli>;

  // As RFC 6298 sets them.
  static constexpr double kMeanGain = 0.125;
  static constexpr double kDeviationGain = 0.25;
  static constexpr double kDeviations = 4.0;

  bool sampled_ = false;
  Time mean_{0};
  Time deviation_{0};
};

}  // namespace yuccapick

#endif  // YUCCAPICK_LATENCY_ESTIMATE_H_
