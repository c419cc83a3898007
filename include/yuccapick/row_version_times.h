#ifndef YUCCAPICK_ROW_VERSION_TIMES_H_
#define YUCCAPICK_ROW_VERSION_TIMES_H_

/// @file
/// When rows of the store were written, as far as its answers tell.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "yuccapick/store_clock.h"

namespace yuccapick {

/// The store had no row with a version above `newest` at a time.
struct RowVersionTime {
  std::uint64_t newest = 0;
  StoreTime answered_at;

  bool operator==(const RowVersionTime&) const = default;
};

/// Row versions and times that outlive the process that learned them.
struct SavedRowTimes {
  StoreTime saved_after;  ///< Time at which they were not saved yet.
  std::vector<RowVersionTime> times;

  bool operator==(const SavedRowTimes&) const = default;
};

std::string SerialiseRowTimes(const SavedRowTimes& saved);
/// @return nullopt if `text` is malformed
std::optional<SavedRowTimes> ParseRowTimes(const std::string& text);

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
  /// The latest answer and earlier ones, each at least `spacing` before the
  /// next.
  /// @param n largest number of them
  /// @return ascending by version
  std::vector<RowVersionTime> Latest(std::size_t n,
                                     std::chrono::milliseconds spacing) const;

 private:
  std::deque<RowVersionTime> answers_;  ///< Ascending by version.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ROW_VERSION_TIMES_H_
