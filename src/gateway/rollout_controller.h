#ifndef YUCCAPICK_GATEWAY_ROLLOUT_CONTROLLER_H_
#define YUCCAPICK_GATEWAY_ROLLOUT_CONTROLLER_H_

/// @file
/// Rolls out target weights to the engines. One gateway at a time does this,
/// under a lease.

#include <asio.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gateway/call_client.h"
#include "gateway/gateway_state.h"
#include "gateway/store_client.h"
#include "yuccapick/lease.h"
#include "yuccapick/order_history.h"
#include "yuccapick/rollout_planner.h"

namespace yuccapick {

/// Executes the decisions of `Lease` and `RolloutPlanner`.
class RolloutController
    : public std::enable_shared_from_this<RolloutController> {
 public:
  /// @param calls for the engines
  RolloutController(GatewayState& state, CallClient& calls,
                    std::shared_ptr<StoreClient> store,
                    Incarnation incarnation);

  /// Starts the calls that are due; called on every tick of the process.
  /// @param other_holder a live peer reports that it holds the lease
  void OnTick(bool other_holder);
  /// A peer that holds the lease reported its last write of the lease's row.
  void OnPeerLease(const LeaseWrite& write);
  /// The store began a generation. The lease is lost.
  void OnGeneration(StoreGeneration generation);
  /// Releases the lease; no order is sent afterwards.
  void ReleaseLease();

  /// True if this process holds the lease.
  bool holds() const;
  /// Last confirmed write of the lease's row, for the reports to peers.
  const LeaseWrite& last_write() const { return lease_.confirmed_write(); }
  bool lease_released() const { return lease_.released(); }
  /// True if this process holds the lease and upstreams still lack weights.
  bool HasWork() const { return holds() && !planner_.idle(); }
  /// Upstreams that load weights or are about to, if this process holds the
  /// lease.
  std::set<UpstreamId> Loading() const;

 private:
  void RunLease();
  void RunPlanner();
  void Read();
  void OnRead(const absl::StatusOr<StoreAnswer>& answer);
  void Commit(const TableTransaction& transaction);
  void OnCommitted(const absl::StatusOr<StoreAnswer>& answer);
  void UpdateHeldFence();
  /// Takes over the previous holder's orders from the note in the lease's row.
  /// @return false if the times of its last orders are unknown
  bool TakeOverOrders(TimePoint now);
  bool MayOrder() const;
  bool IsPaused(const UpstreamEntry& upstream) const;
  /// Upstreams on which no rollout may start now.
  std::set<UpstreamId> ExcludedUpstreams() const;
  void Execute(const RolloutOrder& order);
  void Execute(const RolloutStatusQuery& query);
  void OnRolloutOrderResult(const RolloutOrder& order,
                            const absl::StatusOr<CallAnswer>& answer);
  void OnReportAnswer(const UpstreamId& upstream,
                      const absl::StatusOr<CallAnswer>& answer);

  GatewayState& state_;
  CallClient& calls_;
  std::shared_ptr<StoreClient> store_;
  Lease lease_;
  RolloutPlanner planner_;
  FencingToken held_fence_;
  /// No order of this term is sent before.
  std::optional<TimePoint> orders_allowed_from_;
  OrderHistory orders_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_ROLLOUT_CONTROLLER_H_
