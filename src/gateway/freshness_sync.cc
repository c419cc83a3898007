#include "gateway/freshness_sync.h"

#include <algorithm>
#include <utility>

#include "platform/names.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// Copies that lack a change for a shorter time are not logged.
constexpr milliseconds kLoggedLag{500};

WatchedTable WatchedTableOf(const std::string& table) {
  return table == platform::kOperator ? WatchedTable::kOperator
                                      : WatchedTable::kUpstreams;
}

std::string_view NameOf(WatchedTable table) {
  return table == WatchedTable::kOperator ? platform::kOperator
                                          : platform::kServers;
}

milliseconds Milliseconds(TimePoint::duration time) {
  return std::chrono::duration_cast<milliseconds>(time);
}

}  // namespace

FreshnessSync::FreshnessSync(GatewayState& state, PeerExchange& exchange,
                             const PeerRegistry& peers,
                             TableWatch& operator_watch,
                             TableWatch& upstream_watch,
                             std::function<void()> on_confirmed)
    : state_(state),
      exchange_(exchange),
      peers_(peers),
      operator_watch_(operator_watch),
      upstream_watch_(upstream_watch),
      on_confirmed_(std::move(on_confirmed)),
      freshness_(state.settings.instance, state.Now()),
      timer_(state.loop) {}

TableWatch& FreshnessSync::WatchOf(WatchedTable table) {
  return table == WatchedTable::kOperator ? operator_watch_ : upstream_watch_;
}

void FreshnessSync::OnTick(TimePoint now) {
  freshness_.SetPeers(state_.live_peers);
  freshness_.SetGatewayCount(state_.gateway_count);
  operator_watch_.SetGatewayCount(state_.gateway_count);
  upstream_watch_.SetGatewayCount(state_.gateway_count);
  operator_watch_.DropRedundantCheck();
  upstream_watch_.DropRedundantCheck();
  LogBelief(now);
  for (const WatchedTable table : kWatchedTables) TrackBehind(table, now);
  Act(now);
}

void FreshnessSync::Act(TimePoint now) {
  // The first read brings all rows, so there is nothing to check before.
  const bool read = operator_watch_.mirror().as_of() > 0 &&
                    upstream_watch_.mirror().as_of() > 0;
  if (!read) return;
  for (const FreshnessAction& action : freshness_.OnTick(now)) {
    Perform(action, now);
  }
  Schedule();
}

void FreshnessSync::Perform(const FreshnessAction& action, TimePoint now) {
  if (const auto* renewal = std::get_if<RenewPoll>(&action)) {
    return Renew(*renewal, now);
  }
  ++counters_.checks;
  operator_watch_.Check();
  upstream_watch_.Check();
}

void FreshnessSync::Renew(const RenewPoll& renewal, TimePoint now) {
  TableWatch& watch = WatchOf(renewal.table);
  const TimePoint opened_at = watch.poll_opened_at();
  if (!watch.Renew()) return;
  ++counters_.renewed_polls;
  state_.log.Write(LogKind::kStateChange, now,
                   "event=watch_renewed table={} open_ms={} reason={}",
                   NameOf(renewal.table), Milliseconds(now - opened_at).count(),
                   RenewReasonName(renewal.reason));
}

void FreshnessSync::Schedule() {
  timer_.StartAt(freshness_.NextDue(), [this] { Act(state_.Now()); });
}

void FreshnessSync::RequestCheck() {
  const TimePoint now = state_.Now();
  freshness_.RequestCheck(now);
  Act(now);
}

void FreshnessSync::OnPollOpened(const std::string& table) {
  freshness_.OnPollOpened(WatchedTableOf(table), state_.Now());
  Schedule();
}

void FreshnessSync::OnPollEnded(const std::string& table) {
  freshness_.OnPollEnded(WatchedTableOf(table));
}

void FreshnessSync::OnTableCurrent(const std::string& table,
                                   const TableAnswer& answer) {
  const WatchedTable watched = WatchedTableOf(table);
  const TimePoint at = state_.LocalTime(answer.store_time, state_.Now())
                           .value_or(answer.sent_at);
  freshness_.OnCurrent(watched, WatchOf(watched).mirror().as_of(),
                       std::max(at, answer.sent_at));
}

void FreshnessSync::OnTableChecked(const std::string& table,
                                   const std::optional<TableAnswer>& answer) {
  const TimePoint now = state_.Now();
  const WatchedTable watched = WatchedTableOf(table);
  if (!answer) {
    ++counters_.failed_checks;
    freshness_.OnCheckFailed(now);
    return Schedule();
  }
  const TableMirror& mirror = WatchOf(watched).mirror();
  auto confirmation = freshness_.OnCheckAnswered(
      {watched, answer->store_time, mirror.unchanged_since(),
       mirror.knows_newest_change(), answer->changed},
      now);
  if (confirmation && InOneGeneration()) {
    confirmation->generation = mirror.generation();
    exchange_.Send(*confirmation, peers_.Targets(now));
  }
  Schedule();
}

void FreshnessSync::OnPeerRows() {
  for (const WatchedTable table : kWatchedTables) {
    freshness_.OnRows(table, WatchOf(table).mirror().as_of());
  }
}

bool FreshnessSync::InOneGeneration() const {
  return operator_watch_.mirror().generation() ==
         upstream_watch_.mirror().generation();
}

void FreshnessSync::Restart() {
  freshness_ = TableFreshness(state_.settings.instance, state_.Now());
}

void FreshnessSync::OnConfirmation(const StoreConfirmation& confirmation) {
  const TimePoint now = state_.Now();
  // Versions of different generations can't be compared.
  const StoreGeneration own = operator_watch_.mirror().generation();
  if (!InOneGeneration() || confirmation.generation != own) return;
  // Whether or not the own copies are current, the store answers gateways.
  const bool own_calls_work = state_.OnPeerAnswer(confirmation.as_of);
  const std::optional<TimePoint> at = state_.LocalTime(confirmation.as_of, now);
  if (!at) return;
  if (!freshness_.OnConfirmation(confirmation, *at, now)) return;
  bool all_current = true;
  for (const WatchedTable table : kWatchedTables) {
    TableWatch& watch = WatchOf(table);
    watch.OnStoreAnswers();
    watch.OnNewestChangeKnown(table == WatchedTable::kOperator
                                  ? confirmation.operator_rows
                                  : confirmation.upstream_rows,
                              *at);
    const bool current =
        !freshness_.Behind(table) && freshness_.Confirmed(table, now);
    if (current) watch.OnConfirmed();
    all_current = all_current && current;
  }
  if (all_current && own_calls_work) on_confirmed_();
  Schedule();
}

milliseconds FreshnessSync::Age(TimePoint now) const {
  milliseconds oldest{0};
  for (const WatchedTable table : kWatchedTables) {
    const auto at = freshness_.ConfirmedAt(table);
    if (at) oldest = std::max(oldest, Milliseconds(now - *at));
  }
  return oldest;
}

void FreshnessSync::TrackBehind(WatchedTable table, TimePoint now) {
  Lag& lag = lags_[static_cast<std::size_t>(table)];
  if (!freshness_.Behind(table)) {
    if (lag.logged) LogLag("table_caught_up", table, now);
    lag = Lag();
    return;
  }
  if (!lag.since) lag.since = now;
  if (lag.logged || now - *lag.since < kLoggedLag) return;
  lag.logged = true;
  LogLag("table_behind", table, now);
}

void FreshnessSync::LogLag(std::string_view event, WatchedTable table,
                           TimePoint now) {
  const TableWatch& watch = WatchOf(table);
  const CallProgress* answer = watch.ArrivingAnswer();
  const std::size_t bytes = answer == nullptr ? 0 : answer->body_bytes;
  const TimePoint arriving_since =
      answer == nullptr ? now : *answer->first_byte_at;
  state_.log.Write(LogKind::kStateChange, now,
                   "event={} table={} behind_ms={} as_of={} arriving_bytes={} "
                   "arriving_ms={}",
                   event, NameOf(table),
                   Milliseconds(now - *BehindSince(table)).count(),
                   watch.mirror().as_of(), bytes,
                   Milliseconds(now - arriving_since).count());
}

void FreshnessSync::LogBelief(TimePoint now) {
  for (const WatchedTable table : kWatchedTables) {
    bool& believed = believed_confirmed_[static_cast<std::size_t>(table)];
    const auto at = freshness_.ConfirmedAt(table);
    const bool confirmed = freshness_.Confirmed(table, now);
    if (!at || confirmed == believed) continue;
    believed = confirmed;
    const TableMirror& mirror = WatchOf(table).mirror();
    state_.log.Write(LogKind::kStateChange, now,
                     "event={} table={} age_ms={} as_of={} newest_change={}",
                     confirmed ? "tables_confirmed" : "tables_unconfirmed",
                     NameOf(table), Milliseconds(now - *at).count(),
                     mirror.as_of(), mirror.newest_change());
  }
}

}  // namespace yuccapick
