#include "yuccapick/placement_cost.h"

#include <algorithm>

namespace yuccapick {
namespace {

/// Keeps the busy period finite when the fleet is overloaded.
constexpr double kMaxUtilisation = 0.9;
/// Weight of other requests' delay for a service with a reuse weight of 0.
constexpr double kBaseDelayWeight = 0.5;
constexpr double kMinMeanPrefillSeconds = 0.001;

}  // namespace

double DelayedRequests(const CostInputs& inputs) {
  const double utilisation =
      std::clamp(inputs.utilisation, 0.0, kMaxUtilisation);
  const double mean = std::max(inputs.mean_prefill, kMinMeanPrefillSeconds);
  const double arrivals_per_second = inputs.arrival_share * utilisation / mean;
  const double busy_period =
      (inputs.queue + inputs.prefill) / (1.0 - utilisation);
  double delayed = arrivals_per_second * busy_period;
  // Urgent work also delays the requests that are already queued.
  if (inputs.urgent) delayed += inputs.queue / mean;
  return delayed;
}

double PlacementCost(const CostInputs& inputs) {
  const double first_token = inputs.round_trip + inputs.wait + inputs.prefill;
  const double delay_of_others = inputs.prefill * DelayedRequests(inputs);
  const double weight =
      (kBaseDelayWeight + inputs.reuse_weight) / (1.0 + inputs.reuses);
  return first_token + weight * delay_of_others;
}

}  // namespace yuccapick
