#ifndef YUCCAPICK_STANDIN_WEIGHT_LOADER_H_
#define YUCCAPICK_STANDIN_WEIGHT_LOADER_H_

/// @file
/// Fetches weights from the weight store for an engine.

#include <functional>

#include "standin/role.h"

namespace yuccapick::standin {

/// Fetches `weights`, then waits for the engine's load time.
/// @param done called with false if the fetch failed
void LoadWeights(Context& context, const Weights& weights,
                 std::function<void(bool)> done);

}  // namespace yuccapick::standin

#endif  // YUCCAPICK_STANDIN_WEIGHT_LOADER_H_
