#ifndef YUCCAPICK_UTIL_DETAIL_OUTCOME_TABLE_H_
#define YUCCAPICK_UTIL_DETAIL_OUTCOME_TABLE_H_

/// @file
/// The table service in memory, with its faults.

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "util/detail/outcome_faults.h"
#include "util/detail/outcome_timeline.h"
#include "yuccapick/table.h"

namespace yuccapick::outcome {

/// Commits all or nothing; loses answers, lands writes late and goes out.
class MemoryTable {
 public:
  MemoryTable(Timeline& timeline, const FaultSet& faults)
      : timeline_(timeline), faults_(faults) {}

  void Commit(TableTransaction transaction,
              std::function<void(CommitResult)> done);
  void Read(std::vector<std::string> keys,
            std::function<void(bool, std::vector<TableRow>)> done);
  void BeginOutage() { out_ = true; }
  /// Ends every fault.
  void Heal();

  std::uint64_t transactions() const { return transactions_; }
  std::uint64_t rows_written() const { return rows_written_; }

 private:
  CommitResult Apply(const TableTransaction& transaction);
  void CommitNow(const TableTransaction& transaction,
                 const std::function<void(CommitResult)>& done);

  Timeline& timeline_;
  FaultSet faults_;
  bool out_ = false;
  std::map<std::string, TableRow> rows_;
  std::uint64_t transactions_ = 0;
  std::uint64_t rows_written_ = 0;
};

}  // namespace yuccapick::outcome

#endif  // YUCCAPICK_UTIL_DETAIL_OUTCOME_TABLE_H_
