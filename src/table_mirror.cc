#include "yuccapick/table_mirror.h"

#include <algorithm>
#include <set>
#include <utility>

namespace yuccapick {

bool TableMirror::Apply(const MirrorRow& row) {
  newest_change_ = std::max(newest_change_, row.version);
  const auto it = rows_.find(row.key);
  if (it == rows_.end()) {
    // The row is already absent from the snapshot, so this is no change.
    if (row.removed || row.version <= as_of_) return false;
    rows_.emplace(row.key, row);
    return true;
  }
  if (row.version <= it->second.version) return false;
  if (row.removed) {
    rows_.erase(it);
  } else {
    it->second = row;
  }
  return true;
}

std::vector<MirrorRow> TableMirror::BeginGeneration(
    const TableSnapshot& snapshot) {
  const std::map<std::string, MirrorRow> before = std::exchange(rows_, {});
  generation_ = snapshot.generation;
  as_of_ = snapshot.as_of;
  unseen_until_ = snapshot.as_of;
  newest_change_ = 0;
  std::vector<MirrorRow> changes;
  for (const MirrorRow& row : snapshot.rows) {
    rows_[row.key] = row;
    newest_change_ = std::max(newest_change_, row.version);
    const auto it = before.find(row.key);
    const bool differs = it == before.end() || it->second.value != row.value;
    if (differs) changes.push_back(row);
  }
  for (const auto& [key, row] : before) {
    if (!rows_.contains(key)) changes.push_back({key, "", as_of_, true});
  }
  return changes;
}

std::vector<MirrorRow> TableMirror::OnSnapshot(const TableSnapshot& snapshot) {
  std::vector<MirrorRow> changes;
  if (snapshot.generation < generation_) return changes;
  if (snapshot.generation > generation_) return BeginGeneration(snapshot);
  if (snapshot.as_of < as_of_) return changes;
  std::set<std::string> listed;
  for (const MirrorRow& row : snapshot.rows) {
    listed.insert(row.key);
    if (Apply(row)) changes.push_back(row);
  }
  for (auto it = rows_.begin(); it != rows_.end();) {
    if (listed.contains(it->first) || it->second.version > snapshot.as_of) {
      ++it;
      continue;
    }
    changes.push_back({it->first, "", snapshot.as_of, true});
    it = rows_.erase(it);
  }
  if (snapshot.as_of > as_of_) unseen_until_ = snapshot.as_of;
  as_of_ = snapshot.as_of;
  return changes;
}

std::vector<MirrorRow> TableMirror::OnChanges(const TableChanges& changes) {
  std::vector<MirrorRow> applied;
  if (changes.after.generation != generation_) return applied;
  if (changes.as_of.generation != generation_) return applied;
  for (const MirrorRow& row : changes.rows) {
    if (Apply(row)) applied.push_back(row);
  }
  as_of_ = std::max(as_of_, changes.as_of.version);
  return applied;
}

void TableMirror::OnNewestChangeKnown(std::uint64_t version) {
  unseen_until_ = std::min(unseen_until_, version);
}

TableSnapshot TableMirror::Snapshot() const {
  TableSnapshot snapshot;
  for (const auto& [key, row] : rows_) snapshot.rows.push_back(row);
  snapshot.as_of = as_of_;
  snapshot.generation = generation_;
  return snapshot;
}

const MirrorRow* TableMirror::Find(const std::string& key) const {
  const auto it = rows_.find(key);
  return it == rows_.end() ? nullptr : &it->second;
}

TableSnapshot TableMirror::SnapshotFor(const TablePosition& known) const {
  TableSnapshot snapshot;
  snapshot.as_of = as_of_;
  snapshot.generation = generation_;
  for (const auto& [key, row] : rows_) {
    const bool has_value =
        known.generation == generation_ && row.version <= known.version;
    MirrorRow copy{key, "", row.version, row.removed};
    if (!has_value) copy.value = row.value;
    snapshot.rows.push_back(std::move(copy));
  }
  return snapshot;
}

}  // namespace yuccapick
