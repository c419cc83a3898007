#include "gateway/stream_origin_lookup.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "gateway/peer_codec.h"
#include "gateway/stream_origin_record.h"
#include "yuccapick/store_catch_up.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinReadInterval{1'000};
/// Streams that no read finds, as a caller may invent them, cost few reads.
constexpr milliseconds kMaxReadInterval{8'000};

}  // namespace

StreamOriginLookup::StreamOriginLookup(GatewayState& state,
                                       std::shared_ptr<StoreClient> store)
    : state_(state),
      loader_(std::make_shared<TableLoader>(
          state, std::move(store), kStreamOriginTable,
          [this](const platform::RowsAnswer& rows) { OnLoaded(rows); })),
      timer_(state.loop) {}

void StreamOriginLookup::Find(StreamId stream, milliseconds limit,
                              std::function<void()> done) {
  const TimePoint now = state_.Now();
  unknown_.OnAsked(stream, now);
  if (!reading_ && now >= next_read_) StartRead(now);
  if (!reading_) return done();
  waiters_.push_back({stream, now + limit, std::move(done)});
  ArmTimer();
}

void StreamOriginLookup::StartRead(TimePoint now) {
  reading_ = true;
  read_started_at_ = now;
  loader_->Load();
}

milliseconds StreamOriginLookup::MinReadInterval() const {
  return std::max(kMinReadInterval, StoreReadSpread(state_.LiveGateways()));
}

bool StreamOriginLookup::FoundAny() const {
  return std::any_of(waiters_.begin(), waiters_.end(),
                     [this](const Waiter& it) {
                       return state_.stream_origins.Find(it.stream).has_value();
                     });
}

void StreamOriginLookup::OnLoaded(const platform::RowsAnswer& rows) {
  const TimePoint now = state_.Now();
  std::size_t streams = 0;
  std::size_t unreadable = 0;
  for (const MirrorRow& row : rows.rows) {
    const auto origins = DecodeStreamOrigins(row.value);
    if (!origins) {
      ++unreadable;
      continue;
    }
    for (const StreamOriginReport& it : *origins) {
      state_.stream_origins.OnSaved(it, now);
      streams += it.streams.size();
    }
  }
  state_.log.Write(
      LogKind::kStateChange, now,
      "event=stream_origins_read rows={} streams={} unreadable={} "
      "waiting={} read_ms={}",
      rows.rows.size(), streams, unreadable, waiters_.size(),
      std::chrono::duration_cast<milliseconds>(now - read_started_at_).count());
  reading_ = false;
  last_read_sent_at_ = read_started_at_;
  const milliseconds longest = std::max(kMaxReadInterval, MinReadInterval());
  read_interval_ =
      FoundAny() ? MinReadInterval()
                 : std::clamp(read_interval_ * 2, MinReadInterval(), longest);
  next_read_ = read_started_at_ + read_interval_;
  Resolve(/*read_done=*/true);
}

void StreamOriginLookup::Resolve(bool read_done) {
  const TimePoint now = state_.Now();
  const auto ended = std::stable_partition(
      waiters_.begin(), waiters_.end(),
      [&](const Waiter& it) { return !read_done && now < it.until; });
  const std::vector<Waiter> resolved(std::make_move_iterator(ended),
                                     std::make_move_iterator(waiters_.end()));
  waiters_.erase(ended, waiters_.end());
  ArmTimer();
  for (const Waiter& it : resolved) it.done();
}

void StreamOriginLookup::ArmTimer() {
  if (waiters_.empty()) return timer_.Cancel();
  const auto first = std::min_element(
      waiters_.begin(), waiters_.end(),
      [](const Waiter& a, const Waiter& b) { return a.until < b.until; });
  timer_.StartAt(first->until, [this] { Resolve(/*read_done=*/false); });
}

void StreamOriginLookup::Stop() {
  waiters_.clear();
  timer_.Cancel();
}

bool StreamOriginLookup::IsLost(StreamId stream) const {
  return last_read_sent_at_ && unknown_.IsLost(stream, *last_read_sent_at_);
}

}  // namespace yuccapick
