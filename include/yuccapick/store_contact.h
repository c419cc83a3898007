#ifndef YUCCAPICK_STORE_CONTACT_H_
#define YUCCAPICK_STORE_CONTACT_H_

/// @file
/// How long the store has been reachable.

#include <chrono>
#include <optional>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Short failures, such as a single call without an answer, are no outage. The
/// time between two failures counts only if it is short enough for the calls
/// to have failed one after another: in a longer one the process stood still. A
/// process that starts knows of no earlier outage, so it assumes none. All
/// times are boot times, which go on while the machine is suspended.
class StoreContact {
 public:
  struct Options {
    std::chrono::milliseconds min_outage{1'000};
    /// Longer than a call's time limit and the delay before the next one.
    std::chrono::milliseconds max_failure_gap{2'000};
  };

  StoreContact() = default;
  explicit StoreContact(Options options) : options_(options) {}

  // Commands.

  void OnAnswer(TimePoint now);
  void OnFailure(TimePoint now);
  /// A peer's call was answered at `answered_at`.
  /// @return false if an own call failed later, so this tells nothing new
  bool OnPeerAnswer(TimePoint answered_at, TimePoint now);

  // Queries.

  /// True if the store answers and is known to have had no outage for
  /// `duration`.
  bool InTouchFor(std::chrono::milliseconds duration, TimePoint now) const;
  /// @return time since the end of the last outage, zero in an outage; nullopt
  ///   if there was none
  std::optional<std::chrono::milliseconds> TimeSinceOutage(TimePoint now) const;

 private:
  bool InOutage(TimePoint now) const;

  Options options_;
  bool answered_ = false;  ///< At least once.
  std::optional<TimePoint> outage_ended_at_;
  std::optional<TimePoint> failing_since_;
  TimePoint failed_at_;  ///< Last failure.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_STORE_CONTACT_H_
