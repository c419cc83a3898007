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
  if (in_progress_ || rows_.empty() || now < next_commit_at_) {
    return std::nullopt;
  }
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
  in_progress_ = true;
  unavailable_ = false;
  next_commit_at_ = now + options_.min_interval;
  return commit;
}

void GroupCommitter::Resolve(const Row& row, const CommitResult& result,
                             std::vector<RowResult>& resolved) const {
  using Outcome = RowResult::Outcome;
  if (result.result == WriteResult::kApplied) {
    resolved.push_back(
        {row.ticket, Outcome::kApplied, {row.key, row.value, 0}});
    return;
  }
  const TableRow* conflict = FindConflict(result, row.key);
  if (conflict != nullptr) {
    const bool already_applied = conflict->value == row.value;
    resolved.push_back(
        {row.ticket, already_applied ? Outcome::kApplied : Outcome::kConflict,
         *conflict});
    return;
  }
  const bool refused = result.conflicts.empty();
  if (refused && !row.may_be_applied) {
    resolved.push_back({row.ticket, Outcome::kUnavailable, {row.key, "", 0}});
  }
}

std::vector<RowResult> GroupCommitter::OnCommitted(std::uint64_t command,
                                                   const CommitResult& result,
                                                   TimePoint now) {
  std::vector<RowResult> resolved;
  if (!in_progress_ || command != next_command_) return resolved;
  in_progress_ = false;
  ++next_command_;
  CommitResult effective = result;
  const bool unknown = effective.result == WriteResult::kUnknown;
  if (unknown && !options_.retry_unknown) {
    effective.result = WriteResult::kApplied;
  }
  for (auto it = rows_.begin(); it != rows_.end();) {
    if (!std::exchange(it->in_commit, false)) {
      ++it;
      continue;
    }
    const std::size_t before = resolved.size();
    if (effective.result == WriteResult::kUnknown) {
      it->may_be_applied = true;
    } else {
      Resolve(*it, effective, resolved);
    }
    it = resolved.size() > before ? rows_.erase(it) : std::next(it);
  }
  const bool refused = effective.result == WriteResult::kNotApplied &&
                       effective.conflicts.empty();
  unavailable_ = refused;
  if (refused || effective.result == WriteResult::kUnknown) {
    BackOff(now);
  } else {
    failures_ = 0;
    if (effective.result == WriteResult::kNotApplied) next_commit_at_ = now;
  }
  return resolved;
}

void GroupCommitter::BackOff(TimePoint now) {
  failures_ = std::min(failures_ + 1, kMaxBackoffShift);
  const auto ceiling =
      std::min(options_.max_backoff, options_.base_backoff * (1 << failures_));
  std::uniform_int_distribution<std::int64_t> jitter(
      options_.base_backoff.count(), ceiling.count());
  next_commit_at_ = now + std::chrono::milliseconds(jitter(random_));
}

std::optional<TimePoint> GroupCommitter::WakeTime() const {
  if (in_progress_ || rows_.empty()) return std::nullopt;
  return next_commit_at_;
}

bool GroupCommitter::IsUnavailable(TimePoint now) const {
  return unavailable_ && now < next_commit_at_;
}

}  // namespace yuccapick
