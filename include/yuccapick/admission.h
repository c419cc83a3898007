#ifndef YUCCAPICK_ADMISSION_H_
#define YUCCAPICK_ADMISSION_H_

/// @file
/// Admission of requests at the router: checks a request against the
/// configuration.

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
  WeightVersion weights;  ///< Weights that must answer; for model requests.
  TimePoint deadline;
  double team_weight = 1.0;
};

/// Admitted or refused. The error describes this request only, not earlier
/// requests with the same idempotency key; see `RefusalExecution`.
using AdmissionResult = std::variant<AdmittedRequest, Error>;

/// Checks team, service, model and size of `request`.
/// @param config configuration in force; null before the first one
AdmissionResult Admit(const ConfigPtr& config, const CallerRequest& request,
                      TimePoint now);

/// Returns the execution status to report when a request is refused before its
/// idempotency key is claimed. It is `kUnknown` for a non-idempotent request
/// with a key given by the caller, as it may repeat one that has run.
/// @param idempotent whether the route is idempotent; false if not yet known
Execution RefusalExecution(const CallerRequest& request, bool idempotent);

}  // namespace yuccapick

#endif  // YUCCAPICK_ADMISSION_H_
