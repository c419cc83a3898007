#include "yuccapick/order_fence.h"

#include <fmt/format.h>

namespace yuccapick {

std::optional<Error> OrderFence::Check(const EngineOrder& order,
                                       const UpstreamInfo& upstream) {
  if (order.fence < highest_) {
    return Error{
        ErrorKind::kStaleFence, Execution::kNotRun,
        fmt::format("fencing token {} is lower than {}; release the lease",
                    order.fence.value, highest_.value),
        std::nullopt};
  }
  highest_ = order.fence;
  if (order.agent_incarnation != upstream.agent_incarnation) {
    return Error{
        ErrorKind::kWrongIncarnation, Execution::kNotRun,
        fmt::format("{} runs as incarnation {}; plan the order again",
                    upstream.id.value, upstream.agent_incarnation.value),
        std::nullopt};
  }
  return std::nullopt;
}

}  // namespace yuccapick
