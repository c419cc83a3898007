#include <algorithm>
#include <iterator>
#include <utility>

#include "gateway/boot_clock.h"
#include "gateway/gateway_process.h"
#include "gateway/http_status.h"
#include "gateway/store_rows.h"
#include "platform/names.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// Every gateway reads each change of the upstream table, so the window in
/// which one call collects changes grows with their number.
constexpr milliseconds kBatchWindowPerGateway{15};
constexpr milliseconds kMaxBatchWindow{750};
constexpr milliseconds kPeerListInterval{15'000};
constexpr milliseconds kPeerListRetryDelay{1'000};
/// Rows that a peer has, and that the store hasn't delivered for this long, are
/// fetched from the peer.
constexpr milliseconds kPeerTableFetchDelay{250};
/// Limits the streams in one datagram.
constexpr std::size_t kMaxStreamsPerDatagram = 256;
/// What peers should know at once is reported before the next report is due, at
/// most this many times in its interval.
constexpr int kUrgentReportsPerInterval = 4;
constexpr char kGatewayTable[] = "yuccapick-gateways";

}  // namespace

void GatewayProcess::OnPeerReport(const PeerReport& report) {
  const TimePoint now = state_.Now();
  if (report.instance == state_.settings.instance) return;
  if (!peers_.OnReport(report, now)) return;
  RecordPeerContact(report);
  OnPeerGeneration(report.store_generation);
  quota_sync_->OnGatewayCount(report.gateways);
  state_.load.OnPeerReport(report.instance, report.work, now);
  state_.overload.teams.OnPeerReport(report.instance, report.team_work, now);
  state_.speeds.OnPeerReport(report, state_.roster, state_.health, now);
  state_.overload.OnRoomMayBeFree();
  limit_sync_->OnLimits(report.limits);
  for (const UpstreamRun& run : report.leaving_upstreams) {
    if (const auto change = state_.roster.OnLeavingSeen(run, now)) {
      ApplyRosterChange(*change);
    }
  }
  if (report.holds_rollout_lease) rollout_->OnPeerLease(report.rollout_lease);
  for (const KvStoreReport& store : report.kv_stores) {
    ApplyKvStoreReport(store, now);
  }
  for (const PartUpdate& update : report.parts) {
    state_.parts.OnEngineChange(
        update.upstream, {update.part_hash, update.tokens > 0, update.tokens},
        now);
  }
  for (const ObservedWeights& seen : report.weights) {
    if (state_.roster.OnWeightsSeen(seen.upstream, seen.model, seen.weights)) {
      state_.parts.OnEngineLost(seen.upstream);
    }
  }
}

void GatewayProcess::RecordPeerContact(const PeerReport& report) {
  state_.store_contact.OnPeerHeard(BootTimeNow());
  // Another generation's clock may differ.
  const bool same = report.store_generation == OwnProgress().generation;
  if (!same || !report.store_answered_at) return;
  state_.OnPeerAnswer(*report.store_answered_at);
}

void GatewayProcess::OnStreamOrigins(
    const std::vector<StreamOriginReport>& origins) {
  const TimePoint now = state_.Now();
  for (const StreamOriginReport& report : origins) {
    state_.stream_origins.OnPeerReport(report, now);
  }
  stream_origin_record_->OnBegan(origins);
}

void GatewayProcess::SendStreamOrigins() {
  const TimePoint now = state_.Now();
  std::vector<StreamOriginReport> origins =
      state_.stream_origins.TakeUnreported(kMaxStreamsPerDatagram, now);
  if (origins.empty()) return;
  stream_origin_record_->OnBegan(origins);
  exchange_.Send(origins, peers_.Targets(now));
  repeated_origins_.insert(repeated_origins_.end(),
                           std::make_move_iterator(origins.begin()),
                           std::make_move_iterator(origins.end()));
}

void GatewayProcess::RepeatStreamOrigins(TimePoint now) {
  if (!repeated_origins_.empty()) {
    exchange_.Send(std::exchange(repeated_origins_, {}), peers_.Targets(now));
  }
  // Streams that began before the service had several versions.
  SendStreamOrigins();
}

void GatewayProcess::RecordListedSoftware(TimePoint now) {
  for (const UpstreamEntry* entry : state_.roster.All()) {
    state_.stream_origins.OnListed({entry->service, entry->software}, now);
  }
}

void GatewayProcess::OnPeerTables(const PeerTables& tables,
                                  const CallProgress& progress) {
  peer_table_bytes_received_ += progress.body_bytes;
  state_.log.Write(
      LogKind::kStateChange, state_.Now(),
      "event=tables_from_peer operator_as_of={} upstream_as_of={} bytes={} "
      "receiving_ms={}",
      tables.operator_rows.as_of, tables.upstream_rows.as_of,
      progress.body_bytes,
      std::chrono::duration_cast<milliseconds>(progress.ReceivingTime())
          .count());
  if (tables.store_time) {
    state_.store_times.clock.OnAnswer(*tables.store_time, BootTimeNow());
    state_.OnStoreTimeKnown();
  }
  ++tables_from_peers_;
  operator_watch_->OnPeerSnapshot(tables.operator_rows);
  if (!tables.config.empty()) {
    ApplyConfig({platform::kConfigKey, tables.config});
  }
  for (const TargetSetTime& target : tables.target_set_times) {
    state_.target_weights.OnSetAfterKnown(target.model, target.weights,
                                          target.set_after);
  }
  upstream_watch_->OnPeerSnapshot(tables.upstream_rows);
  freshness_sync_->OnPeerRows();
  quarantine_sync_->OnDecisions(tables.suspect_decisions);
}

void GatewayProcess::OnPeerTablesFailed(const std::string& peer_endpoint,
                                        const CallProgress& progress,
                                        std::string_view reason) {
  ++peer_table_fetches_failed_;
  peer_table_bytes_received_ += progress.body_bytes;
  state_.log.Write(
      LogKind::kFailure, state_.Now(),
      "event=peer_tables_not_fetched peer={} bytes={} receiving_ms={} "
      "reason=\"{}\"",
      peer_endpoint, progress.body_bytes,
      std::chrono::duration_cast<milliseconds>(progress.ReceivingTime())
          .count(),
      reason);
}

KnownTables GatewayProcess::OwnTables() const {
  return {
      operator_watch_->mirror().position(),
      upstream_watch_->mirror().position(),
      state_.config == nullptr ? ConfigVersion() : state_.config->version()};
}

PeerTables GatewayProcess::TablesForPeer(const KnownTables& known) const {
  const MirrorRow* row = operator_watch_->mirror().Find(platform::kConfigKey);
  const bool in_rows = row != nullptr && row->value == config_in_force_;
  const bool lacks_config = !in_rows && known.config < OwnTables().config;
  return {operator_watch_->mirror().SnapshotFor(known.operator_rows),
          upstream_watch_->mirror().SnapshotFor(known.upstream_rows),
          state_.target_weights.SetTimes(),
          state_.StoreNow(),
          state_.quarantine.Decisions(),
          lacks_config ? config_in_force_ : std::string()};
}

SpreadShare GatewayProcess::RandomShare() {
  return {absl::Uniform(state_.random, 0.0, 1.0),
          absl::Uniform(state_.random, 0.0, 1.0)};
}

void GatewayProcess::OnStoreGeneration(StoreGeneration generation) {
  state_.version_record.OnNewGeneration(state_.StoreAnsweredAt());
  state_.store_times.OnNewGeneration();
  rollout_->OnGeneration(generation);
  if (store_->generations().changes() == 0) return;
  stream_origin_record_->OnStoreGeneration(state_.Now());
  store_catch_up_.OnGeneration(generation, state_.LiveGateways(), RandomShare(),
                               state_.Now());
}

void GatewayProcess::OnPeerGeneration(StoreGeneration generation) {
  const StoreGeneration current = store_->generations().current();
  if (generation <= current) return;
  const TimePoint now = state_.Now();
  if (!store_catch_up_.OnPeerGeneration(generation, state_.LiveGateways(),
                                        RandomShare(), now)) {
    return;
  }
  state_.log.Write(LogKind::kStateChange, now,
                   "event=store_generation_heard generation={} current={}",
                   generation.value, current.value);
}

void GatewayProcess::CatchUpWithStore(TimePoint now) {
  if (store_catch_up_.TakeReread(now)) {
    const StoreGeneration newest = store_catch_up_.newest();
    operator_watch_->CatchUpWith(newest);
    upstream_watch_->CatchUpWith(newest);
  }
  if (store_catch_up_.TakeRewrite(now)) {
    quarantine_sync_->CatchUpWith(store_catch_up_.newest());
    target_set_times_->SaveMissing();
    software_record_->Load();
    RegisterEndpointIfMissing();
  }
}

TableProgress GatewayProcess::OwnProgress() const {
  TableProgress own;
  own.generation = std::min(operator_watch_->mirror().generation(),
                            upstream_watch_->mirror().generation());
  own.operator_rows = operator_watch_->mirror().as_of();
  own.upstream_rows = upstream_watch_->mirror().as_of();
  if (state_.config != nullptr) own.config = state_.config->version();
  return own;
}

void GatewayProcess::RegisterEndpointIfMissing() {
  const std::string& store = state_.settings.table_endpoint;
  const std::string key = state_.settings.instance.value;
  store_->Call(store, platform::EncodeReadRow(store, kGatewayTable, key),
               kPeerListRetryDelay,
               [this, key](const absl::StatusOr<StoreAnswer>& answer) {
                 OnOwnEndpointRead(key, answer);
               });
}

void GatewayProcess::OnOwnEndpointRead(
    const std::string& key, const absl::StatusOr<StoreAnswer>& answer) {
  const auto rows = RowsOf(answer);
  if (!rows.ok()) {
    store_catch_up_.RetryRewrite(state_.Now() + kPeerListRetryDelay);
    return;
  }
  registered_ = std::any_of(
      rows->rows.begin(), rows->rows.end(), [&](const MirrorRow& row) {
        return row.key == key && row.value == exchange_.endpoint();
      });
  if (registered_) return;
  state_.log.Write(LogKind::kStateChange, state_.Now(),
                   "event=endpoint_registered_again generation={}",
                   answer->generation.value);
  RegisterEndpoint();
}

void GatewayProcess::RegisterEndpoint() {
  platform::RowWrite write;
  write.table = kGatewayTable;
  write.key = state_.settings.instance.value;
  write.value = exchange_.endpoint();
  const std::string& store = state_.settings.table_endpoint;
  store_->Call(store, platform::EncodeWrite(store, write), kPeerListRetryDelay,
               [this](const absl::StatusOr<StoreAnswer>& answer) {
                 registered_ = answer.ok() && answer->status == kHttpOk;
               });
}

void GatewayProcess::FetchPeerList() {
  // Gateways that start together may all read the list before the others have
  // registered. A read that follows the own registration finds every gateway
  // that doesn't find this one.
  FetchPeerListPage({registered_}, "");
}

void GatewayProcess::FetchPeerListPage(const PeerListRead& read,
                                       const std::string& from_key) {
  const std::string& store = state_.settings.table_endpoint;
  store_->Call(store, platform::EncodeReadRows(store, kGatewayTable, from_key),
               kPeerListRetryDelay,
               [this, read](const absl::StatusOr<StoreAnswer>& answer) {
                 OnPeerListPage(read, answer);
               });
}

void GatewayProcess::OnPeerListPage(PeerListRead read,
                                    const absl::StatusOr<StoreAnswer>& answer) {
  const auto rows = RowsOf(answer);
  if (!rows.ok()) return;
  read.gateways += rows->rows.size();
  for (const MirrorRow& row : rows->rows) {
    if (row.value == exchange_.endpoint()) continue;
    peers_.OnEndpoint(row.value, state_.Now());
  }
  if (rows->has_more && !rows->rows.empty()) {
    return FetchPeerListPage(read, rows->rows.back().key + '\0');
  }
  if (read.after_registration) {
    next_peer_list_ = state_.Now() + kPeerListInterval;
  }
  quota_sync_->OnGatewayCount(read.gateways);
}

bool GatewayProcess::HasUrgentNews() const {
  return state_.speeds.HasUrgentNews() || !state_.unreported_weights.empty() ||
         !state_.unreported_leaving.empty();
}

void GatewayProcess::ExchangeWithPeers(TimePoint now) {
  if (now >= next_peer_list_) {
    next_peer_list_ = now + kPeerListRetryDelay;
    if (!registered_) RegisterEndpoint();
    FetchPeerList();
  }
  std::set<UpstreamId> loading = rollout_->Loading();
  const bool loading_changed = loading != reported_loading_;
  const bool news_due = HasUrgentNews() && now >= next_urgent_report_;
  if (now < next_report_ && !loading_changed && !news_due) return;
  reported_loading_ = std::move(loading);
  peers_.OnTick(now);
  state_.store_contact.SetPeers(peers_.KnownCount());
  const std::size_t live = peers_.LiveCount(now);
  state_.SetGatewayCount(live + 1);
  const milliseconds batch_window = std::min(
      kMaxBatchWindow, kBatchWindowPerGateway * static_cast<int>(live + 1));
  upstream_watch_->SetBatchWindow(batch_window);
  state_.live_peers = peers_.LiveInstances(now);
  quota_sync_->OnMembersChanged(now);
  state_.load.SetReportLifetime(peers_.LiveTimeout());
  const milliseconds interval = PeerReportInterval(live);
  next_report_ = now + interval;
  next_urgent_report_ = now + interval / kUrgentReportsPerInterval;
  exchange_.Send(MakeReport(), peers_.Targets(now));
  const PeerReport* newer =
      peers_.FindPeerNewerThan(OwnProgress(), state_.settings.instance, now);
  if (newer == nullptr) {
    behind_since_.reset();
    return;
  }
  if (!behind_since_) behind_since_ = now;
  if (now - *behind_since_ < kPeerTableFetchDelay + batch_window) return;
  // What arrives may be what the peer has.
  if (TablesArrive()) return;
  exchange_.FetchTables(newer->endpoint, OwnTables());
}

}  // namespace yuccapick
