#include "yuccapick/gateway_admission.h"

namespace yuccapick {

std::variant<AdmittedRoute, AdmissionRefusal> AdmitToRoute(
    const GatewayConfig* config, bool confirmed, const AdmissionQuery& query) {
  if (config == nullptr) return AdmissionRefusal::kNoConfig;
  const std::string_view path = query.target.substr(0, query.target.find('?'));
  AdmittedRoute permit;
  permit.route = config->FindRoute(query.host, path);
  if (permit.route == nullptr) {
    return confirmed ? AdmissionRefusal::kUnknownRoute
                     : AdmissionRefusal::kNoConfig;
  }
  if (!query.key.empty()) permit.team = config->FindTeam(query.key);
  const bool needs_key = config->has_teams() && !permit.route->anonymous;
  if (needs_key && permit.team == nullptr) {
    return confirmed ? AdmissionRefusal::kUnknownKey
                     : AdmissionRefusal::kNoConfig;
  }
  return permit;
}

}  // namespace yuccapick
