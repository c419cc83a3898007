#ifndef YUCCAPICK_ORDER_FENCE_H_
#define YUCCAPICK_ORDER_FENCE_H_

/// @file
/// Rejects orders of planners that have lost their lease.

#include <optional>

#include "yuccapick/error.h"
#include "yuccapick/link_messages.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

/// Tracks the highest fencing token seen in an order.
class OrderFence {
 public:
  /// Checks the fencing token and agent incarnation of `order`, and records the
  /// token unless it is stale.
  /// @return nothing if `order` may be forwarded
  std::optional<Error> Check(const EngineOrder& order,
                             const UpstreamInfo& upstream);

  FencingToken highest() const { return highest_; }

 private:
  FencingToken highest_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ORDER_FENCE_H_
