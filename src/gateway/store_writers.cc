#include "gateway/store_writers.h"

#include <algorithm>

#include "absl/random/random.h"

namespace yuccapick {
namespace {

/// Expected number of gateways that write.
constexpr double kExpectedWriters = 12.0;

}  // namespace

double StoreWriterShare(std::size_t gateways) {
  return std::min(1.0, kExpectedWriters / static_cast<double>(gateways));
}

bool IsChosenWriter(GatewayState& state) {
  return absl::Bernoulli(state.random, StoreWriterShare(state.LiveGateways()));
}

}  // namespace yuccapick
