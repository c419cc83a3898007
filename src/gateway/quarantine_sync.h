#ifndef YUCCAPICK_GATEWAY_QUARANTINE_SYNC_H_
#define YUCCAPICK_GATEWAY_QUARANTINE_SYNC_H_

/// @file
/// Exchanges what gateways know of requests and prompt parts that crash
/// upstreams, and keeps the decisions in the store.

#include <asio.hpp>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/delayed_call.h"
#include "gateway/gateway_state.h"
#include "gateway/peer_exchange.h"
#include "gateway/store_client.h"
#include "gateway/table_watch.h"
#include "yuccapick/crash_quarantine.h"

namespace yuccapick {

/// Carries the messages of `GatewayState::quarantine`. Used on one event loop;
/// calls in flight keep it alive.
class QuarantineSync : private TableWatchHandler,
                       public std::enable_shared_from_this<QuarantineSync> {
 public:
  /// @param peers must outlive this object, like the other arguments
  QuarantineSync(GatewayState& state, std::shared_ptr<StoreClient> store,
                 PeerExchange& exchange, const PeerRegistry& peers);

  void Start();
  void Stop();
  /// Sends what the quarantine has to tell, shortly after the first call.
  void Schedule() { send_.Schedule(); }
  void OnTick(TimePoint now);
  /// Reads the decisions in the store's new generation.
  void CatchUpWith(StoreGeneration generation) {
    watch_->CatchUpWith(generation);
  }
  void OnReport(const SuspectReport& report);
  void OnDecisions(const std::vector<SuspectDecision>& decisions);

 private:
  /// Decisions that are sent several times, since datagrams may be lost.
  struct RepeatedDecisions {
    std::vector<SuspectDecision> decisions;
    int copies_left = 0;
  };

  void OnTableRows(const std::string& table,
                   const std::vector<MirrorRow>& changes) override;
  /// The decisions that the copy lacks are written again by the parts'
  /// coordinators.
  void OnTableRestored(const std::string& table,
                       const std::vector<MirrorRow>& changes) override;
  void OnTableUnavailable(const std::string& /*table*/, TimePoint /*sent_at*/,
                          std::string_view /*reason*/) override {}
  void OnTableAnswered(const std::string& /*table*/) override {}

  void Send(TimePoint now);
  void SendReports(const std::vector<AddressedSuspectReport>& reports);
  void Repeat(TimePoint now);
  void ApplyRow(const MirrorRow& row);
  void Apply(const SuspectDecision& decision, std::string_view source);
  void Log(const SuspectDecision& decision, std::string_view source);
  /// Makes the decisions of the suspects that this gateway coordinates unsaved,
  /// unless their rows are in the table.
  void SaveMissing();
  /// Writes one unsaved decision, unless a write is under way.
  void SaveNext(TimePoint now);
  void OnSaved(const SuspectDecision& decision,
               const absl::StatusOr<StoreAnswer>& answer);

  GatewayState& state_;
  std::shared_ptr<StoreClient> store_;
  PeerExchange& exchange_;
  const PeerRegistry& peers_;
  std::shared_ptr<TableWatch> watch_;
  DelayedCall send_;
  std::vector<AddressedSuspectReport> repeated_reports_;
  std::vector<RepeatedDecisions> repeated_decisions_;
  std::map<SuspectId, SuspectDecision> unsaved_;
  bool saving_ = false;
  TimePoint next_save_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_QUARANTINE_SYNC_H_
