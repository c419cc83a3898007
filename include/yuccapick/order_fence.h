#ifndef YUCCAPICK_ORDER_FENCE_H_
#define YUCCAPICK_ORDER_FENCE_H_

/// @file
/// Refuses orders of planners whose lease has passed to another.

#include <optional>

#include "yuccapick/error.h"
#include "yuccapick/link_messages.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

/// Holds the highest fencing token that an order carried.
class OrderFence {
 public:
  /// Checks `order` and remembers its token.
  /// @return nothing if it may pass
  std::optional<Error> Check(const EngineOrder& order,
                             const UpstreamInfo& upstream);

  FencingToken highest() const { return highest_; }

 private:
  FencingToken highest_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ORDER_FENCE_H_
