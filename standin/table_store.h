#ifndef YUCCAPICK_STANDIN_TABLE_STORE_H_
#define YUCCAPICK_STANDIN_TABLE_STORE_H_

/// @file
/// In-memory transactional table of the platform.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "yuccapick/table.h"

namespace yuccapick::standin {

/// Versioned rows. Versions are never reused, even after a delete.
class TableStore {
 public:
  /// Applies `transaction` if all of its checks pass.
  /// @return current rows of the failed checks; empty if it was applied
  std::vector<TableRow> Commit(const TableTransaction& transaction) {
    std::vector<TableRow> conflicts;
    for (const TableCheck& check : transaction.checks) {
      TableRow row = Row(check.key);
      if (row.version != check.version) conflicts.push_back(std::move(row));
    }
    if (!conflicts.empty()) return conflicts;
    for (const TablePut& put : transaction.puts) {
      rows_[put.key] = {put.key, put.value, ++last_version_};
    }
    for (const std::string& key : transaction.deletes) rows_.erase(key);
    return conflicts;
  }

  /// Returns the row; version 0 if it is absent.
  TableRow Row(const std::string& key) const {
    auto it = rows_.find(key);
    return it == rows_.end() ? TableRow{key, "", 0} : it->second;
  }

  /// Returns up to `limit` rows whose key starts with `prefix` and is greater
  /// than `after`, in key order.
  std::vector<TableRow> Scan(const std::string& prefix,
                             const std::string& after,
                             std::size_t limit) const {
    std::vector<TableRow> rows;
    auto it =
        after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
    for (; it != rows_.end() && rows.size() < limit; ++it) {
      if (!it->first.starts_with(prefix)) break;
      rows.push_back(it->second);
    }
    return rows;
  }

 private:
  std::map<std::string, TableRow> rows_;
  std::uint64_t last_version_ = 0;
};

}  // namespace yuccapick::standin

#endif  // YUCCAPICK_STANDIN_TABLE_STORE_H_
