#include "gateway/software_record.h"

#include <fmt/format.h>

#include <chrono>
#include <optional>

#include "gateway/http_status.h"
#include "gateway/store_rows.h"
#include "gateway/store_writers.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr char kTable[] = "yuccapick-software";
constexpr milliseconds kCallTimeout{800};

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

}  // namespace

SoftwareRecord::SoftwareRecord(GatewayState& state,
                               std::shared_ptr<StoreClient> store)
    : state_(state),
      store_(store),
      loader_(std::make_shared<TableLoader>(
          state, std::move(store), kTable,
          [this](const platform::RowsAnswer& rows) { OnLoaded(rows); })) {}

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
  state_.stream_origins.OnHistory(recorded, state_.Now());
  state_.on_software_history();
  state_.log.Write(LogKind::kStateChange, state_.Now(),
                   "event=software_record_loaded versions={}", recorded.size());
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
