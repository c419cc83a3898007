#ifndef YUCCAPICK_CONFIG_SNAPSHOT_H_
#define YUCCAPICK_CONFIG_SNAPSHOT_H_

/// @file
/// A validated configuration, as routing and admission read it.

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "yuccapick/ids.h"

namespace yuccapick {

/// A team that may call services.
struct TeamConfig {
  TeamId id;
  std::vector<std::string> token_sha256;  ///< Lower-case hex digests.
  double weight = 1.0;                    ///< Share relative to other teams.

  bool operator==(const TeamConfig&) const = default;
};

/// A model, its adapters and the weight version to serve.
struct ModelConfig {
  ModelId id;
  WeightVersion weights;
  std::vector<AdapterId> adapters;
  std::uint32_t min_replicas = 1;

  bool operator==(const ModelConfig&) const = default;
};

/// Rule for the requests of one route of a service.
struct RouteRule {
  std::string method;       ///< Empty matches every method.
  std::string path_prefix;  ///< Below the service, begins with `/`.
  bool idempotent = true;
  bool urgent = false;

  bool operator==(const RouteRule&) const = default;
};

enum class ServiceKind : std::uint8_t { kModel, kPlain };

/// A service: the models it may use or the plain upstreams behind it.
struct ServiceConfig {
  ServiceId id;
  ServiceKind kind = ServiceKind::kModel;
  std::vector<TeamId> teams;  ///< Empty allows every team.
  std::vector<ModelId> models;
  std::vector<AdapterId> adapters;
  std::vector<RouteRule> routes;  ///< The first match applies.
  bool urgent = false;            ///< For requests that no route matches.
  bool idempotent = true;         ///< For requests that no route matches.
  double reuse_weight = 0.5;  ///< 0: time to first token only; 1: reuse only.
  std::uint64_t max_body_bytes = 1 << 20;
  std::uint32_t max_concurrency = 0;  ///< Per router; 0 means unlimited.
  std::chrono::milliseconds deadline{60'000};

  bool operator==(const ServiceConfig&) const = default;
};

/// A configuration. Immutable once published.
struct ConfigSnapshot {
  ConfigVersion version;
  std::string content_hash;
  std::vector<TeamConfig> teams;        ///< Sorted by id.
  std::vector<ModelConfig> models;      ///< Sorted by id.
  std::vector<ServiceConfig> services;  ///< Sorted by id.

  /// Returns the entry or null.
  const TeamConfig* FindTeam(const TeamId& id) const;
  const ModelConfig* FindModel(const ModelId& id) const;
  const ServiceConfig* FindService(const ServiceId& id) const;
};

using ConfigPtr = std::shared_ptr<const ConfigSnapshot>;

/// Properties of a call, as set by the service's routes.
struct RouteClass {
  bool idempotent = true;
  bool urgent = false;
};

/// Classifies a call by the first matching route of `service`; without a match
/// the service's own settings apply.
/// @param path path relative to the service, beginning with `/`
RouteClass ClassifyRoute(const ServiceConfig& service, std::string_view method,
                         std::string_view path);

}  // namespace yuccapick

#endif  // YUCCAPICK_CONFIG_SNAPSHOT_H_
