#include "util/detail/outcome_table.h"

#include <utility>

namespace yuccapick::outcome {
namespace {

constexpr microseconds kFastest{500};
constexpr microseconds kSlowest{6'000};
constexpr microseconds kClientTimeout{300'000};
constexpr microseconds kLatestLanding{2'000'000};
constexpr double kLostAnswerShare = 0.2;
constexpr double kLateWriteShare = 0.2;
constexpr double kOutageTimeoutShare = 0.3;

}  // namespace

void MemoryTable::Commit(TableTransaction transaction,
                         std::function<void(CommitResult)> done) {
  timeline_.After(timeline_.Between(kFastest, kSlowest),
                  [this, transaction = std::move(transaction),
                   done = std::move(done)] { CommitNow(transaction, done); });
}

void MemoryTable::CommitNow(const TableTransaction& transaction,
                            const std::function<void(CommitResult)>& done) {
  const auto answer = [this, done](microseconds delay,
                                   const CommitResult& result) {
    timeline_.After(delay, [done, result] { done(result); });
  };
  const microseconds back = timeline_.Between(kFastest, kSlowest);
  if (out_) {
    const bool timed_out = timeline_.Chance(kOutageTimeoutShare);
    answer(timed_out ? kClientTimeout : back,
           {timed_out ? WriteResult::kUnknown : WriteResult::kNotApplied, {}});
    return;
  }
  if (Has(faults_, Fault::kLateWrite) && timeline_.Chance(kLateWriteShare)) {
    timeline_.After(timeline_.Between(back, kLatestLanding),
                    [this, transaction] { Apply(transaction); });
    answer(kClientTimeout, {WriteResult::kUnknown, {}});
    return;
  }
  const CommitResult result = Apply(transaction);
  if (Has(faults_, Fault::kLostAnswer) && timeline_.Chance(kLostAnswerShare)) {
    answer(kClientTimeout, {WriteResult::kUnknown, {}});
    return;
  }
  answer(back, result);
}

CommitResult MemoryTable::Apply(const TableTransaction& transaction) {
  CommitResult result{WriteResult::kApplied, {}};
  for (const TableCheck& check : transaction.checks) {
    auto it = rows_.find(check.key);
    const TableRow row =
        it == rows_.end() ? TableRow{check.key, "", 0} : it->second;
    if (row.version != check.version) result.conflicts.push_back(row);
  }
  if (!result.conflicts.empty()) {
    result.result = WriteResult::kNotApplied;
    return result;
  }
  ++transactions_;
  for (const TablePut& put : transaction.puts) {
    TableRow& row = rows_[put.key];
    row = {put.key, put.value, row.version + 1};
    ++rows_written_;
  }
  for (const std::string& key : transaction.deletes) rows_.erase(key);
  return result;
}

void MemoryTable::Read(std::vector<std::string> keys,
                       std::function<void(bool, std::vector<TableRow>)> done) {
  timeline_.After(timeline_.Between(kFastest, kSlowest),
                  [this, keys = std::move(keys), done = std::move(done)] {
                    std::vector<TableRow> rows;
                    for (const std::string& key : keys) {
                      auto it = rows_.find(key);
                      if (it != rows_.end()) rows.push_back(it->second);
                    }
                    done(!out_, out_ ? std::vector<TableRow>{} : rows);
                  });
}

void MemoryTable::Heal() {
  out_ = false;
  faults_.reset();
}

}  // namespace yuccapick::outcome
