#include "gateway/software_record.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "gateway/http_status.h"
#include "gateway/store_rows.h"
#include "gateway/store_writers.h"
#include "yuccapick/store_catch_up.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr char kTable[] = "yuccapick-software";
constexpr milliseconds kCallTimeout{800};
/// Key of the row about the store's generation.
constexpr char kGenerationKey[] = "generation";
/// Upstreams have registered again by then, and the others have read it, after
/// the store came back from an older copy.
constexpr milliseconds kReregistrationTime{2'500};
/// Time between reads while a listed version's row has no time. The interval
/// doubles, since the store may refuse writes for long.
constexpr milliseconds kMinUntimedLoadInterval{500};
constexpr milliseconds kMaxUntimedLoadInterval{8'000};

std::string KeyOf(const SoftwareGroup& group) {
  return fmt::format("{}/{}", group.service.value, group.software.value);
}

/// Parses a key of the form `SERVICE/SOFTWARE`.
std::optional<SoftwareGroup> ParseKey(const std::string& key) {
  const std::size_t slash = key.find('/');
  if (slash == std::string::npos) return std::nullopt;
  return SoftwareGroup{ServiceId(key.substr(0, slash)),
                       SoftwareVersion(key.substr(slash + 1))};
}

std::string FormatGeneration(const GenerationSeen& seen) {
  return fmt::format("{} {} {}", seen.generation.value,
                     seen.at.time_since_epoch().count(),
                     seen.oldest_return.value);
}

/// Parses a value that `FormatGeneration` has made.
std::optional<GenerationSeen> ParseGeneration(const std::string& value) {
  const std::vector<std::string> words = absl::StrSplit(value, ' ');
  GenerationSeen seen;
  std::int64_t at_ms = 0;
  if (words.size() < 2 || !absl::SimpleAtoi(words[0], &seen.generation.value) ||
      !absl::SimpleAtoi(words[1], &at_ms)) {
    return std::nullopt;
  }
  // Earlier releases wrote two words.
  if (words.size() > 2 &&
      !absl::SimpleAtoi(words[2], &seen.oldest_return.value)) {
    return std::nullopt;
  }
  seen.at = StoreTime(milliseconds(at_ms));
  return seen;
}

const char* ChangeName(SoftwareRecordChange change) {
  switch (change) {
    case SoftwareRecordChange::kListed:
      return "listed";
    case SoftwareRecordChange::kTimed:
      return "timed";
    case SoftwareRecordChange::kRenewed:
      return "renewed";
    case SoftwareRecordChange::kRemoved:
      return "removed";
    case SoftwareRecordChange::kGenerationSeen:
      return "generation_seen";
  }
  return "unknown";
}

/// Value of a row that has no time yet.
constexpr char kListed[] = "listed";

/// When a version's row was in the store.
struct RowTime {
  StoreTime since;
  StoreGeneration generation;
};

std::string FormatRowTime(const RowTime& time) {
  return fmt::format("{} {} {}", kListed, time.since.time_since_epoch().count(),
                     time.generation.value);
}

/// Parses a value that `FormatRowTime` has made.
std::optional<RowTime> ParseRowTime(const std::string& value) {
  const std::vector<std::string> words = absl::StrSplit(value, ' ');
  RowTime time;
  std::int64_t since_ms = 0;
  if (words.size() != 3 || words[0] != kListed ||
      !absl::SimpleAtoi(words[1], &since_ms) ||
      !absl::SimpleAtoi(words[2], &time.generation.value)) {
    return std::nullopt;
  }
  time.since = StoreTime(milliseconds(since_ms));
  return time;
}

}  // namespace

SoftwareRecord::SoftwareRecord(GatewayState& state,
                               std::shared_ptr<StoreClient> store)
    : state_(state),
      store_(store),
      loader_(std::make_shared<TableLoader>(
          state, std::move(store), kTable,
          [this](const platform::RowsAnswer& rows) { OnLoaded(rows); })),
      reload_timer_(state.loop) {}

void SoftwareRecord::OnLoaded(const platform::RowsAnswer& rows) {
  const TimePoint now = state_.Now();
  const std::optional<GenerationSeen> seen = SeenGeneration(rows);
  const std::vector<SoftwareGroup> recorded = TakeVersions(rows, seen);
  loaded_ = true;
  const milliseconds left =
      seen ? seen->at + kReregistrationTime - rows.store_time : milliseconds(0);
  // A gateway that has followed the list knows more than the copy.
  const bool complete =
      left <= milliseconds(0) || state_.stream_origins.KnowsHistory(now);
  state_.log.Write(LogKind::kStateChange, now,
                   "event=software_record_loaded versions={} generation={} "
                   "oldest_return={} complete={} incomplete_ms={}",
                   recorded.size(), store_->generations().current().value,
                   seen ? seen->oldest_return.value : 0, complete,
                   complete ? 0 : left.count());
  WriteTimes(rows);
  if (!complete) {
    for (const SoftwareGroup& it : recorded) {
      state_.stream_origins.OnListed(it, now);
    }
    return LoadAfter(left);
  }
  state_.stream_origins.OnHistory(recorded, now);
  state_.on_software_history();
}

std::vector<SoftwareGroup> SoftwareRecord::TakeVersions(
    const platform::RowsAnswer& rows,
    const std::optional<GenerationSeen>& seen) {
  keys_.clear();
  const StoreGeneration oldest_return =
      seen ? seen->oldest_return : StoreGeneration();
  std::optional<StoreTime> history_lost_until;
  if (oldest_return != StoreGeneration()) {
    history_lost_until = seen->at + state_.stream_origins.lifetime();
  }
  std::vector<SoftwareGroup> groups;
  std::vector<RecordedVersion> versions;
  for (const MirrorRow& row : rows.rows) {
    const std::optional<SoftwareGroup> group = ParseKey(row.key);
    if (!group) continue;
    keys_.insert(row.key);
    groups.push_back(*group);
    RecordedVersion version{*group, std::nullopt, false};
    if (const auto time = ParseRowTime(row.value)) {
      // The store's clock may have begun anew.
      version.since = std::min(time->since, rows.store_time);
      version.survived_returns = time->generation < oldest_return;
    }
    versions.push_back(std::move(version));
  }
  state_.version_record.OnRead(versions, history_lost_until);
  return groups;
}

void SoftwareRecord::WriteTimes(const platform::RowsAnswer& rows) {
  const RowTime time{rows.store_time, store_->generations().current()};
  for (const MirrorRow& row : rows.rows) {
    if (!ParseKey(row.key) || ParseRowTime(row.value)) continue;
    if (!IsChosenWriter(state_)) continue;
    platform::RowWrite write;
    write.table = kTable;
    write.key = row.key;
    write.value = FormatRowTime(time);
    write.expected = row.version;
    Call(write, Change::kTimed);
  }
}

std::optional<GenerationSeen> SoftwareRecord::SeenGeneration(
    const platform::RowsAnswer& rows) {
  const StoreGeneration current = store_->generations().current();
  if (current == StoreGeneration()) return std::nullopt;
  const auto row = std::find_if(
      rows.rows.begin(), rows.rows.end(),
      [](const MirrorRow& it) { return it.key == kGenerationKey; });
  const auto recorded =
      row == rows.rows.end() ? std::nullopt : ParseGeneration(row->value);
  if (recorded && recorded->generation == current) {
    GenerationSeen seen = *recorded;
    if (own_seen_.generation == current) {
      seen.at = std::min(seen.at, own_seen_.at);
    }
    return seen;
  }
  if (own_seen_.generation != current) {
    own_seen_ = FirstSeen(recorded, rows.store_time);
  }
  if (IsChosenWriter(state_)) WriteGeneration(own_seen_);
  return own_seen_;
}

GenerationSeen SoftwareRecord::FirstSeen(
    const std::optional<GenerationSeen>& recorded, StoreTime at) const {
  GenerationSeen seen{store_->generations().current(), at, StoreGeneration()};
  if (!recorded) return seen;
  // The copy may also lack rows about generations in between.
  seen.oldest_return = StoreGeneration(recorded->generation.value + 1);
  const bool recent = at - recorded->at < state_.stream_origins.lifetime();
  if (recent && recorded->oldest_return != StoreGeneration()) {
    seen.oldest_return = recorded->oldest_return;
  }
  return seen;
}

void SoftwareRecord::LoadAfter(milliseconds delay) {
  reload_timer_.StartAfter(delay, [this] { Load(); });
}

void SoftwareRecord::WriteGeneration(const GenerationSeen& seen) {
  platform::RowWrite write;
  write.table = kTable;
  write.key = kGenerationKey;
  write.value = FormatGeneration(seen);
  Call(write, Change::kGenerationSeen);
}

void SoftwareRecord::OnTick(TimePoint now) {
  if (!loaded_) return;
  const std::vector<SoftwareGroup> listed = state_.stream_origins.Listed(now);
  WriteMissing(listed);
  RemoveForgotten(listed);
  LoadUntimed(listed, now);
}

void SoftwareRecord::LoadUntimed(const std::vector<SoftwareGroup>& listed,
                                 TimePoint now) {
  const bool untimed = std::any_of(listed.begin(), listed.end(),
                                   [this](const SoftwareGroup& it) {
                                     return !state_.version_record.IsTimed(it);
                                   });
  if (!untimed) {
    untimed_load_interval_ = milliseconds(0);
    return;
  }
  if (now < next_untimed_load_) return;
  const milliseconds spread = StoreReadSpread(state_.LiveGateways());
  untimed_load_interval_ =
      std::clamp(untimed_load_interval_ * 2, kMinUntimedLoadInterval,
                 kMaxUntimedLoadInterval);
  next_untimed_load_ = now + untimed_load_interval_;
  LoadAfter(state_.RandomDelay(spread));
}

void SoftwareRecord::WriteMissing(const std::vector<SoftwareGroup>& listed) {
  for (const SoftwareGroup& group : listed) {
    const std::string key = KeyOf(group);
    if (!keys_.insert(key).second) continue;
    const bool again = forgotten_.erase(key) > 0;
    if (!IsChosenWriter(state_)) continue;
    again ? Renew(key) : Write(key);
  }
}

void SoftwareRecord::RemoveForgotten(const std::vector<SoftwareGroup>& listed) {
  std::set<std::string> kept;
  for (const SoftwareGroup& group : listed) kept.insert(KeyOf(group));
  std::erase_if(keys_, [&](const std::string& key) {
    if (kept.contains(key)) return false;
    forgotten_.insert(key);
    if (IsChosenWriter(state_)) Remove(key);
    return true;
  });
}

void SoftwareRecord::Write(const std::string& key) {
  platform::RowWrite write;
  write.table = kTable;
  write.key = key;
  write.value = kListed;
  // A row that another gateway wrote keeps its time.
  write.expected = 0;
  Call(write, Change::kListed);
}

void SoftwareRecord::ReadRow(
    const std::string& key,
    void (SoftwareRecord::*on_read)(const std::string& key,
                                    const MirrorRow* row)) {
  const std::string& store = state_.settings.table_endpoint;
  store_->Call(store, platform::EncodeReadRow(store, kTable, key), kCallTimeout,
               [self = shared_from_this(), key,
                on_read](const absl::StatusOr<StoreAnswer>& answer) {
                 const auto rows = RowsOf(answer);
                 if (!rows.ok()) return self->OnRowUnread(key);
                 const bool found =
                     !rows->rows.empty() && rows->rows.front().key == key;
                 (*self.*on_read)(key, found ? &rows->rows.front() : nullptr);
               });
}

void SoftwareRecord::OnRowUnread(const std::string& key) {
  // The next tick tries again if the version is listed.
  if (keys_.erase(key) > 0) forgotten_.insert(key);
}

void SoftwareRecord::Renew(const std::string& key) {
  ReadRow(key, &SoftwareRecord::OnReadToRenew);
}

void SoftwareRecord::OnReadToRenew(const std::string& key,
                                   const MirrorRow* row) {
  if (row == nullptr) return Write(key);
  platform::RowWrite write;
  write.table = kTable;
  write.key = key;
  write.value = row->value;
  write.expected = row->version;
  Call(write, Change::kRenewed);
}

void SoftwareRecord::Remove(const std::string& key) {
  ReadRow(key, &SoftwareRecord::OnReadToRemove);
}

void SoftwareRecord::OnReadToRemove(const std::string& key,
                                    const MirrorRow* row) {
  // The version may have been listed again meanwhile.
  if (row == nullptr || keys_.contains(key)) return;
  platform::RowWrite write;
  write.table = kTable;
  write.key = key;
  write.expected = row->version;
  Call(write, Change::kRemoved);
}

void SoftwareRecord::Call(const platform::RowWrite& write, Change change) {
  const std::string& store = state_.settings.table_endpoint;
  store_->Call(store, platform::EncodeWrite(store, write), kCallTimeout,
               [self = shared_from_this(), key = write.key,
                change](const absl::StatusOr<StoreAnswer>& answer) {
                 self->OnWritten(key, change, answer);
               });
}

void SoftwareRecord::OnWritten(const std::string& key, Change change,
                               const absl::StatusOr<StoreAnswer>& answer) {
  const int status = answer.ok() ? answer->status : 0;
  state_.log.Write(LogKind::kStateChange, state_.Now(),
                   "event=software_record_changed key={} change={} status={}",
                   key, ChangeName(change), status);
  // The next tick writes a row that isn't there. A row that was not removed is
  // found by the next gateway that starts.
  const bool exists = status == kHttpOk || status == kHttpPreconditionFailed;
  if (change == Change::kListed && !exists) keys_.erase(key);
  // What was written is read, so that a row gets its time soon.
  const bool of_version = change == Change::kListed || change == Change::kTimed;
  if (of_version && exists) Load();
  if (change == Change::kRenewed && status != kHttpOk) OnRowUnread(key);
}

}  // namespace yuccapick
