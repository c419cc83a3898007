#ifndef YUCCAPICK_GATEWAY_ADMISSION_H_
#define YUCCAPICK_GATEWAY_ADMISSION_H_

/// @file
/// Admission of requests at the gateway: finds the route and team of a request
/// in the configuration in force.

#include <cstdint>
#include <string_view>
#include <variant>

#include "yuccapick/gateway_config.h"

namespace yuccapick {

/// The parts of a request that admission depends on.
struct AdmissionQuery {
  std::string_view host;
  std::string_view target;  ///< Path, with or without a query.
  std::string_view key;     ///< API key; empty if none was sent.
};

struct AdmittedRoute {
  const GatewayRoute* route = nullptr;
  const GatewayTeam* team = nullptr;  ///< Null if the request has no known key.
};

enum class AdmissionRefusal : std::uint8_t {
  kNoConfig,  ///< No configuration yet, or it may be outdated.
  kUnknownRoute,
  kUnknownKey,
};

/// Admits a request to a route or refuses it.
/// @param config configuration in force, or null before the first one
/// @param confirmed whether the store or a peer recently confirmed `config` as
///   current; if not, an unknown route or key is refused as `kNoConfig`, as a
///   newer configuration may know it
std::variant<AdmittedRoute, AdmissionRefusal> AdmitToRoute(
    const GatewayConfig* config, bool confirmed, const AdmissionQuery& query);

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_ADMISSION_H_
