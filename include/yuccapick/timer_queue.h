#ifndef YUCCAPICK_TIMER_QUEUE_H_
#define YUCCAPICK_TIMER_QUEUE_H_

/// @file
/// Wake-up times of several state machines.

#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Set of wake-up times with their owners. Owners check for themselves whether
/// anything is due, so timers are never cancelled and an outdated wake-up is
/// harmless.
template <typename Owner>
class TimerQueue {
 public:
  void Arm(const Owner& owner, TimePoint when) {
    timers_.insert({when, owner});
  }

  /// Removes the timers that are due and returns their owners.
  std::vector<Owner> PopDue(TimePoint now) {
    std::vector<Owner> due;
    while (!timers_.empty() && timers_.begin()->first <= now) {
      due.push_back(timers_.begin()->second);
      timers_.erase(timers_.begin());
    }
    return due;
  }

  std::optional<TimePoint> Next() const {
    if (timers_.empty()) return std::nullopt;
    return timers_.begin()->first;
  }

 private:
  std::set<std::pair<TimePoint, Owner>> timers_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TIMER_QUEUE_H_
