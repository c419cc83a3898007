#ifndef YUCCAPICK_PLACEMENT_COST_H_
#define YUCCAPICK_PLACEMENT_COST_H_

/// @file
/// The cost by which candidates for a request are compared.

namespace yuccapick {

/// What the cost of one candidate depends on. Times are in seconds.
struct CostInputs {
  double wait = 0;           ///< Until the engine would begin the request.
  double queue = 0;          ///< Of all work in the engine, urgent or not.
  double prefill = 0;        ///< Of the tokens that the engine does not hold.
  double round_trip = 0;     ///< To the engine.
  double utilisation = 0;    ///< Share of busy engines, from 0 to 1.
  double mean_prefill = 0;   ///< Of one request, over the fleet.
  double arrival_share = 1;  ///< Engine's arrivals relative to the mean.
  double reuses = 0;         ///< Requests that a new copy is expected to serve.
  double reuse_weight = 0.5;
  bool urgent = false;
};

/// Returns how many requests are delayed by work that is added to the engine:
/// those that arrive before its busy period ends.
double DelayedRequests(const CostInputs& inputs);

/// Returns the expected time to first token plus the delay that the request's
/// prefill causes to others. The latter is shared among the requests that the
/// computed copy will serve.
double PlacementCost(const CostInputs& inputs);

}  // namespace yuccapick

#endif  // YUCCAPICK_PLACEMENT_COST_H_
