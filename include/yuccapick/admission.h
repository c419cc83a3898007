#ifndef YUCCAPICK_ADMISSION_H_
#define YUCCAPICK_ADMISSION_H_

/// @file
/// First stage of the router: checks a request against the configuration.

#include <chrono>
#include <variant>

#include "yuccapick/config_snapshot.h"
#include "yuccapick/error.h"
#include "yuccapick/ids.h"
#include "yuccapick/router_events.h"

namespace yuccapick {

/// A request that the configuration permits.
struct AdmittedRequest {
  ConfigPtr config;  ///< Keeps `service` alive.
  const ServiceConfig* service = nullptr;
  RouteClass route;
  WeightVersion weights;  ///< For model requests.
  TimePoint deadline;
  double team_weight = 1.0;
};

/// Permitted or refused. A refusal says nothing of earlier requests that
/// carried the same key; see `RefusalExecution`.
using AdmissionResult = std::variant<AdmittedRequest, Error>;

/// Checks team, service, model and size of `request`.
/// @param config configuration in force; null before the first one
AdmissionResult Admit(const ConfigPtr& config, const CallerRequest& request,
                      TimePoint now);

/// What a refusal before the claim can say of execution. A request that
/// carries the caller's own key may repeat one that has run.
/// @param idempotent class of the request, false if not yet known
Execution RefusalExecution(const CallerRequest& request, bool idempotent);

}  // namespace yuccapick

#endif  // YUCCAPICK_ADMISSION_H_
