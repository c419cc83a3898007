#ifndef YUCCAPICK_GROUP_COMMITTER_H_
#define YUCCAPICK_GROUP_COMMITTER_H_

/// @file
/// Commits rows of many operations in one transaction and determines the result
/// of writes that ended with an unknown one.

#include <chrono>
#include <cstdint>
#include <list>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/table.h"

namespace yuccapick {

struct GroupCommitterOptions {
  std::size_t max_rows = 64;
  std::chrono::milliseconds min_interval{10};  ///< Between two commits.
  std::chrono::milliseconds base_backoff{50};
  std::chrono::milliseconds max_backoff{2'000};
  std::uint64_t seed = 0;
  bool retry_unknown = true;  ///< Switched off only by mutation tests.
};

/// Result for one row. It is never unknown: the committer retries such writes.
struct RowResult {
  enum class Outcome : std::uint8_t { kApplied, kConflict, kUnavailable };
  std::uint64_t ticket = 0;
  Outcome outcome = Outcome::kApplied;
  /// For `kConflict` the current row; version 0 if it is absent.
  TableRow row;
};

/// A transaction and the command number that names its result.
struct GroupCommit {
  std::uint64_t command = 0;
  TableTransaction transaction;
};

/// Collects conditional row writes while a commit is in progress. A write with
/// an unknown result is committed again on the same condition: either it is
/// applied now, or the conflicting row shows that it was applied before, or
/// that it can no longer be applied.
class GroupCommitter {
 public:
  explicit GroupCommitter(GroupCommitterOptions options);

  // Commands.

  /// Adds a write of `value` on the condition that the row has `version`.
  /// @param value must differ from every other value ever written to the row
  /// @return ticket that identifies the result
  std::uint64_t Enqueue(std::string key, std::uint64_t version,
                        std::string value);
  /// Takes the result of the commit `command`.
  /// @return results of the rows whose writes are no longer open
  std::vector<RowResult> OnCommitted(std::uint64_t command,
                                     const CommitResult& result, TimePoint now);
  /// Returns the next transaction, if one is due at `now`.
  std::optional<GroupCommit> Next(TimePoint now);

  // Queries.

  /// When `Next` has a transaction; nothing while a commit is in progress.
  std::optional<TimePoint> WakeTime() const;
  /// True after the table service refused a commit, until the next try is due.
  bool IsUnavailable(TimePoint now) const;
  /// Number of writes without a result.
  std::size_t size() const { return rows_.size(); }

 private:
  struct Row {
    std::uint64_t ticket = 0;
    std::string key;
    std::uint64_t version = 0;
    std::string value;
    bool in_commit = false;
    bool may_be_applied = false;
  };

  void Resolve(const Row& row, const CommitResult& result,
               std::vector<RowResult>& resolved) const;
  void BackOff(TimePoint now);

  GroupCommitterOptions options_;
  std::mt19937_64 random_;
  std::list<Row> rows_;
  std::uint64_t next_ticket_ = 1;
  std::uint64_t next_command_ = 1;
  bool in_progress_ = false;
  TimePoint next_commit_at_;
  std::uint32_t failures_ = 0;
  bool unavailable_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GROUP_COMMITTER_H_
