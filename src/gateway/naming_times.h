#ifndef YUCCAPICK_GATEWAY_NAMING_TIMES_H_
#define YUCCAPICK_GATEWAY_NAMING_TIMES_H_

/// @file
/// Keeps in the store when weights were named, for gateways that start later.

#include <chrono>
#include <memory>

#include "gateway/call_client.h"
#include "gateway/gateway_state.h"

namespace yuccapick {

/// Times are those of the store's steady clock.
class NamingTimes : public std::enable_shared_from_this<NamingTimes> {
 public:
  NamingTimes(GatewayState& state, CallClient& calls)
      : state_(state), calls_(calls) {}

  /// Writes the time down unless another gateway did.
  void Save(const ModelId& model, WeightNumber weights,
            std::chrono::milliseconds store_time);
  /// Reads all times and corrects what `GatewayState` believes.
  void Load();

 private:
  void OnLoaded(const absl::StatusOr<CallAnswer>& answer);

  GatewayState& state_;
  CallClient& calls_;
  bool loading_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_NAMING_TIMES_H_
