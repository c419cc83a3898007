#ifndef YUCCAPICK_GATEWAY_ROLLOUT_CONTROLLER_H_
#define YUCCAPICK_GATEWAY_ROLLOUT_CONTROLLER_H_

/// @file
/// The duty to bring engines to the named weights, held by one gateway at a
/// time under a lease.

#include <asio.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gateway/call_client.h"
#include "gateway/gateway_state.h"
#include "yuccapick/lease.h"
#include "yuccapick/order_history.h"
#include "yuccapick/rollout_planner.h"

namespace yuccapick {

/// Carries out what `Lease` and `RolloutPlanner` decide.
class RolloutController
    : public std::enable_shared_from_this<RolloutController> {
 public:
  RolloutController(GatewayState& state, CallClient& calls, Incarnation life);

  /// Called often; starts the calls that are due.
  /// @param other_holder a peer said lately that it holds the duty
  void OnTick(bool other_holder);
  /// A peer that holds the duty told of its last write.
  void OnPeerLeaseWrite(const LeaseWrite& write);
  /// Hands the lease back; no order is given any more.
  void ReleaseLease();

  /// True if this process holds the lease now.
  bool holds() const;
  /// Last write of the lease's row, for peers.
  const LeaseWrite& confirmed() const { return lease_.confirmed(); }
  bool lease_released() const { return lease_.released(); }
  /// True if this process holds the duty and upstreams still lack weights.
  bool HasWork() const { return holds() && !planner_.idle(); }
  /// Upstreams that load or are about to, if this process holds the duty.
  std::set<UpstreamId> Loading() const;

 private:
  void RunLease();
  void RunPlanner();
  void Read();
  void OnRead(const absl::StatusOr<CallAnswer>& answer);
  void Commit(const TableTransaction& transaction);
  void OnCommitted(const absl::StatusOr<CallAnswer>& answer);
  void UpdateHeldFence();
  /// @return false if orders of the predecessor may be of any age
  bool TakeOverOrders(TimePoint now);
  bool MayOrder() const;
  void Execute(const RolloutOrder& order);
  void Execute(const RolloutQuestion& question);
  void OnOrderAnswer(const RolloutOrder& order,
                     const absl::StatusOr<CallAnswer>& answer);
  void OnReportAnswer(const UpstreamId& upstream,
                      const absl::StatusOr<CallAnswer>& answer);

  GatewayState& state_;
  CallClient& calls_;
  Lease lease_;
  RolloutPlanner planner_;
  FencingToken held_fence_;
  std::optional<TimePoint>
      orders_allowed_from_;  ///< Earliest order of this term.
  OrderHistory orders_;
};

/// Clock that counts the time a machine is suspended. Leases run on it.
TimePoint LeaseClockNow();

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_ROLLOUT_CONTROLLER_H_
