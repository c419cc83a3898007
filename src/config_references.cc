#include "yuccapick/config_references.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>

namespace yuccapick {
namespace {

absl::Status DanglingReferenceError(const ServiceConfig& service,
                                    std::string_view kind,
                                    const std::string& name) {
  return absl::FailedPreconditionError(
      fmt::format("service '{}' names {} '{}', which does not exist any more; "
                  "remove it from the service or keep the {}",
                  service.id.value, kind, name, kind));
}

bool HasAdapter(const ConfigSnapshot& snapshot, const AdapterId& id) {
  return std::any_of(snapshot.models.begin(), snapshot.models.end(),
                     [&](const ModelConfig& model) {
                       return std::find(model.adapters.begin(),
                                        model.adapters.end(),
                                        id) != model.adapters.end();
                     });
}

absl::Status CheckService(const ConfigSnapshot& snapshot,
                          const ServiceConfig& service) {
  for (const TeamId& id : service.teams) {
    if (snapshot.FindTeam(id) == nullptr) {
      return DanglingReferenceError(service, "team", id.value);
    }
  }
  for (const ModelId& id : service.models) {
    if (snapshot.FindModel(id) == nullptr) {
      return DanglingReferenceError(service, "model", id.value);
    }
  }
  for (const AdapterId& id : service.adapters) {
    if (!HasAdapter(snapshot, id)) {
      return DanglingReferenceError(service, "adapter", id.value);
    }
  }
  return absl::OkStatus();
}

/// Two operators may each have assigned the same token to a team.
absl::Status CheckTokens(const ConfigSnapshot& snapshot) {
  std::map<std::string, TeamId> owners;
  for (const TeamConfig& team : snapshot.teams) {
    for (const std::string& token : team.token_sha256) {
      const auto [it, inserted] = owners.emplace(token, team.id);
      if (inserted || it->second == team.id) continue;
      return absl::FailedPreconditionError(
          fmt::format("teams '{}' and '{}' share a token; give each its own",
                      it->second.value, team.id.value));
    }
  }
  return absl::OkStatus();
}

}  // namespace

absl::Status CheckReferences(const ConfigSnapshot& snapshot) {
  for (const ServiceConfig& service : snapshot.services) {
    const absl::Status status = CheckService(snapshot, service);
    if (!status.ok()) return status;
  }
  return CheckTokens(snapshot);
}

}  // namespace yuccapick
