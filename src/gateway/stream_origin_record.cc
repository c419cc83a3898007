#include "gateway/stream_origin_record.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "gateway/http_status.h"
#include "gateway/peer_codec.h"
#include "gateway/store_rows.h"
#include "yuccapick/rendezvous.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSaveInterval{250};
constexpr milliseconds kRemovalInterval{15'000};
constexpr milliseconds kCallTimeout{800};
/// With up to 9 bytes each, within the size of a row.
constexpr std::size_t kStreamsPerRow = 1'024;
/// Within the size of a call.
constexpr std::size_t kStreamsPerCall = 64 * kStreamsPerRow;
/// Rows that one call may change.
constexpr std::size_t kRowsPerCall = 100;

/// Keys of rows sort by the time at which they were written.
std::string KeyPrefix(StoreTime time) {
  return fmt::format("{:015}", time.time_since_epoch().count());
}

}  // namespace

StreamOriginRecord::StreamOriginRecord(GatewayState& state,
                                       std::shared_ptr<StoreClient> store)
    : state_(state),
      store_(std::move(store)),
      next_removal_(state.Now() + kRemovalInterval) {}

bool StreamOriginRecord::IsSaver() const {
  static const std::uint64_t kKey = RendezvousNodeHash(kStreamOriginTable);
  const auto score = [](const InstanceId& instance) {
    return RendezvousScore(kKey, RendezvousNodeHash(instance.value));
  };
  const std::uint64_t own = score(state_.settings.instance);
  return std::all_of(
      state_.live_peers.begin(), state_.live_peers.end(),
      [&](const InstanceId& peer) { return score(peer) <= own; });
}

void StreamOriginRecord::OnBegan(
    const std::vector<StreamOriginReport>& origins) {
  last_added_at_ = state_.Now();
  may_have_rows_ = true;
  queue_.Add(origins, last_added_at_);
}

void StreamOriginRecord::OnStoreGeneration(TimePoint now) {
  queue_.SaveAgain();
  // Keys of the earlier generation may have times of another clock.
  next_removal_ = now + state_.stream_origins.lifetime();
}

void StreamOriginRecord::OnTick(TimePoint now) {
  if (queue_.size() == 0 && now < next_removal_) return;
  const bool saver = IsSaver();
  queue_.SetLifetime(state_.stream_origins.lifetime());
  queue_.Expire(saver, now);
  if (saver && queue_.HasUnsaved() && now >= next_save_) Save();
  if (now < next_removal_) return;
  next_removal_ = now + kRemovalInterval;
  if (saver && may_have_rows_) FindExpired();
}

void StreamOriginRecord::Save() {
  if (!state_.StoreNow()) return;
  next_save_ = state_.Now() + kSaveInterval;
  const std::vector<StreamOriginReport> origins = queue_.Take(kStreamsPerCall);
  std::size_t streams = 0;
  for (const StreamOriginReport& it : origins) streams += it.streams.size();
  const std::string& store = state_.settings.table_endpoint;
  store_->Call(store, platform::EncodeWrites(store, MakeRows(origins)),
               kCallTimeout,
               [self = shared_from_this(),
                streams](const absl::StatusOr<StoreAnswer>& answer) {
                 self->OnSaved(streams, answer);
               });
}

std::vector<platform::RowWrite> StreamOriginRecord::MakeRows(
    const std::vector<StreamOriginReport>& origins) {
  std::vector<platform::RowWrite> rows;
  for (const StreamOriginReport& report : origins) {
    for (std::size_t n = 0; n < report.streams.size(); n += kStreamsPerRow) {
      const auto begin = report.streams.begin() + static_cast<long>(n);
      const std::size_t count =
          std::min(kStreamsPerRow, report.streams.size() - n);
      platform::RowWrite row;
      row.table = kStreamOriginTable;
      row.key = fmt::format("{}-{:016x}-{}", KeyPrefix(*state_.StoreNow()),
                            RendezvousNodeHash(state_.settings.instance.value),
                            ++rows_written_);
      row.value = EncodeStreamOrigins(
          {{report.group, {begin, begin + static_cast<long>(count)}}});
      rows.push_back(std::move(row));
    }
  }
  return rows;
}

void StreamOriginRecord::OnSaved(std::size_t streams,
                                 const absl::StatusOr<StoreAnswer>& answer) {
  const int status = answer.ok() ? answer->status : 0;
  if (status == kHttpOk) {
    queue_.OnSaved();
    saved_ += streams;
  } else {
    queue_.OnNotSaved();
  }
  state_.log.Write(LogKind::kStateChange, state_.Now(),
                   "event=stream_origins_saved streams={} status={} queued={}",
                   streams, status, queue_.size());
}

void StreamOriginRecord::FindExpired() {
  const std::optional<StoreTime> now = state_.StoreNow();
  if (!now) return;
  const std::string end = KeyPrefix(*now - state_.stream_origins.lifetime());
  const std::string& store = state_.settings.table_endpoint;
  store_->Call(
      store, platform::EncodeReadRowsBefore(store, kStreamOriginTable, end),
      kCallTimeout,
      [self = shared_from_this()](const absl::StatusOr<StoreAnswer>& answer) {
        self->OnExpiredFound(answer);
      });
}

void StreamOriginRecord::OnExpiredFound(
    const absl::StatusOr<StoreAnswer>& answer) {
  const auto found = RowsOf(answer);
  if (!found.ok()) return;
  const TimePoint now = state_.Now();
  if (found->rows.empty()) {
    // What was added later isn't old enough to be found.
    may_have_rows_ =
        now - last_added_at_ < state_.stream_origins.lifetime() * 2;
    return;
  }
  std::vector<platform::RowWrite> removals;
  for (const MirrorRow& row : found->rows) {
    if (removals.size() == kRowsPerCall) break;
    platform::RowWrite removal;
    removal.table = kStreamOriginTable;
    removal.key = row.key;
    removals.push_back(std::move(removal));
  }
  if (found->has_more || removals.size() < found->rows.size()) {
    next_removal_ = now + kSaveInterval;
  }
  state_.log.Write(LogKind::kStateChange, now,
                   "event=stream_origins_removed rows={} has_more={}",
                   removals.size(), found->has_more);
  const std::string& store = state_.settings.table_endpoint;
  // Rows that are not removed are found again.
  store_->Call(store, platform::EncodeWrites(store, removals), kCallTimeout,
               [](const absl::StatusOr<StoreAnswer>& /*answer*/) {});
}

}  // namespace yuccapick
