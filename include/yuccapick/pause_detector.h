#ifndef YUCCAPICK_PAUSE_DETECTOR_H_
#define YUCCAPICK_PAUSE_DETECTOR_H_

/// @file
/// Detects that a process did not run for some time.

#include <chrono>
#include <optional>

#include "yuccapick/ids.h"

namespace yuccapick {

/// A time in which the process did not run.
struct ProcessPause {
  std::chrono::milliseconds duration{0};
  /// Part of `duration` in which the machine was suspended.
  std::chrono::milliseconds suspended{0};

  bool operator==(const ProcessPause&) const = default;
};

/// Compares the times of regular ticks.
class PauseDetector {
 public:
  /// @param min_pause shorter delays of a tick are not reported
  explicit PauseDetector(std::chrono::milliseconds min_pause)
      : min_pause_(min_pause) {}

  /// @param now steady clock, which stops while the machine is suspended
  /// @param boot_time clock that goes on meanwhile
  /// @return the pause since the previous tick, if there was one
  std::optional<ProcessPause> OnTick(TimePoint now, TimePoint boot_time);

 private:
  struct Tick {
    TimePoint now;
    TimePoint boot_time;
  };

  std::chrono::milliseconds min_pause_;
  std::optional<Tick> previous_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_PAUSE_DETECTOR_H_
