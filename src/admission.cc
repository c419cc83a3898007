#include "yuccapick/admission.h"

#include <fmt/format.h>

#include <algorithm>

namespace yuccapick {
namespace {

template <typename Id>
bool Contains(const std::vector<Id>& ids, const Id& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

Error Refuse(ErrorKind kind, std::string message) {
  return {kind, Execution::kNotRun, std::move(message), std::nullopt};
}

/// Sets `weights` to the version that must answer, or returns why the model or
/// adapter is not available.
std::optional<Error> AdmitModel(const ConfigSnapshot& config,
                                const ServiceConfig& service,
                                const CallerRequest& request,
                                WeightVersion& weights) {
  const ModelConfig* model = config.FindModel(request.model);
  if (model == nullptr || !Contains(service.models, request.model)) {
    return Refuse(ErrorKind::kNotFound,
                  fmt::format("service {} has no model '{}'; use a model that "
                              "its file lists",
                              service.id.value, request.model.value));
  }
  const bool adapter_known =
      request.adapter.empty() || (Contains(service.adapters, request.adapter) &&
                                  Contains(model->adapters, request.adapter));
  if (!adapter_known) {
    return Refuse(
        ErrorKind::kNotFound,
        fmt::format("model {} has no adapter '{}' for service {}; "
                    "add it to both files",
                    model->id.value, request.adapter.value, service.id.value));
  }
  weights = model->weights;
  return std::nullopt;
}

}  // namespace

Execution RefusalExecution(const CallerRequest& request, bool idempotent) {
  const bool may_repeat = !idempotent && !request.key.empty();
  return may_repeat ? Execution::kUnknown : Execution::kNotRun;
}

AdmissionResult Admit(const ConfigPtr& config, const CallerRequest& request,
                      TimePoint now) {
  if (config == nullptr) {
    return Refuse(ErrorKind::kNotReady,
                  "no configuration is in force yet; try another router");
  }
  const ServiceConfig* service = config->FindService(request.service);
  if (service == nullptr) {
    return Refuse(ErrorKind::kNotFound,
                  fmt::format("unknown service '{}'; publish a file for it",
                              request.service.value));
  }
  const TeamConfig* team = config->FindTeam(request.team);
  const bool team_admitted =
      service->teams.empty() || Contains(service->teams, request.team);
  if (team == nullptr || !team_admitted) {
    return Refuse(ErrorKind::kForbidden,
                  fmt::format("team {} may not call service {}; add it to the "
                              "service's teams",
                              request.team.value, service->id.value));
  }
  if (request.body.size() > service->max_body_bytes) {
    return Refuse(ErrorKind::kPayloadTooLarge,
                  fmt::format("the body has {} bytes, service {} accepts {}; "
                              "send a smaller body",
                              request.body.size(), service->id.value,
                              service->max_body_bytes));
  }
  const bool plain_request = request.kind == RequestKind::kPlain;
  if (plain_request != (service->kind == ServiceKind::kPlain)) {
    return Refuse(ErrorKind::kBadRequest,
                  fmt::format("service {} is of another kind; call it by its "
                              "own path",
                              service->id.value));
  }
  AdmittedRequest admitted;
  admitted.config = config;
  admitted.service = service;
  admitted.route = ClassifyRoute(*service, request.method, request.target);
  admitted.team_weight = team->weight;
  const bool own_deadline =
      request.deadline.count() > 0 && request.deadline < service->deadline;
  admitted.deadline =
      now + (own_deadline ? request.deadline : service->deadline);
  if (!plain_request) {
    std::optional<Error> error =
        AdmitModel(*config, *service, request, admitted.weights);
    if (error) return *error;
  }
  return admitted;
}

}  // namespace yuccapick
