#include "util/detail/outcome_table.h"

#include <utility>

namespace yuccapick::outcome {
namespace {

constexpr microseconds kMinLatency{500};
constexpr microseconds kMaxLatency{6'000};
constexpr microseconds kClientTimeout{300'000};
constexpr microseconds kMaxLateWriteDelay{2'000'000};
constexpr double kLostAnswerProbability = 0.2;
constexpr double kLateWriteProbability = 0.2;
constexpr double kOutageTimeoutProbability = 0.3;

}  // namespace

void InMemoryTable::Commit(TableTransaction transaction,
                           std::function<void(CommitResult)> done) {
  timeline_.After(timeline_.RandomBetween(kMinLatency, kMaxLatency),
                  [this, transaction = std::move(transaction),
                   done = std::move(done)] { CommitNow(transaction, done); });
}

void InMemoryTable::CommitNow(const TableTransaction& transaction,
                              const std::function<void(CommitResult)>& done) {
  const auto answer = [this, done](microseconds delay,
                                   const CommitResult& result) {
    timeline_.After(delay, [done, result] { done(result); });
  };
  const microseconds latency =
      timeline_.RandomBetween(kMinLatency, kMaxLatency);
  if (unavailable_) {
    const bool timed_out = timeline_.RandomChance(kOutageTimeoutProbability);
    answer(timed_out ? kClientTimeout : latency,
           {timed_out ? WriteResult::kUnknown : WriteResult::kNotApplied, {}});
    return;
  }
  if (Has(faults_, Fault::kLateWrite) &&
      timeline_.RandomChance(kLateWriteProbability)) {
    timeline_.After(timeline_.RandomBetween(latency, kMaxLateWriteDelay),
                    [this, transaction] { Apply(transaction); });
    answer(kClientTimeout, {WriteResult::kUnknown, {}});
    return;
  }
  const CommitResult result = Apply(transaction);
  if (Has(faults_, Fault::kLostAnswer) &&
      timeline_.RandomChance(kLostAnswerProbability)) {
    answer(kClientTimeout, {WriteResult::kUnknown, {}});
    return;
  }
  answer(latency, result);
}

CommitResult InMemoryTable::Apply(const TableTransaction& transaction) {
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

void InMemoryTable::Read(
    std::vector<std::string> keys,
    std::function<void(bool, std::vector<TableRow>)> done) {
  timeline_.After(timeline_.RandomBetween(kMinLatency, kMaxLatency),
                  [this, keys = std::move(keys), done = std::move(done)] {
                    std::vector<TableRow> rows;
                    for (const std::string& key : keys) {
                      auto it = rows_.find(key);
                      if (it != rows_.end()) rows.push_back(it->second);
                    }
                    done(!unavailable_,
                         unavailable_ ? std::vector<TableRow>{} : rows);
                  });
}

void InMemoryTable::ClearFaults() {
  unavailable_ = false;
  faults_.reset();
}

}  // namespace yuccapick::outcome
