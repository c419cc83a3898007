#include "yuccapick/config_publish.h"

#include <fmt/format.h>

#include <algorithm>

#include "yuccapick/config_references.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kFirstBackoff{50};
constexpr std::chrono::milliseconds kLongestBackoff{2'000};
constexpr std::uint32_t kMaxBackoffDoublings = 6;

const TableRow* FindRow(const std::vector<TableRow>& rows,
                        std::string_view key) {
  const auto it =
      std::find_if(rows.begin(), rows.end(),
                   [&](const TableRow& row) { return row.key == key; });
  return it == rows.end() ? nullptr : &*it;
}

std::optional<ConfigHead> HeadIn(const std::vector<TableRow>& rows,
                                 std::string_view key) {
  const TableRow* row = FindRow(rows, key);
  if (row == nullptr) return std::nullopt;
  absl::StatusOr<ConfigHead> head = ParseHead(row->value);
  if (!head.ok()) return std::nullopt;
  return *std::move(head);
}

/// Name of a document that both sides changed differently, or empty.
std::string Overlap(const std::vector<ConfigChange>& mine,
                    const std::vector<ConfigChange>& theirs) {
  for (const ConfigChange& change : mine) {
    for (const ConfigChange& other : theirs) {
      if (change.name == other.name && change.hash != other.hash) {
        return change.name;
      }
    }
  }
  return "";
}

}  // namespace

ConfigPublisher::ConfigPublisher(PublishRequest request)
    : request_(std::move(request)), random_(request_.seed) {
  contents_ = request_.documents.contents;
}

PublishActions ConfigPublisher::Start(TimePoint now) {
  deadline_ = now + request_.deadline;
  return Read();
}

PublishActions ConfigPublisher::Handle(const PublishEvent& event,
                                       TimePoint now) {
  if (state_ == State::kDone) return {};
  return std::visit([&](const auto& e) { return On(e, now); }, event);
}

PublishActions ConfigPublisher::Read() {
  state_ = State::kReading;
  ReadRows read{{std::string(kConfigHeadKey)}};
  for (const ConfigVersion version :
       {request_.base, request_.restore, attempted_}) {
    if (version.value != 0) read.keys.push_back(ConfigHistoryKey(version));
  }
  return {std::move(read)};
}

PublishActions ConfigPublisher::On(const RowsRead& event, TimePoint now) {
  if (state_ != State::kReading) return {};
  if (!event.available) return Retry(now);
  failures_ = 0;
  if (attempted_.value != 0) {
    const auto settled = HeadIn(event.rows, ConfigHistoryKey(attempted_));
    if (settled && settled->publish_id == request_.publish_id) {
      return Finish({PublishOutcome::kPublished, attempted_, plan_.changes,
                     plan_.merged, std::nullopt, ""});
    }
  }
  return TakeHead(event.rows);
}

PublishActions ConfigPublisher::TakeHead(const std::vector<TableRow>& rows) {
  const TableRow* row = FindRow(rows, kConfigHeadKey);
  head_ = ConfigHead();
  head_row_version_ = 0;
  if (row != nullptr) {
    absl::StatusOr<ConfigHead> head = ParseHead(row->value);
    if (!head.ok()) {
      std::string message(head.status().message());
      return Fail(PublishOutcome::kInvalid, std::move(message));
    }
    head_ = *std::move(head);
    head_row_version_ = row->version;
  }
  // The head has passed the version of a lost answer: it did not take effect.
  if (head_.version >= attempted_) may_have_run_ = false;
  if (!TakeNamedVersions(rows)) {
    return Fail(PublishOutcome::kInvalid,
                "the version named does not exist; "
                "list them with: yuccapick show history");
  }
  std::set<std::string> wanted;
  for (const auto& head : {std::optional(head_), base_, restored_}) {
    if (head && !head->index_hash.empty()) wanted.insert(head->index_hash);
  }
  return FetchMissing(wanted);
}

bool ConfigPublisher::TakeNamedVersions(const std::vector<TableRow>& rows) {
  if (!have_base_) {
    base_ = head_;
    if (request_.base.value != 0) {
      base_ = HeadIn(rows, ConfigHistoryKey(request_.base));
    }
    have_base_ = true;
  }
  if (request_.restore.value != 0 && !restored_) {
    restored_ = HeadIn(rows, ConfigHistoryKey(request_.restore));
    if (!restored_) return false;
  }
  return base_.has_value();
}

PublishActions ConfigPublisher::FetchMissing(
    const std::set<std::string>& hashes) {
  state_ = State::kFetching;
  pending_.clear();
  PublishActions actions;
  for (const std::string& hash : hashes) {
    if (contents_.contains(hash)) continue;
    pending_.insert(hash);
    actions.emplace_back(FetchObject{hash});
  }
  return pending_.empty() ? MakePlan() : actions;
}

PublishActions ConfigPublisher::On(const ObjectFetched& event, TimePoint now) {
  if (state_ != State::kFetching || !pending_.contains(event.hash)) return {};
  const bool whole =
      event.content.ok() && Sha256Hex(*event.content) == event.hash;
  if (!whole) return Retry(now);
  contents_[event.hash] = *event.content;
  pending_.erase(event.hash);
  return pending_.empty() ? MakePlan() : PublishActions();
}

ConfigIndex ConfigPublisher::IndexOf(const std::string& hash) const {
  const auto it = contents_.find(hash);
  if (it == contents_.end()) return {};
  return ParseIndex(it->second).value_or(ConfigIndex());
}

PublishActions ConfigPublisher::MakePlan() {
  const ConfigIndex in_force = IndexOf(head_.index_hash);
  const ConfigIndex target =
      restored_ ? IndexOf(restored_->index_hash) : request_.documents.index;
  plan_ = {target, {}, false};
  const bool moved = base_->index_hash != head_.index_hash;
  if (moved) {
    const ConfigIndex base = IndexOf(base_->index_hash);
    const auto mine = Diff(base, target);
    const std::string document = Overlap(mine, Diff(base, in_force));
    if (!document.empty()) return Conflict(document);
    plan_.index = Apply(in_force, mine);
    plan_.merged = true;
  }
  plan_.changes = Diff(in_force, plan_.index);
  if (plan_.changes.empty()) {
    return Finish({PublishOutcome::kUnchanged,
                   head_.version,
                   {},
                   false,
                   std::nullopt,
                   ""});
  }
  return plan_.merged ? CheckMerge() : Store();
}

PublishActions ConfigPublisher::CheckMerge() {
  std::set<std::string> wanted;
  for (const auto& [name, hash] : plan_.index) wanted.insert(hash);
  const bool missing = std::any_of(
      wanted.begin(), wanted.end(),
      [&](const std::string& hash) { return !contents_.contains(hash); });
  if (missing) return FetchMissing(wanted);
  const auto merged = FromDocuments(plan_.index, contents_);
  const absl::Status status =
      merged.ok() ? CheckReferences(*merged) : merged.status();
  if (status.ok()) return Store();
  return Fail(PublishOutcome::kConflict,
              fmt::format("the merge with {} does not fit together: {}",
                          Describe(head_), status.ToString()));
}

PublishActions ConfigPublisher::Store() {
  if (request_.dry_run) {
    return Finish({PublishOutcome::kDryRun, head_.version, plan_.changes,
                   plan_.merged, std::nullopt, ""});
  }
  state_ = State::kStoring;
  const std::string index = SerialiseIndex(plan_.index);
  contents_[Sha256Hex(index)] = index;
  std::set<std::string> wanted{Sha256Hex(index)};
  for (const ConfigChange& change : plan_.changes) {
    if (contents_.contains(change.hash)) wanted.insert(change.hash);
  }
  pending_.clear();
  PublishActions actions;
  for (const std::string& hash : wanted) {
    if (stored_.contains(hash)) continue;
    pending_.insert(hash);
    actions.emplace_back(StoreObject{hash, contents_[hash]});
  }
  return pending_.empty() ? Commit() : actions;
}

PublishActions ConfigPublisher::On(const ObjectStored& event, TimePoint now) {
  if (state_ != State::kStoring || !pending_.contains(event.hash)) return {};
  if (!event.ok) return Retry(now);
  pending_.erase(event.hash);
  stored_.insert(event.hash);
  return pending_.empty() ? Commit() : PublishActions();
}

ConfigHead ConfigPublisher::NextHead() const {
  ConfigHead next;
  next.version = head_.version.Next();
  next.index_hash = Sha256Hex(SerialiseIndex(plan_.index));
  next.base_hash = head_.index_hash;
  next.changes = plan_.changes;
  next.publish_id = request_.publish_id;
  next.operator_name = request_.operator_name;
  next.published_at = request_.published_at;
  next.restored = request_.restore;
  return next;
}

PublishActions ConfigPublisher::Commit() {
  state_ = State::kCommitting;
  const ConfigHead next = NextHead();
  const std::string bytes = SerialiseHead(next);
  attempted_ = next.version;
  CommitRows commit;
  commit.transaction.checks = {
      {std::string(kConfigHeadKey), head_row_version_}};
  commit.transaction.puts = {{std::string(kConfigHeadKey), bytes},
                             {ConfigHistoryKey(next.version), bytes}};
  return {std::move(commit)};
}

PublishActions ConfigPublisher::On(const RowsCommitted& event, TimePoint now) {
  if (state_ != State::kCommitting) return {};
  switch (event.result.result) {
    case WriteResult::kApplied:
      return Finish({PublishOutcome::kPublished, attempted_, plan_.changes,
                     plan_.merged, std::nullopt, ""});
    case WriteResult::kNotApplied:
      return event.result.conflicts.empty() ? Retry(now) : Read();
    case WriteResult::kUnknown:
      may_have_run_ = true;
      return Retry(now);
  }
  return {};
}

PublishActions ConfigPublisher::On(const WaitElapsed& /*event*/,
                                   TimePoint /*now*/) {
  return state_ == State::kReading ? Read() : PublishActions();
}

PublishActions ConfigPublisher::Retry(TimePoint now) {
  if (now >= deadline_) {
    if (may_have_run_) {
      return Fail(PublishOutcome::kUnknown,
                  fmt::format("the platform did not say whether version {} "
                              "took effect; look for publish id {} in: "
                              "yuccapick show history",
                              attempted_.value, request_.publish_id));
    }
    return Fail(PublishOutcome::kUnavailable,
                "the platform did not answer and nothing was published; "
                "publish again when it does");
  }
  state_ = State::kReading;
  const auto doublings = std::min(failures_++, kMaxBackoffDoublings);
  const auto bound =
      std::min(kFirstBackoff * (1 << doublings), kLongestBackoff);
  std::uniform_int_distribution<std::int64_t> jitter(1, bound.count());
  return {WaitUntil{now + std::chrono::milliseconds(jitter(random_))}};
}

PublishActions ConfigPublisher::Conflict(const std::string& document) {
  PublishResult result;
  result.outcome = PublishOutcome::kConflict;
  result.version = head_.version;
  result.winner = head_;
  result.message = fmt::format(
      "{} came first and changed {} too; take it up (yuccapick show "
      "configuration), then publish again with --base {}",
      Describe(head_), document, head_.version.value);
  return Finish(std::move(result));
}

PublishActions ConfigPublisher::Fail(PublishOutcome outcome,
                                     std::string message) {
  PublishResult result;
  result.outcome = outcome;
  result.version = head_.version;
  if (outcome == PublishOutcome::kConflict) result.winner = head_;
  result.message = std::move(message);
  return Finish(std::move(result));
}

PublishActions ConfigPublisher::Finish(PublishResult result) {
  state_ = State::kDone;
  return {PublishFinished{std::move(result)}};
}

}  // namespace yuccapick
