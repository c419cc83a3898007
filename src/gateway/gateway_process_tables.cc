#include <utility>

#include "gateway/boot_clock.h"
#include "gateway/gateway_process.h"
#include "platform/names.h"
#include "platform/operator_rows.h"

namespace yuccapick {
namespace {

/// A single call without an answer is no outage.
constexpr std::chrono::milliseconds kStoreLostAfter{400};
/// A target that is known to be set within this time needs no correction by the
/// time that other gateways saved.
constexpr std::chrono::milliseconds kExactSetTime{1'000};

/// An upstream that joined and left again while the list wasn't followed for
/// this long may have been missed. Shorter than any upstream is listed.
constexpr std::chrono::milliseconds kMaxListGap{1'500};

std::int64_t Count(StoreTime time) { return time.time_since_epoch().count(); }

/// Returns -1 for none, for log lines.
std::int64_t CountOrNone(std::optional<std::chrono::milliseconds> time) {
  return time ? time->count() : -1;
}

}  // namespace

void GatewayProcess::OnTableRows(const std::string& table,
                                 const std::vector<MirrorRow>& changes) {
  if (table == platform::kOperator) {
    for (const MirrorRow& row : changes) ApplyOperatorRow(row);
    return;
  }
  ApplyUpstreamRows(changes, UpstreamRowSource::kList);
}

void GatewayProcess::ApplyUpstreamRows(const std::vector<MirrorRow>& changes,
                                       UpstreamRowSource source) {
  RecordListCurrent();
  if (source == UpstreamRowSource::kCopy) {
    state_.roster.OnListRestored(state_.Now());
  }
  for (const MirrorRow& row : changes) ApplyUpstreamRow(row, source);
  RemoveUnconfirmed(state_.Now());
}

void GatewayProcess::RecordListCurrent() {
  const auto at = freshness_sync_->ConfirmedAt(WatchedTable::kUpstreams);
  if (at) state_.roster.OnListCurrent(*at);
}

void GatewayProcess::RemoveUnconfirmed(TimePoint now) {
  for (const RosterChange& change : state_.roster.OnTick(now)) {
    ApplyRosterChange(change);
  }
}

void GatewayProcess::OnTableRestored(const std::string& table,
                                     const std::vector<MirrorRow>& changes) {
  ++tables_restored_;
  RecordListCurrent();
  freshness_sync_->Restart();
  state_.log.Write(LogKind::kStateChange, state_.Now(),
                   "event=table_restored table={} generation={} differing={}",
                   table, store_->generations().current().value,
                   changes.size());
  if (table == platform::kOperator) {
    OnTableRows(table, changes);
  } else {
    ApplyUpstreamRows(changes, UpstreamRowSource::kCopy);
  }
}

void GatewayProcess::OnTableUnavailable(const std::string& table,
                                        TimePoint sent_at,
                                        std::string_view reason) {
  const TimePoint now = state_.Now();
  state_.roster.OnListUnavailable(now, sent_at);
  state_.store_contact.OnFailure(BootTimeNow());
  if (!store_failing_since_) store_failing_since_ = now;
  if (store_lost_ || now - *store_failing_since_ < kStoreLostAfter) return;
  store_lost_ = true;
  state_.log.Write(
      LogKind::kLifecycle, now,
      "event=store_lost table={} answered_ms_ago={} reason=\"{}\"", table,
      CountOrNone(state_.store_contact.TimeSinceAnswer(BootTimeNow())), reason);
}

void GatewayProcess::TrackStoreOutage() {
  const TimePoint now = BootTimeNow();
  const bool in_outage = state_.store_contact.InOutage(now);
  if (in_outage == in_store_outage_) return;
  in_store_outage_ = in_outage;
  state_.log.Write(
      LogKind::kLifecycle, state_.Now(),
      "event=store_outage state={} answered_ms_ago={} peers_live={}",
      in_outage ? "began" : "ended",
      CountOrNone(state_.store_contact.TimeSinceAnswer(now)),
      state_.live_peers.size());
}

void GatewayProcess::OnTableAnswered(const std::string& table) {
  if (table == platform::kServers) state_.roster.OnListAvailable(state_.Now());
  if (!operator_watch_->reachable() || !upstream_watch_->reachable()) return;
  state_.store_contact.OnAnswer(BootTimeNow());
  state_.store_times.OnContact();
  store_failing_since_.reset();
  if (!store_lost_) return;
  store_lost_ = false;
  state_.log.Write(LogKind::kLifecycle, state_.Now(), "event=store_regained");
}

void GatewayProcess::OnTableCurrent(const std::string& table,
                                    const TableAnswer& answer) {
  freshness_sync_->OnTableCurrent(table, answer);
  if (table != platform::kServers) return;
  CheckListGap(state_.Now());
  list_confirmation_->OnListRead(answer.sent_at);
}

void GatewayProcess::CheckListGap(TimePoint now) {
  const auto at = freshness_sync_->ConfirmedAt(WatchedTable::kUpstreams);
  if (!at) return;
  const TimePoint current_at = BootTimeNow() - (now - *at);
  const std::optional<TimePoint> before =
      std::exchange(list_current_at_, current_at);
  if (!before || current_at - *before < kMaxListGap) return;
  state_.log.Write(LogKind::kStateChange, now, "event=list_gap duration_ms={}",
                   std::chrono::duration_cast<std::chrono::milliseconds>(
                       current_at - *before)
                       .count());
  state_.stream_origins.OnGap(now);
  software_record_->Load();
}

void GatewayProcess::OnTablesConfirmed() {
  CheckListGap(state_.Now());
  state_.roster.OnListAvailable(state_.Now());
}

void GatewayProcess::ApplyOperatorRow(const MirrorRow& row) {
  if (row.removed) return;
  if (row.key == platform::kConfigKey) return ApplyConfig(row);
  if (row.key.starts_with(platform::kVersionKeyPrefix)) {
    ApplyTargetWeights(row);
  }
}

void GatewayProcess::ApplyTargetWeights(const MirrorRow& row) {
  const auto set = platform::DecodeTargetWeights(row.value);
  if (!set) {
    state_.log.Write(LogKind::kStateChange, state_.Now(),
                     "event=target_weights_unreadable key={} row_version={}",
                     row.key, row.version);
    return;
  }
  const StoreTime now = state_.StoreNow().value_or(StoreTime());
  const std::optional<StoreTime> set_after =
      state_.store_times.rows.WrittenAfter(
          {operator_watch_->mirror().generation(), row.version});
  if (!state_.target_weights.OnTargetSet(set->model, set->weights, set_after,
                                         now)) {
    return;
  }
  state_.log.Write(LogKind::kStateChange, state_.Now(),
                   "event=weights_named model={} weights={} row_version={} "
                   "set_after_ms={} store_time_ms={}",
                   set->model.value, set->weights, row.version,
                   set_after ? Count(*set_after) : -1, Count(now));
  if (!set_after) {
    return target_set_times_->LoadFor({set->model, set->weights, row.version,
                                       operator_watch_->mirror().generation()});
  }
  const TargetSetTime target{set->model, set->weights, *set_after};
  if (now - *set_after < kExactSetTime) return target_set_times_->Save(target);
  target_set_times_->SaveIfMissing(target);
  target_set_times_->Load();
}

void GatewayProcess::ApplyConfig(const MirrorRow& row) {
  const absl::StatusOr<GatewayConfigPtr> config =
      platform::DecodeConfig(row.value);
  if (!config.ok()) {
    state_.log.Write(LogKind::kStateChange, state_.Now(),
                     "event=config_rejected row_version={} reason=\"{}\"",
                     row.version, config.status().message().data());
    return;
  }
  if (state_.config != nullptr &&
      (*config)->version() <= state_.config->version()) {
    return;
  }
  state_.config = *config;
  config_in_force_ = row.value;
  state_.stream_origins.OnStreamTimeLimit(state_.config->LongestStreamTime());
  state_.ListKvStores();
  state_.log.Write(LogKind::kStateChange, state_.Now(),
                   "event=config_in_force version={} row_version={}",
                   state_.config->version().value, row.version);
}

void GatewayProcess::ApplyUpstreamRow(const MirrorRow& row,
                                      UpstreamRowSource source) {
  const TimePoint now = state_.Now();
  const UpstreamId id(row.key);
  std::optional<UpstreamEntry> entry;
  if (!row.removed) entry = platform::DecodeUpstreamEntry(row.key, row.value);
  if (!row.removed && !entry) {
    state_.log.Write(
        LogKind::kStateChange, now,
        "event=upstream_entry_unreadable upstream={} row_version={}", row.key,
        row.version);
    const auto change = state_.roster.OnUnreadable(id);
    if (change) ApplyRosterChange(*change);
    return;
  }
  std::optional<RosterChange> change;
  if (!entry) {
    change = state_.roster.OnRemoved(id, now);
  } else if (source == UpstreamRowSource::kCopy) {
    change = state_.roster.OnRestoredEntry(*entry, now);
  } else {
    change = state_.roster.OnEntry(*entry, WrittenAfter(row, now));
  }
  if (entry) {
    state_.stream_origins.OnListed({entry->service, entry->software}, now);
  }
  if (change) ApplyRosterChange(*change);
  const UpstreamEntry* known = state_.roster.Find(id);
  const bool learnt = entry && !entry->leaving && known && known->leaving;
  // Peers may have heard of an earlier incarnation's leaving only.
  if (learnt && change && change->kind == RosterChange::Kind::kRestarted) {
    state_.unreported_leaving.push_back({id, known->incarnation});
  }
}

void GatewayProcess::LogUnconfirmed(const RosterChange& change) {
  const TimePoint now = state_.Now();
  const auto count = [](TimePoint::duration time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  };
  state_.log.Write(LogKind::kStateChange, now,
                   "event=upstream_unconfirmed upstream={} left_ms={} "
                   "listed_ms_ago={} list_lost_ms_ago={}",
                   change.id.value, count(change.until - now),
                   count(now - state_.roster.listed_at()),
                   count(now - state_.roster.unavailable_at()));
}

TimePoint GatewayProcess::WrittenAfter(const MirrorRow& row,
                                       TimePoint now) const {
  const std::optional<StoreTime> time = state_.store_times.rows.WrittenAfter(
      {upstream_watch_->mirror().generation(), row.version});
  if (!time) return TimePoint::min();
  return state_.LocalTime(*time, now).value_or(TimePoint::min());
}

void GatewayProcess::ApplyRosterChange(const RosterChange& change) {
  using Kind = RosterChange::Kind;
  if (change.kind == Kind::kUnconfirmed) LogUnconfirmed(change);
  const UpstreamEntry* entry = state_.roster.Find(change.id);
  state_.log.Write(LogKind::kStateChange, state_.Now(),
                   "event=upstream_changed upstream={} change={} endpoint={} "
                   "software={} leaving={}",
                   change.id.value, RosterChangeName(change.kind),
                   entry == nullptr ? "-" : entry->endpoint,
                   entry == nullptr ? "-" : entry->software.value,
                   entry != nullptr && entry->leaving);
  if (change.kind == Kind::kRestarted || change.kind == Kind::kRemoved) {
    state_.health.Forget(change.id);
    state_.speeds.Forget(change.id);
    state_.load.ForgetUpstream(change.id);
    state_.parts.OnEngineLost(change.id);
    state_.loading.erase(change.id);
    state_.limits.Forget(change.id);
    state_.pauses.Forget(change.id);
  }
  if (entry != nullptr) state_.speeds.OnListed(change.id);
}

}  // namespace yuccapick
