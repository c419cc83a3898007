#ifndef YUCCAPICK_GATEWAY_GATEWAY_SETTINGS_H_
#define YUCCAPICK_GATEWAY_GATEWAY_SETTINGS_H_

/// @file
/// What a gateway process learns at its start.

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Promises to the operator that bound how the gateway acts.
struct GatewayBounds {
  /// Time from SIGTERM to the kill.
  std::chrono::milliseconds shutdown_grace{8'000};
  /// A retired lease holder and the next one keep at least this far apart.
  std::chrono::milliseconds lease_handover_gap{3'000};
  /// Requests must not begin on weights that were replaced this long ago.
  std::chrono::milliseconds stale_weights_limit{12'000};
  /// Extra attempts of a service for each of its requests.
  double retry_share = 0.2;
  /// Extra attempts within `retry_window` on top of the share.
  double retry_reserve = 100.0;
  std::chrono::milliseconds retry_window{10'000};
};

struct GatewaySettings {
  InstanceId instance;
  FailureDomain domain;
  std::string ip;
  std::string caller_endpoint;   ///< Where callers connect.
  std::string ready_endpoint;    ///< Where the balancer asks for readiness.
  std::string control_endpoint;  ///< Where peers ask; empty if not served.
  std::vector<std::string> seed_endpoints;  ///< Some peers' control endpoints.
  std::uint16_t peer_port = 0;              ///< For datagrams between peers.
  std::uint16_t metrics_port = 0;
  std::string table_endpoint;  ///< Of the platform's table service.
  std::chrono::milliseconds heartbeat{1'200};  ///< Of upstreams' entries.
  /// How long requests are still taken after a stop signal: the balancer sends
  /// new callers until it has missed two answers.
  std::chrono::milliseconds listen_after_drain{2'800};
  GatewayBounds bounds;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_GATEWAY_SETTINGS_H_
