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
#include "yuccapick/store_generation.h"

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
  StoreGeneration generation;  ///< Of the versions.

  bool operator==(const SavedRowTimes&) const = default;
};

std::string SerialiseRowTimes(const SavedRowTimes& saved);
/// @return nullopt if `text` is malformed
std::optional<SavedRowTimes> ParseRowTimes(const std::string& text);

/// Each answer of the store names the newest row version at its time: rows with
/// a higher version were written after it, however late the answers are read. A
/// newer generation begins without answers; those of earlier ones are ignored.
class RowVersionTimes {
 public:
  /// @param newest version in an answer, in the generation of that answer
  /// @param answered_at the store's time in the same answer
  void OnAnswer(TablePosition newest, StoreTime answered_at);

  /// @return the latest known time at which the store didn't have this row
  ///   version;
  ///   nullopt if none is known
  std::optional<StoreTime> WrittenAfter(TablePosition position) const;
  /// The latest answer and earlier ones, each at least `spacing` before the
  /// next.
  /// @param n largest number of them
  /// @return ascending by version
  std::vector<RowVersionTime> Latest(std::size_t n,
                                     std::chrono::milliseconds spacing) const;
  /// Generation of the versions.
  StoreGeneration generation() const { return generation_; }

 private:
  StoreGeneration generation_;
  std::deque<RowVersionTime> answers_;  ///< Ascending by version.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ROW_VERSION_TIMES_H_
