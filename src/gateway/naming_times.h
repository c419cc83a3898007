#ifndef YUCCAPICK_GATEWAY_NAMING_TIMES_H_
#define YUCCAPICK_GATEWAY_NAMING_TIMES_H_

/// @file
/// Keeps in the store when weights were named, for gateways that start later.

#include <asio.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "gateway/call_client.h"
#include "gateway/gateway_state.h"

namespace yuccapick {

/// Share of the gateways that write a naming time, so that the store is not
/// asked by all; the chance that nobody writes is below one in 100,000.
/// @param gateways that live, this one included
double NamingWriterShare(std::size_t gateways);

/// Times are those of the store's steady clock.
class NamingTimes : public std::enable_shared_from_this<NamingTimes> {
 public:
  NamingTimes(GatewayState& state, CallClient& calls)
      : state_(state), calls_(calls), retry_timer_(state.loop) {}

  /// Writes the time down unless another gateway did.
  void Save(const ModelId& model, WeightVersionNumber weights,
            std::chrono::milliseconds store_time);
  /// Reads all times and corrects what `GatewayState` believes. Asks again
  /// while the store does not answer.
  void Load();

 private:
  /// A time that is to be written.
  struct Naming {
    std::string key;
    std::chrono::milliseconds store_time{0};
    int tries = 0;
  };

  void Write(Naming naming);
  void OnWritten(Naming naming, const absl::StatusOr<CallAnswer>& answer);
  void OnLoaded(const absl::StatusOr<CallAnswer>& answer);

  GatewayState& state_;
  CallClient& calls_;
  asio::steady_timer retry_timer_;  ///< Of loading.
  bool loading_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_NAMING_TIMES_H_
