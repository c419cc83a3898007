#include "yuccapick/placement_cost.h"

#include <algorithm>

namespace yuccapick {
namespace {

/// Keeps the busy period finite when more arrives than the fleet can do.
constexpr double kHighestUtilisation = 0.9;
/// Weight of others' delay for a service that weighs first token only.
constexpr double kLowestReuseWeight = 0.5;
constexpr double kShortestMeanPrefill = 0.001;

}  // namespace

double DelayedRequests(const CostInputs& inputs) {
  const double utilisation =
      std::clamp(inputs.utilisation, 0.0, kHighestUtilisation);
  const double mean = std::max(inputs.mean_prefill, kShortestMeanPrefill);
  const double arrivals_per_second = inputs.arrival_share * utilisation / mean;
  const double busy_period =
      (inputs.queue + inputs.prefill) / (1.0 - utilisation);
  double delayed = arrivals_per_second * busy_period;
  // Urgent work also overtakes what is queued already.
  if (inputs.urgent) delayed += inputs.queue / mean;
  return delayed;
}

double PlacementCost(const CostInputs& inputs) {
  const double first_token = inputs.hop + inputs.wait + inputs.prefill;
  const double delay_of_others = inputs.prefill * DelayedRequests(inputs);
  const double weight =
      (kLowestReuseWeight + inputs.reuse_weight) / (1.0 + inputs.reuses);
  return first_token + weight * delay_of_others;
}

}  // namespace yuccapick
