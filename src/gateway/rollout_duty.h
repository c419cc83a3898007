#ifndef YUCCAPICK_GATEWAY_ROLLOUT_DUTY_H_
#define YUCCAPICK_GATEWAY_ROLLOUT_DUTY_H_

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
class RolloutDuty : public std::enable_shared_from_this<RolloutDuty> {
 public:
  RolloutDuty(GatewayState& state, CallClient& calls, Incarnation incarnation);

  /// Called often; starts the calls that are due.
  /// @param other_holder a peer said lately that it holds the duty
  void OnTick(bool other_holder);
  /// A peer that holds the duty told of its last write.
  void OnHolderHeard(const LeaseWrite& write);
  /// Hands the lease back; no order is given any more.
  void Retire();

  /// True if this process holds the lease now.
  bool holds() const;
  /// Last write of the lease's row, for peers.
  const LeaseWrite& confirmed_write() const { return lease_.confirmed_write(); }
  bool retired() const { return lease_.released(); }
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
  void NoteHolding();
  /// @return false if orders of the predecessor may be of any age
  bool TakeOverOrders(TimePoint now);
  bool MayOrder() const;
  void Carry(const RolloutOrder& order);
  void Carry(const RolloutStatusQuery& question);
  void OnRolloutOrderResult(const RolloutOrder& order,
                            const absl::StatusOr<CallAnswer>& answer);
  void OnReportAnswer(const UpstreamId& upstream,
                      const absl::StatusOr<CallAnswer>& answer);

  GatewayState& state_;
  CallClient& calls_;
  Lease lease_;
  RolloutPlanner planner_;
  FencingToken held_fence_;
  std::optional<TimePoint> order_from_;  ///< Earliest order of this term.
  OrderHistory orders_;
};

/// Clock that counts the time a machine is suspended. Leases run on it.
TimePoint LeaseNow();

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_ROLLOUT_DUTY_H_
