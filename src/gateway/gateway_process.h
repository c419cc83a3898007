#ifndef YUCCAPICK_GATEWAY_GATEWAY_PROCESS_H_
#define YUCCAPICK_GATEWAY_GATEWAY_PROCESS_H_

/// @file
/// A gateway process: accepts callers' requests and calls upstreams directly,
/// on one event loop.

#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "gateway/cache_watch.h"
#include "gateway/call_client.h"
#include "gateway/delayed_call.h"
#include "gateway/freshness_sync.h"
#include "gateway/gateway_settings.h"
#include "gateway/gateway_state.h"
#include "gateway/ingress_server.h"
#include "gateway/limit_sync.h"
#include "gateway/list_confirmation.h"
#include "gateway/owned_timer.h"
#include "gateway/part_sharing.h"
#include "gateway/peer_exchange.h"
#include "gateway/quarantine_sync.h"
#include "gateway/quota_sync.h"
#include "gateway/rollout_controller.h"
#include "gateway/software_record.h"
#include "gateway/store_client.h"
#include "gateway/stream_origin_lookup.h"
#include "gateway/stream_origin_record.h"
#include "gateway/table_watch.h"
#include "gateway/target_set_times.h"
#include "yuccapick/pause_detector.h"
#include "yuccapick/store_catch_up.h"

namespace yuccapick {

/// Connects the listeners, timers and table watches to the gateway's state.
class GatewayProcess : private IngressHandler,
                       private TableWatchHandler,
                       private PeerExchangeHandler {
 public:
  /// @param incarnation of this process, higher than that of any earlier run
  GatewayProcess(asio::io_context& loop, GatewaySettings settings,
                 Incarnation incarnation);
  ~GatewayProcess() override;

  absl::Status Start();
  /// Stops accepting requests, lets running ones end, then calls `done`.
  void Drain(std::function<void()> done);
  /// Takes over the settings that can change at run time: the bounds and the
  /// seed endpoints.
  void OnSettingsChanged(const GatewaySettings& settings);

 private:
  class StatusPages;
  enum class UpstreamRowSource : std::uint8_t {
    kList,
    kCopy,  ///< The first rows of a new generation of the store.
  };

  std::shared_ptr<PendingRequest> OnRequest(
      IngressRequest request, std::shared_ptr<IngressSession> session) override;
  std::string OnBadRequest(int status, std::string_view reason) override;
  CallerLimits limits() const override;
  double min_bytes_per_second() const override {
    return state_.settings.caller_min_bytes_per_s;
  }
  void OnCallerEnded(std::string_view cause, std::size_t held) override;
  std::shared_ptr<MemoryBudget> request_memory() const override {
    return state_.request_memory;
  }

  void OnTableRows(const std::string& table,
                   const std::vector<MirrorRow>& changes) override;
  void OnTableRestored(const std::string& table,
                       const std::vector<MirrorRow>& changes) override;
  void OnTableUnavailable(const std::string& table, TimePoint sent_at,
                          std::string_view reason) override;
  void OnTableAnswered(const std::string& table) override;
  void OnTableCurrent(const std::string& table,
                      const TableAnswer& answer) override;
  void OnTableChecked(const std::string& table,
                      const std::optional<TableAnswer>& answer) override {
    freshness_sync_->OnTableChecked(table, answer);
  }
  void OnPollOpened(const std::string& table) override {
    freshness_sync_->OnPollOpened(table);
  }
  void OnPollEnded(const std::string& table) override {
    freshness_sync_->OnPollEnded(table);
  }

  void OnPeerReport(const PeerReport& report) override;
  void OnStreamOrigins(const std::vector<StreamOriginReport>& origins) override;
  void OnSuspectReport(const SuspectReport& report) override {
    quarantine_sync_->OnReport(report);
  }
  void OnSuspectDecisions(
      const std::vector<SuspectDecision>& decisions) override {
    quarantine_sync_->OnDecisions(decisions);
  }
  void OnNamedLimits(const std::vector<NamedLimit>& limits) override {
    limit_sync_->OnLimits(limits);
  }
  void OnStoreConfirmation(const StoreConfirmation& confirmation) override {
    OnPeerGeneration(confirmation.generation);
    freshness_sync_->OnConfirmation(confirmation);
  }
  void OnQuotaQuery(const QuotaQuery& query) override {
    quota_sync_->OnQuery(query);
  }
  void OnQuotaAnswer(const QuotaAnswer& answer) override {
    quota_sync_->OnAnswer(answer);
  }
  void OnHoldersQuery(const HoldersQuery& query) override {
    part_sharing_->OnQuery(query);
  }
  void OnHoldersAnswer(const HoldersAnswer& answer) override {
    part_sharing_->OnAnswer(answer);
  }
  void OnHolderUpdates(const std::vector<HolderUpdate>& updates) override {
    part_sharing_->OnUpdates(updates);
  }
  void OnPeerTables(const PeerTables& tables,
                    const CallProgress& progress) override;
  void OnPeerTablesFailed(const std::string& peer_endpoint,
                          const CallProgress& progress,
                          std::string_view reason) override;
  PeerTables TablesForPeer(const KnownTables& known) const override;

  /// The store began a generation.
  void OnStoreGeneration(StoreGeneration generation);
  /// A peer knows a generation that this gateway hasn't heard of.
  void OnPeerGeneration(StoreGeneration generation);
  SpreadShare RandomShare();
  /// Makes the calls that are due after a change of the store's generation.
  void CatchUpWithStore(TimePoint now);
  TableProgress OwnProgress() const;
  KnownTables OwnTables() const;
  /// True while the store sends rows of a table.
  bool TablesArrive() const {
    return operator_watch_->ArrivingAnswer() != nullptr ||
           upstream_watch_->ArrivingAnswer() != nullptr;
  }
  void RegisterEndpoint();
  /// Registers the endpoint again if the store's new generation lacks it.
  void RegisterEndpointIfMissing();
  void OnOwnEndpointRead(const std::string& key,
                         const absl::StatusOr<StoreAnswer>& answer);
  /// What the pages of the list of gateways held that were read so far.
  struct PeerListRead {
    bool after_registration = false;
    std::size_t gateways = 0;
  };

  void FetchPeerList();
  /// @param from_key first key of the page; empty for the first page
  void FetchPeerListPage(const PeerListRead& read, const std::string& from_key);
  void OnPeerListPage(PeerListRead read,
                      const absl::StatusOr<StoreAnswer>& answer);
  PeerReport MakeReport();
  static KvStoreReport MakeKvStoreReport(const std::string& endpoint,
                                         KvStoreState& store);
  void ApplyKvStoreReport(const KvStoreReport& report, TimePoint now);
  /// True if something was learned that spares peers failed requests.
  bool HasUrgentNews() const;
  void ExchangeWithPeers(TimePoint now);
  /// Learns whether the store answers others.
  void RecordPeerContact(const PeerReport& report);
  /// Logs when an outage of the store begins or ends.
  void TrackStoreOutage();
  /// Tells peers of the streams that began lately.
  void SendStreamOrigins();
  /// Tells again what was sent since the previous tick: datagrams may be lost.
  void RepeatStreamOrigins(TimePoint now);
  void RecordListedSoftware(TimePoint now);
  /// Reads the record of software versions again if the list of upstreams was
  /// not followed for a while.
  void CheckListGap(TimePoint now);
  /// A peer has confirmed that all tables are current.
  void OnTablesConfirmed();
  void ApplyOperatorRow(const MirrorRow& row);
  void ApplyTargetWeights(const MirrorRow& row);
  void ApplyUpstreamRows(const std::vector<MirrorRow>& changes,
                         UpstreamRowSource source);
  void ApplyUpstreamRow(const MirrorRow& row, UpstreamRowSource source);
  /// @return a time at which the upstream's row was not written yet
  TimePoint WrittenAfter(const MirrorRow& row, TimePoint now) const;
  void ApplyConfig(const MirrorRow& row);
  void LogUnconfirmed(const RosterChange& change);
  void ApplyRosterChange(const RosterChange& change);
  /// Tells the roster when its list was current, before that changes.
  void RecordListCurrent();
  /// Removes upstreams that did not register again in time.
  void RemoveUnconfirmed(TimePoint now);
  std::string RenderMetrics() const;
  bool Ready() const;
  bool ConfigConfirmed(TimePoint now) const;
  void Tick();
  void CheckPause(TimePoint now);
  void CheckDrained(TimePoint now);
  /// Answers what is left, as the process ends soon.
  void EndRequests(TimePoint now);

  asio::io_context& loop_;
  GatewayState state_;
  CallClient table_calls_;
  std::shared_ptr<StoreClient> store_;
  std::shared_ptr<TableWatch> operator_watch_;
  std::shared_ptr<TableWatch> upstream_watch_;
  Incarnation incarnation_;
  PeerRegistry peers_;
  PeerExchange exchange_;
  std::unique_ptr<FreshnessSync> freshness_sync_;
  std::shared_ptr<QuarantineSync> quarantine_sync_;
  std::unique_ptr<LimitSync> limit_sync_;
  std::unique_ptr<PartSharing> part_sharing_;
  std::unique_ptr<QuotaSync> quota_sync_;
  std::shared_ptr<RolloutController> rollout_;
  std::shared_ptr<TargetSetTimes> target_set_times_;
  std::shared_ptr<SoftwareRecord> software_record_;
  std::shared_ptr<StreamOriginRecord> stream_origin_record_;
  std::unique_ptr<StreamOriginLookup> stream_origin_lookup_;
  std::unique_ptr<ListConfirmation> list_confirmation_;
  /// Boot time at which the list of upstreams was last known to be current.
  std::optional<TimePoint> list_current_at_;
  CacheWatch cache_watch_;
  std::uint64_t reports_sent_ = 0;
  DelayedCall send_stream_origins_;
  std::vector<StreamOriginReport> repeated_origins_;
  TimePoint next_report_;
  TimePoint next_urgent_report_;
  std::set<UpstreamId> reported_loading_;
  TimePoint next_peer_list_;
  std::optional<TimePoint> behind_since_;  ///< Since when a peer is newer.
  bool registered_ = false;
  StoreCatchUp store_catch_up_;
  std::uint64_t tables_restored_ = 0;
  std::string config_in_force_;  ///< As the operator wrote it.
  std::unique_ptr<StatusPages> status_pages_;
  std::unique_ptr<IngressServer> ingress_server_;
  PauseDetector pause_detector_;
  std::uint64_t pauses_ = 0;
  OwnedTimer tick_timer_;
  std::uint64_t ticks_ = 0;
  std::uint64_t not_admitted_ = 0;
  bool draining_ = false;
  TimePoint drain_started_at_;
  std::function<void()> on_drained_;
  std::optional<TimePoint> store_failing_since_;
  bool in_store_outage_ = false;
  bool store_lost_ = false;
  std::uint64_t tables_from_peers_ = 0;
  std::uint64_t peer_table_bytes_received_ = 0;
  std::uint64_t peer_table_fetches_failed_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_GATEWAY_PROCESS_H_
