#ifndef YUCCAPICK_STORE_CLOCK_H_
#define YUCCAPICK_STORE_CLOCK_H_

/// @file
/// The store's clock, and its estimate from the store's answers.

#include <chrono>
#include <optional>

#include "yuccapick/ids.h"

namespace yuccapick {

/// The store's steady clock. All processes that call the store agree on it.
struct StoreClock {
  using duration = std::chrono::milliseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<StoreClock>;
};

using StoreTime = StoreClock::time_point;

/// Estimates the store's time. An answer may wait for long before it is read,
/// so the answer with the shortest delay counts.
class StoreClockEstimate {
 public:
  /// @param answered_at the store's time in an answer
  /// @param received_at boot time at which the answer was read
  void OnAnswer(StoreTime answered_at, TimePoint received_at);

  /// @param boot_time a clock that goes on while the machine is suspended
  /// @return the store's time or slightly less; nullopt before any answer
  std::optional<StoreTime> Now(TimePoint boot_time) const;

 private:
  /// The largest offset of a period. The clocks drift, so older ones expire.
  struct Period {
    TimePoint began_at;
    std::chrono::milliseconds offset{0};  ///< Store's time minus boot time.
  };

  std::optional<Period> current_;
  std::optional<Period> previous_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_STORE_CLOCK_H_
