#include "yuccapick/config_snapshot.h"

#include <algorithm>

namespace yuccapick {
namespace {

template <typename Entry, typename Id>
const Entry* FindSorted(const std::vector<Entry>& entries, const Id& id) {
  auto it = std::lower_bound(
      entries.begin(), entries.end(), id,
      [](const Entry& entry, const Id& key) { return entry.id < key; });
  if (it == entries.end() || it->id != id) return nullptr;
  return &*it;
}

}  // namespace

const TeamConfig* ConfigSnapshot::FindTeam(const TeamId& id) const {
  return FindSorted(teams, id);
}

const ModelConfig* ConfigSnapshot::FindModel(const ModelId& id) const {
  return FindSorted(models, id);
}

const ServiceConfig* ConfigSnapshot::FindService(const ServiceId& id) const {
  return FindSorted(services, id);
}

RouteClass ClassifyRoute(const ServiceConfig& service, std::string_view method,
                         std::string_view path) {
  for (const RouteRule& rule : service.routes) {
    const bool method_matches = rule.method.empty() || rule.method == method;
    if (method_matches && path.starts_with(rule.path_prefix)) {
      return {rule.idempotent, rule.urgent};
    }
  }
  return {service.idempotent, service.urgent};
}

}  // namespace yuccapick
