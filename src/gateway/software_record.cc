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
  return fmt::format("{} {}", seen.generation.value,
                     seen.at.time_since_epoch().count());
}

/// Parses a value that `FormatGeneration` has made.
std::optional<GenerationSeen> ParseGeneration(const std::string& value) {
  const std::vector<std::string> words = absl::StrSplit(value, ' ');
  GenerationSeen seen;
  std::int64_t at_ms = 0;
  if (words.size() != 2 ||
      !absl::SimpleAtoi(words[0], &seen.generation.value) ||
      !absl::SimpleAtoi(words[1], &at_ms)) {
    return std::nullopt;
  }
  seen.at = StoreTime(milliseconds(at_ms));
  return seen;
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
  keys_.clear();
  std::vector<SoftwareGroup> recorded;
  for (const MirrorRow& row : rows.rows) {
    const std::optional<SoftwareGroup> group = ParseKey(row.key);
    if (!group) continue;
    keys_.insert(row.key);
    recorded.push_back(*group);
  }
  loaded_ = true;
  const TimePoint now = state_.Now();
  const std::optional<StoreTime> seen_at = GenerationSeenAt(rows);
  const milliseconds left =
      seen_at ? *seen_at + kReregistrationTime - rows.store_time
              : milliseconds(0);
  // A gateway that has followed the list knows more than the copy.
  const bool complete =
      left <= milliseconds(0) || state_.stream_origins.KnowsHistory(now);
  state_.log.Write(LogKind::kStateChange, now,
                   "event=software_record_loaded versions={} generation={} "
                   "complete={} incomplete_ms={}",
                   recorded.size(), store_->generations().current().value,
                   complete, complete ? 0 : left.count());
  if (!complete) {
    for (const SoftwareGroup& it : recorded) {
      state_.stream_origins.OnListed(it, now);
    }
    return LoadAfter(left);
  }
  state_.stream_origins.OnHistory(recorded, now);
  state_.on_software_history();
}

std::optional<StoreTime> SoftwareRecord::GenerationSeenAt(
    const platform::RowsAnswer& rows) {
  const StoreGeneration current = store_->generations().current();
  if (current == StoreGeneration()) return std::nullopt;
  if (own_seen_.generation != current) own_seen_ = {current, rows.store_time};
  const auto row = std::find_if(
      rows.rows.begin(), rows.rows.end(),
      [](const MirrorRow& it) { return it.key == kGenerationKey; });
  const auto recorded =
      row == rows.rows.end() ? std::nullopt : ParseGeneration(row->value);
  if (recorded && recorded->generation == current) {
    return std::min(recorded->at, own_seen_.at);
  }
  if (IsChosenWriter(state_)) WriteGeneration(own_seen_);
  return own_seen_.at;
}

void SoftwareRecord::LoadAfter(milliseconds delay) {
  reload_timer_.StartAfter(delay, [this] { Load(); });
}

void SoftwareRecord::WriteGeneration(const GenerationSeen& seen) {
  platform::RowWrite write;
  write.table = kTable;
  write.key = kGenerationKey;
  write.value = FormatGeneration(seen);
  Call(write);
}

void SoftwareRecord::OnTick(TimePoint now) {
  if (!loaded_) return;
  const std::vector<SoftwareGroup> listed = state_.stream_origins.Listed(now);
  WriteMissing(listed);
  RemoveForgotten(listed);
}

void SoftwareRecord::WriteMissing(const std::vector<SoftwareGroup>& listed) {
  for (const SoftwareGroup& group : listed) {
    const std::string key = KeyOf(group);
    if (!keys_.insert(key).second) continue;
    if (IsChosenWriter(state_)) Write(key);
  }
}

void SoftwareRecord::RemoveForgotten(const std::vector<SoftwareGroup>& listed) {
  std::set<std::string> kept;
  for (const SoftwareGroup& group : listed) kept.insert(KeyOf(group));
  std::erase_if(keys_, [&](const std::string& key) {
    if (kept.contains(key)) return false;
    if (IsChosenWriter(state_)) Remove(key);
    return true;
  });
}

void SoftwareRecord::Write(const std::string& key) {
  platform::RowWrite write;
  write.table = kTable;
  write.key = key;
  // Every write changes the row's version, so a removal that has read an older
  // one fails.
  write.value = "listed";
  Call(write);
}

void SoftwareRecord::Remove(const std::string& key) {
  const std::string& store = state_.settings.table_endpoint;
  store_->Call(store, platform::EncodeReadRow(store, kTable, key), kCallTimeout,
               [self = shared_from_this(),
                key](const absl::StatusOr<StoreAnswer>& answer) {
                 self->OnReadToRemove(key, answer);
               });
}

void SoftwareRecord::OnReadToRemove(const std::string& key,
                                    const absl::StatusOr<StoreAnswer>& answer) {
  const auto rows = RowsOf(answer);
  if (!rows.ok()) return;
  const bool found = !rows->rows.empty() && rows->rows.front().key == key;
  // The version may have been listed again meanwhile.
  if (!found || keys_.contains(key)) return;
  platform::RowWrite write;
  write.table = kTable;
  write.key = key;
  write.expected = rows->rows.front().version;
  Call(write);
}

void SoftwareRecord::Call(const platform::RowWrite& write) {
  const std::string& store = state_.settings.table_endpoint;
  store_->Call(store, platform::EncodeWrite(store, write), kCallTimeout,
               [self = shared_from_this(),
                write](const absl::StatusOr<StoreAnswer>& answer) {
                 self->OnWritten(write, answer);
               });
}

void SoftwareRecord::OnWritten(const platform::RowWrite& write,
                               const absl::StatusOr<StoreAnswer>& answer) {
  const int status = answer.ok() ? answer->status : 0;
  state_.log.Write(LogKind::kStateChange, state_.Now(),
                   "event=software_record_changed key={} change={} status={}",
                   write.key, write.value ? "written" : "removed", status);
  // The next tick writes it again. A row that was not removed is found by the
  // next gateway that starts.
  if (write.value && status != kHttpOk) keys_.erase(write.key);
}

}  // namespace yuccapick
