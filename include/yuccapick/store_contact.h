#ifndef YUCCAPICK_STORE_CONTACT_H_
#define YUCCAPICK_STORE_CONTACT_H_

/// @file
/// How long the store has been reachable.

#include <chrono>
#include <optional>

#include "yuccapick/store_clock.h"

namespace yuccapick {

/// Short failures, such as a single call without an answer, are no outage.
class StoreContact {
 public:
  struct Options {
    std::chrono::milliseconds min_outage{1'000};
  };

  StoreContact() = default;
  explicit StoreContact(Options options) : options_(options) {}

  // Commands.

  void OnAnswer(StoreTime now);
  void OnFailure(StoreTime now);

  // Queries.

  /// True if the store has had no outage for `duration`.
  bool InTouchFor(std::chrono::milliseconds duration, StoreTime now) const;

 private:
  bool InOutage(StoreTime now) const;

  Options options_;
  std::optional<StoreTime> in_touch_since_;
  std::optional<StoreTime> failing_since_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_STORE_CONTACT_H_
