#include "yuccapick/table_mirror.h"

#include <algorithm>
#include <set>

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

std::vector<MirrorRow> TableMirror::OnSnapshot(const TableSnapshot& snapshot) {
  std::vector<MirrorRow> changes;
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

std::vector<MirrorRow> TableMirror::OnChanges(
    const std::vector<MirrorRow>& rows, std::uint64_t as_of) {
  std::vector<MirrorRow> changes;
  for (const MirrorRow& row : rows) {
    if (Apply(row)) changes.push_back(row);
  }
  as_of_ = std::max(as_of_, as_of);
  return changes;
}

void TableMirror::OnNewestChangeKnown(std::uint64_t version) {
  unseen_until_ = std::min(unseen_until_, version);
}

TableSnapshot TableMirror::Snapshot() const {
  TableSnapshot snapshot;
  for (const auto& [key, row] : rows_) snapshot.rows.push_back(row);
  snapshot.as_of = as_of_;
  return snapshot;
}

}  // namespace yuccapick
