#include "yuccapick/group_committer.h"

#include <algorithm>
#include <set>
#include <utility>

namespace yuccapick {
namespace {

constexpr std::uint32_t kMaxBackoffShift = 8;

const TableRow* FindConflict(const CommitResult& result,
                             const std::string& key) {
  for (const TableRow& row : result.conflicts) {
    if (row.key == key) return &row;
  }
  return nullptr;
}

}  // namespace

GroupCommitter::GroupCommitter(GroupCommitterOptions options)
    : options_(options), random_(options.seed) {}

std::uint64_t GroupCommitter::Enqueue(std::string key, std::uint64_t version,
                                      std::string value) {
  Row row;
  row.ticket = next_ticket_++;
  row.key = std::move(key);
  row.version = version;
  row.value = std::move(value);
  rows_.push_back(std::move(row));
  return rows_.back().ticket;
}

std::optional<GroupCommit> GroupCommitter::Next(TimePoint now) {
  if (under_way_ || rows_.empty() || now < not_before_) return std::nullopt;
  GroupCommit commit;
  commit.command = next_command_;
  std::set<std::string> keys;
  for (Row& row : rows_) {
    if (keys.size() == options_.max_rows) break;
    if (!keys.insert(row.key).second) continue;
    row.in_commit = true;
    commit.transaction.checks.push_back({row.key, row.version});
    commit.transaction.puts.push_back({row.key, row.value});
  }
  under_way_ = true;
  unavailable_ = false;
  not_before_ = now + options_.min_interval;
  return commit;
}

void GroupCommitter::Settle(const Row& row, const CommitResult& result,
                            std::vector<RowResult>& settled) const {
  using Outcome = RowResult::Outcome;
  if (result.result == WriteResult::kApplied) {
    settled.push_back({row.ticket, Outcome::kApplied, {row.key, row.value, 0}});
    return;
  }
  const TableRow* conflict = FindConflict(result, row.key);
  if (conflict != nullptr) {
    const bool own = conflict->value == row.value;
    settled.push_back(
        {row.ticket, own ? Outcome::kApplied : Outcome::kConflict, *conflict});
    return;
  }
  const bool refused = result.conflicts.empty();
  if (refused && !row.may_have_landed) {
    settled.push_back({row.ticket, Outcome::kUnavailable, {row.key, "", 0}});
  }
}

std::vector<RowResult> GroupCommitter::OnCommitted(std::uint64_t command,
                                                   const CommitResult& result,
                                                   TimePoint now) {
  std::vector<RowResult> settled;
  if (!under_way_ || command != next_command_) return settled;
  under_way_ = false;
  ++next_command_;
  CommitResult taken = result;
  const bool unknown = taken.result == WriteResult::kUnknown;
  if (unknown && !options_.settle_unknown) {
    taken.result = WriteResult::kApplied;
  }
  for (auto it = rows_.begin(); it != rows_.end();) {
    if (!std::exchange(it->in_commit, false)) {
      ++it;
      continue;
    }
    const std::size_t before = settled.size();
    if (taken.result == WriteResult::kUnknown) {
      it->may_have_landed = true;
    } else {
      Settle(*it, taken, settled);
    }
    it = settled.size() > before ? rows_.erase(it) : std::next(it);
  }
  const bool refused =
      taken.result == WriteResult::kNotApplied && taken.conflicts.empty();
  unavailable_ = refused;
  if (refused || taken.result == WriteResult::kUnknown) {
    BackOff(now);
  } else {
    failures_ = 0;
    if (taken.result == WriteResult::kNotApplied) not_before_ = now;
  }
  return settled;
}

void GroupCommitter::BackOff(TimePoint now) {
  failures_ = std::min(failures_ + 1, kMaxBackoffShift);
  const auto ceiling =
      std::min(options_.max_backoff, options_.base_backoff * (1 << failures_));
  std::uniform_int_distribution<std::int64_t> jitter(
      options_.base_backoff.count(), ceiling.count());
  not_before_ = now + std::chrono::milliseconds(jitter(random_));
}

std::optional<TimePoint> GroupCommitter::WakeTime() const {
  if (under_way_ || rows_.empty()) return std::nullopt;
  return not_before_;
}

bool GroupCommitter::IsUnavailable(TimePoint now) const {
  return unavailable_ && now < not_before_;
}

}  // namespace yuccapick
