#include "yuccapick/gateway_admission.h"

namespace yuccapick {

std::variant<AdmittedRoute, AdmissionRefusal> AdmitToRoute(
    const GatewayConfig* config, bool confirmed, const AdmissionQuery& query) {
  if (config == nullptr) return AdmissionRefusal::kNoConfig;
  const std::string_view path = query.target.substr(0, query.target.find('?'));
  AdmittedRoute admitted;
  admitted.route = config->FindRoute(query.host, path);
  if (admitted.route == nullptr) {
    return confirmed ? AdmissionRefusal::kUnknownRoute
                     : AdmissionRefusal::kNoConfig;
  }
  if (!query.key.empty()) admitted.team = config->FindTeam(query.key);
  const bool needs_key =
      config->access() == AccessControl::kApiKeys && !admitted.route->anonymous;
  if (needs_key && admitted.team == nullptr) {
    return confirmed ? AdmissionRefusal::kUnknownKey
                     : AdmissionRefusal::kNoConfig;
  }
  return admitted;
}

}  // namespace yuccapick
