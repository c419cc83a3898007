#ifndef YUCCAPICK_TABLE_MIRROR_H_
#define YUCCAPICK_TABLE_MIRROR_H_

/// @file
/// A local copy of a table's rows that never goes back to an older state.

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "yuccapick/store_generation.h"

namespace yuccapick {

/// A row as read from the table. Its version increases with each write in a
/// generation of the store.
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
  StoreGeneration generation;
};

/// Rows of a table that changed between two positions.
struct TableChanges {
  std::vector<MirrorRow> rows;
  TablePosition after;  ///< Where the reader asked for changes.
  TablePosition as_of;  ///< The changes are complete up to it.
};

/// Merges snapshots and changes from the store and from peers. A newer state is
/// never replaced by an older one. A new generation begins with a snapshot.
class TableMirror {
 public:
  // Commands. Each returns the rows that changed, including removals.

  /// A snapshot of a newer generation replaces all rows; those that differ in
  /// their value count as changed.
  std::vector<MirrorRow> OnSnapshot(const TableSnapshot& snapshot);
  /// Changes that begin or end in another generation than the mirror's are
  /// ignored.
  std::vector<MirrorRow> OnChanges(const TableChanges& changes);
  /// The table's newest change was `version` at a time after the last snapshot
  /// was read, in the mirror's generation.
  void OnNewestChangeKnown(std::uint64_t version);

  // Queries.

  StoreGeneration generation() const { return generation_; }
  std::uint64_t as_of() const { return as_of_; }
  /// Version of the newest change received.
  std::uint64_t newest_change() const { return newest_change_; }
  /// No row changed after this version and up to `as_of`. Unlike
  /// `newest_change`, it covers rows removed before they were ever received.
  std::uint64_t unchanged_since() const {
    return std::max(newest_change_, unseen_until_);
  }
  /// False if `unchanged_since` may be higher than the newest change.
  bool knows_newest_change() const { return newest_change_ >= unseen_until_; }
  /// @return the row, or null
  const MirrorRow* Find(const std::string& key) const;
  TableSnapshot Snapshot() const;
  TablePosition position() const { return {generation_, as_of_}; }
  /// Returns all rows, but leaves out the values of those that a copy up to
  /// `known` has. Such a copy takes it over like a full one.
  TableSnapshot SnapshotFor(const TablePosition& known) const;

 private:
  bool Apply(const MirrorRow& row);
  std::vector<MirrorRow> BeginGeneration(const TableSnapshot& snapshot);

  std::map<std::string, MirrorRow> rows_;
  StoreGeneration generation_;
  std::uint64_t as_of_ = 0;
  std::uint64_t newest_change_ = 0;
  /// A snapshot doesn't show rows that came and went before it; such changes
  /// have at most this version.
  std::uint64_t unseen_until_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TABLE_MIRROR_H_
