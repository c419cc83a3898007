#ifndef YUCCAPICK_GATEWAY_LIMIT_SYNC_H_
#define YUCCAPICK_GATEWAY_LIMIT_SYNC_H_

/// @file
/// Exchanges the limits that upstreams name with other gateways.

#include <string_view>
#include <vector>

#include "gateway/delayed_call.h"
#include "gateway/gateway_state.h"
#include "gateway/peer_exchange.h"

namespace yuccapick {

/// Carries the messages of `GatewayState::limits`. Used on one event loop.
class LimitSync {
 public:
  /// @param peers must outlive this object, like the other arguments
  LimitSync(GatewayState& state, PeerExchange& exchange,
            const PeerRegistry& peers);

  void Stop() { send_.Cancel(); }
  /// Sends what there is to tell, shortly after the first call.
  void Schedule() { send_.Schedule(); }
  void OnTick(TimePoint now);
  void OnLimits(const std::vector<NamedLimit>& limits);

 private:
  void Send(TimePoint now);
  void SendReports(const std::vector<AddressedLimits>& reports);

  GatewayState& state_;
  PeerExchange& exchange_;
  const PeerRegistry& peers_;
  DelayedCall send_;
  // Sent a second time, since datagrams may be lost.
  std::vector<AddressedLimits> repeated_reports_;
  std::vector<NamedLimit> repeated_broadcast_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_LIMIT_SYNC_H_
