#ifndef YUCCAPICK_GROUP_COMMITTER_H_
#define YUCCAPICK_GROUP_COMMITTER_H_

/// @file
/// Commits rows of many operations in one transaction and settles writes whose
/// result is unknown.

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
  bool settle_unknown = true;  ///< Off only in mutation tests.
};

/// Result for one row. Never unknown: such writes stay with the committer.
struct RowResult {
  enum class Outcome : std::uint8_t { kApplied, kConflict, kUnavailable };
  std::uint64_t ticket = 0;
  Outcome outcome = Outcome::kApplied;
  TableRow row;  ///< For `kConflict` as it is; version 0 if absent.
};

/// A transaction to commit under a command number.
struct GroupCommit {
  std::uint64_t command = 0;
  TableTransaction transaction;
};

/// Gathers conditional row writes while a commit is under way. A write with an
/// unknown result is committed again on the same condition: either it takes
/// effect now, or the row tells that it did before, or that it cannot any more.
class GroupCommitter {
 public:
  explicit GroupCommitter(GroupCommitterOptions options);

  // Commands.

  /// Adds a write of `value` if the row still has `version`.
  /// @param value differs from every other value ever written to the row
  /// @return ticket that names its result
  std::uint64_t Enqueue(std::string key, std::uint64_t version,
                        std::string value);
  /// Takes the result of a commit; the rows that are settled by it.
  std::vector<RowResult> OnCommitted(std::uint64_t command,
                                     const CommitResult& result, TimePoint now);
  /// The next transaction, if one is due.
  std::optional<GroupCommit> Next(TimePoint now);

  // Queries.

  /// When `Next` has something, unless a commit is under way.
  std::optional<TimePoint> WakeTime() const;
  /// True after a commit that the service refused, until it is tried again.
  bool IsUnavailable(TimePoint now) const;
  std::size_t size() const { return rows_.size(); }

 private:
  struct Row {
    std::uint64_t ticket = 0;
    std::string key;
    std::uint64_t version = 0;
    std::string value;
    bool in_commit = false;
    bool may_have_landed = false;
  };

  void Settle(const Row& row, const CommitResult& result,
              std::vector<RowResult>& settled) const;
  void BackOff(TimePoint now);

  GroupCommitterOptions options_;
  std::mt19937_64 random_;
  std::list<Row> rows_;
  std::uint64_t next_ticket_ = 1;
  std::uint64_t next_command_ = 1;
  bool under_way_ = false;
  TimePoint not_before_;
  std::uint32_t failures_ = 0;
  bool unavailable_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GROUP_COMMITTER_H_
