#include "gateway/stored_row_times.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace yuccapick {
namespace {

/// The saved times reach back for 1.5 times the limit of old weights.
constexpr std::size_t kMaxTimes = 24;
constexpr int kTimesPerLimit = 16;

void Import(const MirrorRow& row, const platform::RowsAnswer& answer,
            GatewayState& state) {
  const std::optional<SavedRowTimes> saved = ParseRowTimes(row.value);
  const bool plausible =
      saved && saved->saved_after <= answer.store_time &&
      saved->generation <= state.store_times.rows.generation() &&
      std::all_of(saved->times.begin(), saved->times.end(),
                  [&answer](const RowVersionTime& it) {
                    return it.newest <= answer.as_of &&
                           it.answered_at <= answer.store_time;
                  });
  if (!plausible) {
    state.log.Write(LogKind::kStateChange, state.Now(),
                    "event=row_times_ignored row_version={} reason=malformed",
                    row.version);
    return;
  }
  RowVersionTimes& rows = state.store_times.rows;
  for (const RowVersionTime& time : saved->times) {
    // Times of an earlier generation are ignored.
    rows.OnAnswer({saved->generation, time.newest}, time.answered_at);
  }
  rows.OnAnswer({rows.generation(), row.version}, saved->saved_after);
}

}  // namespace

platform::RowWrite MakeRowTimesWrite(const GatewayState& state) {
  SavedRowTimes saved;
  saved.saved_after = state.StoreNow().value_or(StoreTime());
  saved.times = state.store_times.rows.Latest(
      kMaxTimes, state.settings.bounds.stale_weights_limit / kTimesPerLimit);
  saved.generation = state.store_times.rows.generation();
  platform::RowWrite write;
  write.table = kLeaseTable;
  write.key = kRowTimesKey;
  write.value = SerialiseRowTimes(saved);
  return write;
}

void ImportRowTimes(const platform::RowsAnswer& answer, GatewayState& state) {
  for (const MirrorRow& row : answer.rows) {
    if (row.key == kRowTimesKey) Import(row, answer, state);
  }
}

}  // namespace yuccapick
