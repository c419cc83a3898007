#ifndef YUCCAPICK_GATEWAY_GATEWAY_PROCESS_H_
#define YUCCAPICK_GATEWAY_GATEWAY_PROCESS_H_

/// @file
/// One gateway: takes callers' requests and calls upstreams directly, on one
/// event loop.

#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "gateway/cache_watch.h"
#include "gateway/call_client.h"
#include "gateway/gateway_settings.h"
#include "gateway/gateway_state.h"
#include "gateway/ingress_session.h"
#include "gateway/naming_times.h"
#include "gateway/peer_exchange.h"
#include "gateway/rollout_duty.h"
#include "gateway/table_watch.h"

namespace yuccapick {

/// Wires sockets, timers and decisions together.
class GatewayProcess : private IngressHandler,
                       private TableWatchHandler,
                       private PeerExchangeHandler {
 public:
  /// @param life of this process, higher than that of any before it
  GatewayProcess(asio::io_context& loop, GatewaySettings settings,
                 Incarnation incarnation);
  ~GatewayProcess() override;

  absl::Status Start();
  /// Stops taking work, lets what is under way end, then calls `done`.
  void Drain(std::function<void()> done);
  /// The settings file has changed.
  void OnSettingsChanged(const GatewaySettings& settings);

 private:
  class StatusPages;

  std::shared_ptr<PendingRequest> OnRequest(
      IngressRequest request, std::shared_ptr<IngressSession> session) override;
  std::string OnBadRequest(int status, std::string_view reason) override;
  CallerLimits limits() const override;

  void OnTableRows(const std::string& table,
                   const std::vector<MirrorRow>& changes) override;
  void OnTableLost(const std::string& table, std::string_view reason) override;
  void OnTableHeard(const std::string& table) override;

  void OnPeerReport(const PeerReport& report) override;
  void OnPeerTables(const PeerTables& tables) override;
  PeerTables TablesForPeers() const override;

  void Register();
  void LearnPeers();
  PeerReport MakeReport();
  void ExchangeWithPeers(TimePoint now);
  void ApplyOperatorRow(const MirrorRow& row);
  void ApplyUpstreamRow(const MirrorRow& row);
  void ApplyConfig(const MirrorRow& row);
  void ApplyChange(const RosterChange& change);
  std::string RenderMetrics() const;
  bool Ready() const;
  bool ConfigConfirmed(TimePoint now) const;
  void Tick();
  void CheckDrained(TimePoint now);

  asio::io_context& loop_;
  GatewayState state_;
  CallClient table_calls_;
  std::shared_ptr<TableWatch> operator_watch_;
  std::shared_ptr<TableWatch> upstream_watch_;
  Incarnation incarnation_;
  PeerRegistry peers_;
  PeerExchange exchange_;
  std::shared_ptr<RolloutDuty> rollout_;
  std::shared_ptr<NamingTimes> naming_times_;
  CacheWatch cache_watch_;
  std::uint64_t reports_sent_ = 0;
  TimePoint next_report_;
  std::set<UpstreamId> reported_loading_;
  TimePoint next_peer_list_;
  std::optional<TimePoint> behind_since_;  ///< A peer has newer rows.
  bool registered_ = false;
  bool operator_rows_read_ = false;
  std::unique_ptr<StatusPages> status_pages_;
  std::unique_ptr<IngressServer> callers_;
  asio::steady_timer tick_timer_;
  std::uint64_t ticks_ = 0;
  std::uint64_t not_admitted_ = 0;
  bool draining_ = false;
  TimePoint drain_began_;
  std::function<void()> drained_;
  bool store_lost_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_GATEWAY_PROCESS_H_
