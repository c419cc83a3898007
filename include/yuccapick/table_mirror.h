#ifndef YUCCAPICK_TABLE_MIRROR_H_
#define YUCCAPICK_TABLE_MIRROR_H_

/// @file
/// A local copy of a table's rows that never goes back to an older state.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yuccapick {

/// A row as read from the table. Its version increases with each write.
struct MirrorRow {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
  bool removed = false;

  bool operator==(const MirrorRow&) const = default;
};

/// All rows of a table as of one version.
struct TableSnapshot {
  std::vector<MirrorRow> rows;
  std::uint64_t as_of = 0;
};

/// Merges snapshots and changes from the store and from peers. A newer state is
/// never replaced by an older one.
class TableMirror {
 public:
  // Commands. Each returns the rows that changed, including removals.

  std::vector<MirrorRow> OnSnapshot(const TableSnapshot& snapshot);
  /// @param as_of version up to which the changes are complete
  std::vector<MirrorRow> OnChanges(const std::vector<MirrorRow>& rows,
                                   std::uint64_t as_of);

  // Queries.

  std::uint64_t as_of() const { return as_of_; }
  /// Version of the newest change received.
  std::uint64_t newest_change() const { return newest_change_; }
  /// No row changed after this version and up to `as_of`. Unlike
  /// `newest_change`, it covers rows removed before they were ever received.
  std::uint64_t unchanged_since() const { return unchanged_since_; }
  TableSnapshot Snapshot() const;

 private:
  bool Apply(const MirrorRow& row);

  std::map<std::string, MirrorRow> rows_;
  std::uint64_t as_of_ = 0;
  std::uint64_t newest_change_ = 0;
  std::uint64_t unchanged_since_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TABLE_MIRROR_H_
