#ifndef YUCCAPICK_GATEWAY_CONFIG_H_
#define YUCCAPICK_GATEWAY_CONFIG_H_

/// @file
/// Configuration of a gateway: routes, services, teams and limits.

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "yuccapick/ids.h"
#include "yuccapick/quota/team_quota.h"

namespace yuccapick {

/// Whether requests of a route may be repeated.
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

/// Targets and limits of the requests with one host and path prefix.
struct GatewayRoute {
  std::string name;
  std::string host;
  std::string prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kNonIdempotent;
  std::vector<RouteTarget> targets;
  std::chrono::milliseconds timeout{0};
  std::chrono::milliseconds target_latency{0};
  std::chrono::milliseconds target_event_gap{0};  ///< Streams only.
  std::uint32_t max_attempts = 1;  ///< Upstreams tried for one request.
  std::int32_t priority = 0;       ///< 0 is the most urgent.
  bool anonymous = false;          ///< Requires no API key.
  bool resumable = false;

  /// True if a request of this route may be sent again although an earlier
  /// attempt may have been executed.
  bool IsSafeToRetry() const {
    if (kind == RouteKind::kStreaming) return resumable;
    return kind == RouteKind::kIdempotent;
  }
};

/// Properties of a service's model engines.
struct EngineProfile {
  std::uint32_t slots = 0;
  std::uint64_t kv_capacity_tokens = 0;
  double kv_token_bits = 0;  ///< KV cache size of one token, in transfers.
  /// Maximum number of processes that subscribe to an engine's cache events.
  std::uint32_t max_cache_watchers = 0;
  std::vector<ModelId> models;
};

/// A service that routes point to, or a kept-KV store.
struct GatewayService {
  ServiceId id;
  std::uint32_t max_connections = 0;  ///< Of one upstream, from all callers.
  std::optional<EngineProfile> engine;
  std::string kv_store_endpoint;  ///< `IP:PORT`; empty unless a kept-KV store.
  FailureDomain kv_store_domain;
  double kv_store_bits_per_ms = 0;      ///< Bandwidth of its link.
  std::uint32_t kv_store_watchers = 0;  ///< Like `max_cache_watchers`.
};

struct GatewayTeam {
  TeamId id;
  std::vector<std::string> keys;
  std::optional<std::int32_t> priority;  ///< Overrides the route's.
  bool isolated = false;  ///< Shares no cached prefix with other teams.
  std::optional<TeamQuota> quota;
};

/// Who may send requests to routes that aren't anonymous.
enum class AccessControl : std::uint8_t {
  kNone,     ///< Every caller.
  kApiKeys,  ///< Callers with a key of a team; nobody if no team has a key.
};

/// Size and time limits of callers' requests.
struct CallerLimits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 4'194'304;
  std::chrono::milliseconds header_timeout{3'000};
  std::chrono::milliseconds idle_timeout{15'000};
};

/// The priorities of a service's routes and their teams, the most urgent first.
struct ServiceRanks {
  std::vector<std::int32_t> priorities;
  /// Target latency of the most urgent route; 0 if there is none.
  std::chrono::milliseconds urgent_latency{0};

  /// @return the position of the priority among the service's
  std::uint32_t RankOf(std::int32_t priority) const;
};

/// One version of the gateway configuration. Immutable.
class GatewayConfig {
 public:
  GatewayConfig() = default;
  GatewayConfig(ConfigVersion version, std::vector<GatewayRoute> routes,
                std::vector<GatewayService> services, AccessControl access,
                std::vector<GatewayTeam> teams, CallerLimits limits);

  ConfigVersion version() const { return version_; }
  const CallerLimits& limits() const { return limits_; }
  const std::vector<GatewayService>& services() const { return services_; }
  AccessControl access() const { return access_; }
  /// True if any team has a quota.
  bool has_quotas() const { return has_quotas_; }

  /// @return the longest time limit of a resumable stream; 0 without one
  std::chrono::milliseconds LongestStreamTime() const;
  /// @return the route of `host` whose prefix is the longest one that matches
  /// `path`, or null
  const GatewayRoute* FindRoute(std::string_view host,
                                std::string_view path) const;
  /// @return the team that the API key `key` belongs to, or null
  const GatewayTeam* FindTeam(std::string_view key) const;
  /// @return null if the configuration has no such team
  const GatewayTeam* FindTeamById(const TeamId& id) const;
  const GatewayService* FindService(const ServiceId& id) const;
  const std::vector<GatewayTeam>& teams() const { return teams_; }
  const ServiceRanks& RanksOf(const ServiceId& service) const;
  /// Time that a kept-KV store's link takes to transfer one token's KV cache,
  /// for the engine with the largest tokens; zero if unknown.
  std::chrono::duration<double, std::milli> KvStoreTimePerToken(
      const GatewayService& store) const;
  /// @return the kept-KV stores
  std::vector<const GatewayService*> KvStores() const;

  /// Returns a key that separates cached prefixes that must not be shared: by
  /// weight version, by isolated team, and by the set of isolated teams, since
  /// entries created before a team became isolated stay cached.
  /// @param team null if the request has no team
  std::string CacheScopeOf(const GatewayTeam* team,
                           std::uint64_t weight_version) const;

 private:
  void IndexTeams();
  void RankPriorities();

  ConfigVersion version_;
  std::vector<GatewayRoute> routes_;
  std::vector<GatewayService> services_;
  AccessControl access_ = AccessControl::kApiKeys;
  std::vector<GatewayTeam> teams_;
  CallerLimits limits_;
  /// Indexes into `routes_` by host, longest prefix first.
  absl::flat_hash_map<std::string, std::vector<std::size_t>> by_host_;
  absl::flat_hash_map<std::string, std::size_t> by_key_;
  absl::flat_hash_map<TeamId, std::size_t> by_team_;
  absl::flat_hash_map<ServiceId, ServiceRanks> ranks_;
  std::uint64_t isolation_hash_ = 0;
  bool has_quotas_ = false;
};

using GatewayConfigPtr = std::shared_ptr<const GatewayConfig>;

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_CONFIG_H_
