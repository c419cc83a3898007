#ifndef YUCCAPICK_ROW_VERSION_TIMES_H_
#define YUCCAPICK_ROW_VERSION_TIMES_H_

/// @file
/// When rows of the store were written, as far as its answers tell.

#include <cstdint>
#include <deque>
#include <optional>

#include "yuccapick/store_clock.h"

namespace yuccapick {

/// Each answer of the store names the newest row version at its time: rows with
/// a higher version were written after it, however late the answers are read.
class RowVersionTimes {
 public:
  /// @param newest version in an answer
  /// @param answered_at the store's time in the same answer
  void OnAnswer(std::uint64_t newest, StoreTime answered_at);

  /// @return the latest known time at which the store didn't have this version;
  ///   nullopt if none is known
  std::optional<StoreTime> WrittenAfter(std::uint64_t version) const;

 private:
  struct Answer {
    std::uint64_t newest = 0;
    StoreTime answered_at;
  };

  std::deque<Answer> answers_;  ///< Ascending by version.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ROW_VERSION_TIMES_H_
