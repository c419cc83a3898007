#ifndef YUCCAPICK_THROUGHPUT_ESTIMATE_H_
#define YUCCAPICK_THROUGHPUT_ESTIMATE_H_

/// @file
/// Rate at which an upstream completes attempts.

#include <chrono>
#include <cstddef>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Estimates the completion rate of attempts, and from it the waiting time in a
/// queue.
class ThroughputEstimate {
 public:
  // Commands.

  void OnEnded(TimePoint now);

  // Queries.

  /// Returns the attempts that end per second, as an exponentially decaying
  /// average over a few seconds.
  double PerSecond(TimePoint now) const;
  /// Returns the expected wait of the last of `waiting` attempts, in seconds.
  std::chrono::duration<double> ExpectedWait(std::size_t waiting,
                                             TimePoint now) const;

 private:
  double decayed_count_ = 0;  ///< Ended attempts, decayed by their age.
  TimePoint decayed_at_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_THROUGHPUT_ESTIMATE_H_
