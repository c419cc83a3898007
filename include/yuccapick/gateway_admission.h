#ifndef YUCCAPICK_GATEWAY_ADMISSION_H_
#define YUCCAPICK_GATEWAY_ADMISSION_H_

/// @file
/// Checks a request against the configuration that is in force.

#include <cstdint>
#include <string_view>
#include <variant>

#include "yuccapick/gateway_config.h"

namespace yuccapick {

/// What admission reads of a request.
struct AdmissionQuery {
  std::string_view host;
  std::string_view target;  ///< Path, with or without a query.
  std::string_view key;     ///< Empty if none was sent.
};

struct AdmittedRoute {
  const GatewayRoute* route = nullptr;
  const GatewayTeam* team = nullptr;  ///< Null where no key is needed.
};

enum class AdmissionRefusal : std::uint8_t {
  kNoConfig,  ///< None is known yet, or it may be outdated.
  kUnknownRoute,
  kUnknownKey,
};

/// @param config in force, or null before the first one
/// @param confirmed the store or a peer confirmed `config` lately; without
///   that, what it does not permit may be permitted by a newer one
std::variant<AdmittedRoute, AdmissionRefusal> AdmitToRoute(
    const GatewayConfig* config, bool confirmed, const AdmissionQuery& query);

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_ADMISSION_H_
