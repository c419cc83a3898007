#ifndef YUCCAPICK_LONG_POLL_TIMES_H_
#define YUCCAPICK_LONG_POLL_TIMES_H_

/// @file
/// Times of a long poll, from which follows when its changes were made.

#include "yuccapick/store_clock.h"

namespace yuccapick {

/// The store answers a long poll as soon as there is a change. The process may
/// pause before it sends the poll and before it reads the answer.
struct LongPollTimes {
  StoreTime complete_at;  ///< Until when all earlier changes were known.
  StoreTime began_at;     ///< When the poll was sent.
  StoreTime answered_at;  ///< When the store answered.

  /// @return the latest time at which the changes in the answer are known not
  ///   to have been made
  StoreTime ChangedAfter() const;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_LONG_POLL_TIMES_H_
