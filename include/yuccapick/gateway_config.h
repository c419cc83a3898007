#ifndef YUCCAPICK_GATEWAY_CONFIG_H_
#define YUCCAPICK_GATEWAY_CONFIG_H_

/// @file
/// The configuration that a gateway serves by: routes, services, teams.

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// What a route's requests allow.
enum class RouteKind : std::uint8_t {
  kIdempotent,     ///< May run more than once.
  kNonIdempotent,  ///< Runs at most once.
  kStreaming,      ///< Event stream; at most once unless it may be resumed.
};

/// A service and its share of a route's requests.
struct RouteTarget {
  ServiceId service;
  double weight = 1.0;
};

/// Where requests of one host and path prefix go, and what they may cost.
struct GatewayRoute {
  std::string name;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kNonIdempotent;
  std::vector<RouteTarget> targets;
  std::chrono::milliseconds timeout{0};
  std::chrono::milliseconds target_latency{0};
  std::chrono::milliseconds target_event_gap{0};  ///< Streams only.
  std::uint32_t max_attempts = 1;  ///< Upstreams one request may be sent to.
  std::int32_t priority = 0;       ///< 0 is the most urgent.
  bool anonymous = false;          ///< Needs no API key.
  bool uses_prefix_cache = false;
  bool resumable = false;

  /// True if a request of this route may be sent again after it may have run.
  bool IsSafeToRetry() const {
    if (kind == RouteKind::kStreaming) return resumable;
    return kind == RouteKind::kIdempotent;
  }
};

/// What is known of a service's model engines.
struct EngineProfile {
  std::uint32_t slots = 0;
  std::uint64_t kv_capacity_tokens = 0;
  double kv_token_bits = 0;  ///< Memory of one token, as it is transferred.
  /// Processes that may follow an engine's cache events at once.
  std::uint32_t max_cache_watchers = 0;
  std::vector<ModelId> models;
};

/// One service that routes lead to, or a store of kept KV cache.
struct GatewayService {
  ServiceId id;
  std::uint32_t max_connections = 0;  ///< An upstream's, from all callers.
  std::optional<EngineProfile> engine;
  std::string kv_store_endpoint;  ///< `IP:PORT`; empty if it is no such store.
  FailureDomain kv_store_domain;
  double kv_store_bits_per_ms = 0;      ///< Of its link.
  std::uint32_t kv_store_watchers = 0;  ///< As `max_cache_watchers`.
};

struct GatewayTeam {
  TeamId id;
  std::vector<std::string> keys;
  std::optional<std::int32_t> priority;  ///< Goes before the route's.
  bool isolated = false;                 ///< Shares no cached prefix.
};

/// What callers may send, and how long they may take.
struct CallerLimits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 4'194'304;
  std::chrono::milliseconds header_timeout{3'000};
  std::chrono::milliseconds idle_timeout{15'000};
};

/// One version of the configuration. Immutable once it is built.
class GatewayConfig {
 public:
  GatewayConfig() = default;
  GatewayConfig(ConfigVersion version, std::vector<GatewayRoute> routes,
                std::vector<GatewayService> services,
                std::vector<GatewayTeam> teams, CallerLimits limits);

  ConfigVersion version() const { return version_; }
  const CallerLimits& limits() const { return limits_; }
  const std::vector<GatewayService>& services() const { return services_; }
  bool has_teams() const { return !teams_.empty(); }

  /// @return the route of `host` with the longest prefix of `path`, or null
  const GatewayRoute* FindRoute(std::string_view host,
                                std::string_view path) const;
  /// @return the team that holds `key`, or null
  const GatewayTeam* FindTeam(std::string_view key) const;
  const GatewayService* FindService(const ServiceId& id) const;
  /// Time that the KV store's link takes for one token of an engine; zero if
  /// it is not known.
  std::chrono::duration<double, std::milli> KvStoreTimePerToken() const;
  /// @return the store of kept KV cache, or null if there is none
  const GatewayService* FindKvStore() const;

  /// Separates cached prefixes that must not be shared: by weight version, by
  /// isolated team, and by the set of isolated teams, since entries made
  /// before a team was isolated stay cached.
  /// @param team null for a request without a team
  std::string CacheScopeOf(const GatewayTeam* team,
                           std::uint64_t weight_version) const;

 private:
  void IndexTeams();

  ConfigVersion version_;
  std::vector<GatewayRoute> routes_;
  std::vector<GatewayService> services_;
  std::vector<GatewayTeam> teams_;
  CallerLimits limits_;
  /// Positions in `routes_`, longest prefix first.
  absl::flat_hash_map<std::string, std::vector<std::size_t>> by_host_;
  absl::flat_hash_map<std::string, std::size_t> by_key_;
  std::uint64_t isolation_hash_ = 0;
};

using GatewayConfigPtr = std::shared_ptr<const GatewayConfig>;

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_CONFIG_H_
