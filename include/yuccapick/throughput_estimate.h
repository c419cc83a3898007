#ifndef YUCCAPICK_THROUGHPUT_ESTIMATE_H_
#define YUCCAPICK_THROUGHPUT_ESTIMATE_H_

/// @file
/// How fast an upstream works off what was passed to it.

#include <chrono>
#include <cstddef>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Estimates the rate at which attempts end, and what it means for a queue.
class ThroughputEstimate {
 public:
  // Commands.

  void OnEnded(TimePoint now);

  // Queries.

  /// Attempts that end per second, over the last few seconds.
  double PerSecond(TimePoint now) const;
  /// How long the last of `waiting` attempts will wait.
  std::chrono::duration<double> ExpectedWait(std::size_t waiting,
                                             TimePoint now) const;

 private:
  double decayed_ = 0;  ///< Ends, each weighted by its age.
  TimePoint decayed_at_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_THROUGHPUT_ESTIMATE_H_
