#include "yuccapick/table_freshness.h"

#include <algorithm>

#include "yuccapick/rendezvous.h"

namespace yuccapick {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// From a confirmation to the check of the first gateway in the order.
constexpr milliseconds kCheckInterval{500};
/// The first gateways wait for each other's check to be told, the others only
/// spread their calls.
constexpr std::size_t kFirstRanks = 8;
constexpr milliseconds kFirstRankDelay{40};
constexpr milliseconds kMinRetryDelay{150};
/// From one gateway's check to the next one's; times their number, the shortest
/// time between the checks of one gateway. 950 calls a second for two tables.
constexpr microseconds kDelayPerGateway{2'100};
/// How long a gateway that has just read all rows waits for the confirmation of
/// one that knows the newest change.
constexpr milliseconds kInexactConfirmationDelay{1'000};
/// How long a poll may lack changes that are known from elsewhere.
constexpr milliseconds kRenewGrace{100};
/// Spreads the renewals of all gateways.
constexpr milliseconds kRenewDelayPerRank{1};
/// From one renewal to the next one, if that didn't bring the changes.
constexpr milliseconds kMinRenewInterval{500};

microseconds Times(microseconds delay, std::size_t n) {
  return delay * static_cast<int>(n);
}

microseconds RankDelay(std::size_t rank) {
  const std::size_t first = std::min(rank, kFirstRanks - 1);
  return Times(kFirstRankDelay, first) + Times(kDelayPerGateway, rank - first);
}

/// Returns `shortest`, or more if many gateways do the same.
microseconds Spaced(milliseconds shortest, std::size_t gateways) {
  return std::max<microseconds>(shortest, Times(kDelayPerGateway, gateways));
}

}  // namespace

std::string_view RenewReasonName(RenewReason reason) {
  return reason == RenewReason::kChecked ? "checked" : "confirmed";
}

TableFreshness::TableFreshness(const InstanceId& self, TimePoint now)
    : self_hash_(RendezvousNodeHash(self.value)), last_confirmed_at_(now) {}

TableFreshness::TableState& TableFreshness::StateOf(WatchedTable table) {
  return tables_[static_cast<std::size_t>(table)];
}

const TableFreshness::TableState& TableFreshness::StateOf(
    WatchedTable table) const {
  return tables_[static_cast<std::size_t>(table)];
}

void TableFreshness::SetPeers(const std::vector<InstanceId>& live) {
  if (live == live_peers_) return;
  live_peers_ = live;
  peer_hashes_.clear();
  for (const InstanceId& peer : live) {
    peer_hashes_.push_back(RendezvousNodeHash(peer.value));
  }
  UpdateRank();
}

void TableFreshness::UpdateRank() {
  const auto key =
      static_cast<std::uint64_t>(last_.as_of.time_since_epoch().count());
  const std::uint64_t own = RendezvousScore(key, self_hash_);
  const auto before = std::count_if(
      peer_hashes_.begin(), peer_hashes_.end(),
      [&](std::uint64_t peer) { return RendezvousScore(key, peer) > own; });
  rank_ = static_cast<std::size_t>(before);
}

void TableFreshness::OnPollOpened(WatchedTable table, TimePoint now) {
  TableState& state = StateOf(table);
  state.poll_open = true;
  state.renew_at.reset();
  if (!Behind(table)) return;
  state.reason = RenewReason::kConfirmed;
  state.renew_at = now + Spaced(kMinRenewInterval, gateway_count_);
}

void TableFreshness::OnPollEnded(WatchedTable table) {
  StateOf(table).poll_open = false;
  StateOf(table).renew_at.reset();
}

void TableFreshness::ScheduleRenewal(WatchedTable table, RenewReason reason,
                                     TimePoint now) {
  TableState& state = StateOf(table);
  if (!state.poll_open || state.renew_at) return;
  state.reason = reason;
  state.renew_at = now + kRenewGrace + Times(kRenewDelayPerRank, rank_);
}

void TableFreshness::OnRows(WatchedTable table, std::uint64_t as_of) {
  TableState& state = StateOf(table);
  state.as_of = std::max(state.as_of, as_of);
  Reconsider(table);
}

void TableFreshness::OnCurrent(WatchedTable table, std::uint64_t as_of,
                               TimePoint current_at) {
  TableState& state = StateOf(table);
  if (!state.confirmed_at || current_at > *state.confirmed_at) {
    state.confirmed_at = current_at;
  }
  OnRows(table, as_of);
}

void TableFreshness::Reconsider(WatchedTable table) {
  TableState& state = StateOf(table);
  if (last_ == StoreConfirmation() || Behind(table)) return;
  if (!state.confirmed_at || last_confirmed_at_ > *state.confirmed_at) {
    state.confirmed_at = last_confirmed_at_;
  }
}

bool TableFreshness::Behind(WatchedTable table) const {
  return StateOf(table).newest_confirmed > StateOf(table).as_of;
}

void TableFreshness::Adopt(const StoreConfirmation& confirmation,
                           TimePoint confirmed_at) {
  last_ = confirmation;
  last_confirmed_at_ = confirmed_at;
  retry_at_.reset();
  StateOf(WatchedTable::kOperator).newest_confirmed =
      confirmation.operator_rows;
  StateOf(WatchedTable::kUpstreams).newest_confirmed =
      confirmation.upstream_rows;
  UpdateRank();
  for (const WatchedTable table : kWatchedTables) Reconsider(table);
}

std::optional<StoreConfirmation> TableFreshness::OnCheckAnswered(
    const CheckedTable& found, TimePoint now) {
  if (found.changed) ScheduleRenewal(found.table, RenewReason::kChecked, now);
  if (!check_) return std::nullopt;
  StoreConfirmation& all = check_->found;
  const bool first = check_->open_calls == kWatchedTables.size();
  all.as_of = first ? found.as_of : std::min(all.as_of, found.as_of);
  if (found.table == WatchedTable::kOperator) {
    all.operator_rows = found.newest;
  } else {
    all.upstream_rows = found.newest;
  }
  const bool known = found.newest <= StateOf(found.table).newest_confirmed;
  check_->exact = check_->exact && (found.newest_is_exact || known);
  return EndCall(now);
}

void TableFreshness::OnCheckFailed(TimePoint now) {
  if (!check_) return;
  check_->failed = true;
  EndCall(now);
}

std::optional<StoreConfirmation> TableFreshness::EndCall(TimePoint now) {
  if (--check_->open_calls > 0) return std::nullopt;
  const Check ended = *check_;
  check_.reset();
  if (ended.failed) {
    retry_at_ = now + Spaced(kMinRetryDelay, gateway_count_);
    return std::nullopt;
  }
  // A peer may have told a newer one while the calls were under way. A clock of
  // the store that was set back must not end the checks.
  const bool newer =
      ended.found.as_of > last_.as_of || ended.began_at > last_confirmed_at_;
  if (!newer) return std::nullopt;
  if (!ended.exact && now - last_confirmed_at_ < kInexactConfirmationDelay) {
    retry_at_ = now + Spaced(kMinRetryDelay, gateway_count_);
    return std::nullopt;
  }
  Adopt(ended.found, ended.began_at);
  return ended.found;
}

bool TableFreshness::OnConfirmation(const StoreConfirmation& confirmation,
                                    TimePoint confirmed_at, TimePoint now) {
  if (confirmation.as_of <= last_.as_of) return false;
  Adopt(confirmation, confirmed_at);
  for (const WatchedTable table : kWatchedTables) {
    if (Behind(table)) ScheduleRenewal(table, RenewReason::kConfirmed, now);
  }
  return true;
}

TimePoint TableFreshness::NextCheck() const {
  if (retry_at_) return *retry_at_;
  TimePoint due = last_confirmed_at_ + kCheckInterval + RankDelay(rank_);
  if (check_requested_at_) due = std::min(due, *check_requested_at_);
  if (!last_check_began_at_) return due;
  return std::max(
      due, *last_check_began_at_ + Times(kDelayPerGateway, gateway_count_));
}

void TableFreshness::OnSuspended(milliseconds duration) {
  last_confirmed_at_ -= duration;
  for (TableState& state : tables_) {
    if (state.confirmed_at) *state.confirmed_at -= duration;
  }
}

std::vector<FreshnessAction> TableFreshness::OnTick(TimePoint now) {
  std::vector<FreshnessAction> actions;
  if (!check_ && now >= NextCheck()) {
    check_.emplace(now);
    last_check_began_at_ = now;
    retry_at_.reset();
    check_requested_at_.reset();
    actions.emplace_back(StartTableCheck());
  }
  for (const WatchedTable table : kWatchedTables) {
    TableState& state = StateOf(table);
    if (!state.renew_at || now < *state.renew_at) continue;
    state.renew_at.reset();
    actions.emplace_back(RenewPoll{table, state.reason});
  }
  return actions;
}

TimePoint TableFreshness::NextDue() const {
  TimePoint due = check_ ? TimePoint::max() : NextCheck();
  for (const TableState& state : tables_) {
    if (state.renew_at) due = std::min(due, *state.renew_at);
  }
  return due;
}

std::optional<TimePoint> TableFreshness::ConfirmedAt(WatchedTable table) const {
  return StateOf(table).confirmed_at;
}

bool TableFreshness::Confirmed(WatchedTable table, TimePoint now) const {
  const auto& confirmed_at = StateOf(table).confirmed_at;
  return confirmed_at && now - *confirmed_at < kConfirmationMaxAge;
}

}  // namespace yuccapick
