#ifndef YUCCAPICK_GATEWAY_GATEWAY_SETTINGS_H_
#define YUCCAPICK_GATEWAY_GATEWAY_SETTINGS_H_

/// @file
/// Settings of a gateway process.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/quota/team_quota.h"

namespace yuccapick {

/// Limits that the operator sets for the gateway's behaviour.
struct GatewayBounds {
  /// Time from SIGTERM to SIGKILL.
  std::chrono::milliseconds shutdown_grace{8'000};
  /// Minimum time between the last order of a lease holder and the first order
  /// of the next one.
  std::chrono::milliseconds lease_handover_gap{3'000};
  /// No request may reach an upstream later than this after its entry was
  /// removed or marked as leaving.
  std::chrono::milliseconds drain_timeout{2'000};
  /// Time after an outage of the store for which other bounds are not in force.
  std::chrono::milliseconds contact_time{3'000};
  /// Requests must not start on weights that were replaced this long ago.
  std::chrono::milliseconds stale_weights_limit{12'000};
  /// Retries of a service as a share of its requests.
  double retry_share = 0.2;
  /// Retries within `retry_window` on top of the share.
  double retry_reserve = 100.0;
  std::chrono::milliseconds retry_window{10'000};
  /// By how much teams may exceed their quotas.
  QuotaTolerance quota;
};

struct GatewaySettings {
  InstanceId instance;
  FailureDomain domain;
  std::string ip;
  std::string caller_endpoint;   ///< For callers.
  std::string ready_endpoint;    ///< For the load balancer's health checks.
  std::string control_endpoint;  ///< For peers; empty if not served.
  std::vector<std::string> seed_endpoints;  ///< Control endpoints of peers.
  std::uint16_t peer_port = 0;  ///< UDP reports and TCP table reads of peers.
  std::uint16_t metrics_port = 0;
  std::string table_endpoint;  ///< Of the platform's table service.
  /// Interval at which upstreams refresh their rows.
  std::chrono::milliseconds heartbeat{1'200};
  /// How long requests are still accepted after a stop signal: the load
  /// balancer sends new callers until two health checks have failed.
  std::chrono::milliseconds listen_after_drain{2'800};
  /// How long a request waits to learn which engines hold its prompt's parts.
  std::chrono::milliseconds max_holders_wait{15};
  /// Memory that the process may use, in bytes; 0 if it isn't known.
  std::size_t memory_bytes = 0;
  /// Descriptors that the process may open; 0 for the process's own limit.
  std::size_t max_fds = 0;
  /// Callers' connections at a time; 0 to derive them from memory and
  /// descriptors.
  std::size_t caller_connections = 0;
  /// Bytes a second at which a request must arrive and an answer be taken, at
  /// least; 0 for no limit.
  double caller_min_bytes_per_s = 500;
  GatewayBounds bounds;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_GATEWAY_SETTINGS_H_
