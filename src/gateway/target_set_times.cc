#include "gateway/target_set_times.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "absl/strings/numbers.h"
#include "gateway/boot_clock.h"
#include "gateway/http_status.h"
#include "gateway/store_rows.h"
#include "gateway/store_writers.h"
#include "gateway/stored_row_times.h"
#include "platform/table_calls.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr char kTable[] = "yuccapick-weights";
constexpr milliseconds kCallTimeout{800};
constexpr milliseconds kRetryDelay{400};
constexpr int kMaxWriteAttempts = 8;

std::string FormatKey(const TargetSetTime& target) {
  return fmt::format("{}/{}", target.model.value, target.weights);
}

/// Parses a row with a key of the form `MODEL/WEIGHTS`.
std::optional<TargetSetTime> ParseRow(const MirrorRow& row) {
  const std::size_t slash = row.key.rfind('/');
  if (slash == std::string::npos) return std::nullopt;
  TargetSetTime target;
  target.model = ModelId(row.key.substr(0, slash));
  std::int64_t set_at_ms = 0;
  if (!absl::SimpleAtoi(row.key.substr(slash + 1), &target.weights) ||
      !absl::SimpleAtoi(row.value, &set_at_ms)) {
    return std::nullopt;
  }
  target.set_after = StoreTime(milliseconds(set_at_ms));
  return target;
}

template <typename Target>
bool IsSameVersion(const Target& a, const TargetSetTime& b) {
  return a.model == b.model && a.weights == b.weights;
}

}  // namespace

TargetSetTimes::TargetSetTimes(GatewayState& state,
                               std::shared_ptr<StoreClient> store)
    : state_(state),
      store_(store),
      loader_(std::make_shared<TableLoader>(
          state, std::move(store), kTable,
          [this](const platform::RowsAnswer& rows) { OnLoaded(rows); })) {}

void TargetSetTimes::Save(const TargetSetTime& target) {
  if (IsChosenWriter(state_)) Write({target, 0});
}

void TargetSetTimes::SaveIfMissing(const TargetSetTime& target) {
  unsaved_.push_back(target);
}

void TargetSetTimes::SaveMissing() {
  unsaved_ = state_.target_weights.SetTimes();
  if (!unsaved_.empty()) Load();
}

void TargetSetTimes::Write(PendingWrite pending) {
  const std::string& store = state_.settings.table_endpoint;
  platform::RowWrite write;
  write.table = kTable;
  write.key = FormatKey(pending.target);
  write.value =
      fmt::to_string(pending.target.set_after.time_since_epoch().count());
  // An existing time is never overwritten.
  write.expected = 0;
  ++pending.attempts;
  store_->Call(store, platform::EncodeWrite(store, write), kCallTimeout,
               [self = shared_from_this(),
                pending](const absl::StatusOr<StoreAnswer>& answer) {
                 self->OnWritten(pending, answer);
               });
}

void TargetSetTimes::OnWritten(PendingWrite pending,
                               const absl::StatusOr<StoreAnswer>& answer) {
  const int status = answer.ok() ? answer->status : 0;
  state_.log.Write(LogKind::kStateChange, state_.Now(),
                   "event=naming_time_saved key={} status={} attempts={}",
                   FormatKey(pending.target), status, pending.attempts);
  const bool stored = status == kHttpOk || status == kHttpPreconditionFailed;
  if (stored || pending.attempts >= kMaxWriteAttempts) return;
  auto timer = std::make_shared<asio::steady_timer>(state_.loop, kRetryDelay);
  timer->async_wait([self = shared_from_this(), timer,
                     pending = std::move(pending)](const asio::error_code& ec) {
    if (!ec) self->Write(pending);
  });
}

void TargetSetTimes::LoadFor(UndatedTarget target) {
  undated_.push_back(std::move(target));
  Load();
}

void TargetSetTimes::OnLoaded(const platform::RowsAnswer& rows) {
  for (const MirrorRow& row : rows.rows) {
    const std::optional<TargetSetTime> target = ParseRow(row);
    if (!target || target->set_after > rows.store_time) continue;
    state_.target_weights.OnSetAfterKnown(target->model, target->weights,
                                          target->set_after);
    const auto is_same = [&target](const auto& it) {
      return IsSameVersion(it, *target);
    };
    std::erase_if(undated_, is_same);
    std::erase_if(unsaved_, is_same);
  }
  DateByRowVersion();
  if (!undated_.empty()) ReadRowTimes();
  for (const TargetSetTime& target : std::exchange(unsaved_, {})) Save(target);
}

void TargetSetTimes::DateByRowVersion() {
  std::erase_if(undated_, [this](const UndatedTarget& target) {
    const std::optional<StoreTime> set_after =
        state_.store_times.rows.WrittenAfter(
            {target.generation, target.row_version});
    if (!set_after) return false;
    state_.target_weights.OnSetAfterKnown(target.model, target.weights,
                                          *set_after);
    state_.log.Write(LogKind::kStateChange, state_.Now(),
                     "event=weights_dated model={} weights={} row_version={} "
                     "set_after_ms={}",
                     target.model.value, target.weights, target.row_version,
                     set_after->time_since_epoch().count());
    unsaved_.push_back({target.model, target.weights, *set_after});
    return true;
  });
}

void TargetSetTimes::ReadRowTimes() {
  const std::string& store = state_.settings.table_endpoint;
  store_->Call(
      store, platform::EncodeReadRows(store, kLeaseTable, kRowTimesKey),
      kCallTimeout,
      [self = shared_from_this()](const absl::StatusOr<StoreAnswer>& answer) {
        self->OnRowTimes(answer);
      });
}

void TargetSetTimes::OnRowTimes(const absl::StatusOr<StoreAnswer>& answer) {
  const auto rows = RowsOf(answer);
  if (!rows.ok()) {
    state_.log.Write(LogKind::kStateChange, state_.Now(),
                     "event=row_times_unknown reason=\"{}\"",
                     rows.status().message().data());
    return loader_->LoadLater();
  }
  state_.store_times.OnAnswer(*rows, answer->generation, BootTimeNow());
  ImportRowTimes(*rows, state_);
  DateByRowVersion();
  for (const TargetSetTime& target : std::exchange(unsaved_, {})) Save(target);
  for (const UndatedTarget& target : std::exchange(undated_, {})) {
    state_.log.Write(LogKind::kStateChange, state_.Now(),
                     "event=weights_undated model={} weights={} row_version={}",
                     target.model.value, target.weights, target.row_version);
  }
}

}  // namespace yuccapick
