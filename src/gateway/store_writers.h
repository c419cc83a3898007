#ifndef YUCCAPICK_GATEWAY_STORE_WRITERS_H_
#define YUCCAPICK_GATEWAY_STORE_WRITERS_H_

/// @file
/// Chooses the few gateways that write what all of them know to the store.

#include <cstddef>

#include "gateway/gateway_state.h"

namespace yuccapick {

/// Probability with which a gateway writes, so that not all gateways call the
/// store. The probability that none writes is below 1 in 100,000.
/// @param gateways number of live gateways, including this one
double StoreWriterShare(std::size_t gateways);

/// Draws whether this gateway writes.
bool IsChosenWriter(GatewayState& state);

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_STORE_WRITERS_H_
