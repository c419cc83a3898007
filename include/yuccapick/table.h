#ifndef YUCCAPICK_TABLE_H_
#define YUCCAPICK_TABLE_H_

/// @file
/// Interfaces of the platform's table service and object store.

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace yuccapick {

/// A row of the table service. Version 0 means that the row does not exist.
struct TableRow {
  std::string key;
  std::string value;
  std::uint64_t version = 0;

  bool operator==(const TableRow&) const = default;
};

/// Condition of a transaction: the row's version must still be this one.
struct TableCheck {
  std::string key;
  std::uint64_t version = 0;

  bool operator==(const TableCheck&) const = default;
};

/// A row that a transaction writes.
struct TablePut {
  std::string key;
  std::string value;

  bool operator==(const TablePut&) const = default;
};

/// Atomic transaction: nothing is written unless every check holds.
struct TableTransaction {
  std::vector<TableCheck> checks;
  std::vector<TablePut> puts;
  std::vector<std::string> deletes;

  bool operator==(const TableTransaction&) const = default;
};

/// Result of a write. After `kUnknown` only a read can tell whether it took
/// effect.
enum class WriteResult { kApplied, kNotApplied, kUnknown };

/// Result of a transaction.
struct CommitResult {
  WriteResult result = WriteResult::kUnknown;
  std::vector<TableRow> conflicts;  ///< Current rows whose check failed.
};

/// Result of a read; an error while the service is unavailable.
using ReadResult = absl::StatusOr<std::vector<TableRow>>;

/// Client of a platform's table service. Calls do not block; the callback runs
/// later, exactly once, on the client's thread.
template <typename T>
concept TableService = requires(T table, TableTransaction transaction,
                                std::vector<std::string> keys,
                                std::string prefix, std::string after,
                                std::size_t limit,
                                std::function<void(CommitResult)> commit_done,
                                std::function<void(ReadResult)> read_done) {
  table.Commit(transaction, commit_done);
  table.Read(keys, read_done);
  table.Scan(prefix, after, limit, read_done);
};

/// Client of a platform's object store of immutable, named contents.
template <typename T>
concept ObjectStore =
    requires(T store, std::string name, std::string content,
             std::function<void(absl::Status)> put_done,
             std::function<void(absl::StatusOr<std::string>)> get_done) {
  store.Put(name, content, put_done);
  store.Get(name, get_done);
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TABLE_H_
