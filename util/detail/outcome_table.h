#ifndef YUCCAPICK_UTIL_DETAIL_OUTCOME_TABLE_H_
#define YUCCAPICK_UTIL_DETAIL_OUTCOME_TABLE_H_

/// @file
/// In-memory table service with fault injection.

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "util/detail/outcome_faults.h"
#include "util/detail/outcome_timeline.h"
#include "yuccapick/table.h"

namespace yuccapick::outcome {

/// Transactional table that can lose answers, apply writes after the client
/// timed out, and become unavailable.
class InMemoryTable {
 public:
  InMemoryTable(Timeline& timeline, const FaultSet& faults)
      : timeline_(timeline), faults_(faults) {}

  /// Applies the transaction atomically and calls `done` with the result.
  void Commit(TableTransaction transaction,
              std::function<void(CommitResult)> done);
  /// Calls `done` with whether the table is available and the rows found.
  void Read(std::vector<std::string> keys,
            std::function<void(bool, std::vector<TableRow>)> done);
  /// Makes every call fail until `ClearFaults`.
  void BeginOutage() { unavailable_ = true; }
  /// Ends the outage and stops injecting faults.
  void ClearFaults();

  std::uint64_t transactions() const { return transactions_; }
  std::uint64_t rows_written() const { return rows_written_; }

 private:
  CommitResult Apply(const TableTransaction& transaction);
  void CommitNow(const TableTransaction& transaction,
                 const std::function<void(CommitResult)>& done);

  Timeline& timeline_;
  FaultSet faults_;
  bool unavailable_ = false;
  std::map<std::string, TableRow> rows_;
  std::uint64_t transactions_ = 0;
  std::uint64_t rows_written_ = 0;
};

}  // namespace yuccapick::outcome

#endif  // YUCCAPICK_UTIL_DETAIL_OUTCOME_TABLE_H_
