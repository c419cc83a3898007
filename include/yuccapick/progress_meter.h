#ifndef YUCCAPICK_PROGRESS_METER_H_
#define YUCCAPICK_PROGRESS_METER_H_

/// @file
/// Tells whether a message moves fast enough for what it holds.

#include <chrono>
#include <cstddef>

#include "yuccapick/ids.h"

namespace yuccapick {

/// The least progress of a message.
struct ProgressRule {
  double min_bytes_per_s = 0;
  /// The rate must be reached in each window of this length. A message that
  /// ends within one window is never too slow.
  std::chrono::milliseconds window{30'000};
};

/// Counts the bytes of one message, in windows of time. Windows are counted
/// apart, so that a fast beginning does not excuse a message that stops.
class ProgressMeter {
 public:
  /// Windows by which messages are compared under memory pressure.
  static constexpr std::chrono::milliseconds kRecentWindow{2'000};

  /// A message begins.
  void Start(TimePoint now);
  void OnBytes(std::size_t bytes);
  /// Closes the windows that are over; called at least every second.
  /// @return true if less moved in a window than the rule requires
  bool IsTooSlow(const ProgressRule& rule, TimePoint now);
  /// @return the bytes that moved in the last full `kRecentWindow`; before the
  ///   first one is over, more than any message moves
  std::size_t recent_bytes() const { return recent_bytes_; }

 private:
  TimePoint window_began_at_;
  std::size_t window_bytes_ = 0;
  TimePoint recent_began_at_;
  std::size_t counted_bytes_ = 0;
  std::size_t recent_bytes_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_PROGRESS_METER_H_
