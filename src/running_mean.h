#ifndef YUCCAPICK_RUNNING_MEAN_H_
#define YUCCAPICK_RUNNING_MEAN_H_

/// @file
/// An exponentially smoothed mean without a bias towards its initial value.

#include <algorithm>
#include <cstdint>

namespace yuccapick {

/// The arithmetic mean of the first samples, then an exponentially smoothed
/// one.
class RunningMean {
 public:
  /// @param smoothing minimum weight of a new sample
  explicit RunningMean(double smoothing) : smoothing_(smoothing) {}

  void Add(double sample) {
    ++samples_;
    const double weight =
        std::max(smoothing_, 1.0 / static_cast<double>(samples_));
    value_ += weight * (sample - value_);
  }

  double Value() const { return value_; }

 private:
  double smoothing_;
  double value_ = 0;
  std::uint64_t samples_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_RUNNING_MEAN_H_
