#ifndef YUCCAPICK_ORDER_HISTORY_H_
#define YUCCAPICK_ORDER_HISTORY_H_

/// @file
/// Which upstreams got orders lately, for the next holder of a duty.

#include <chrono>
#include <map>
#include <string>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Orders of two holders to one upstream must keep apart. A holder notes when
/// it ordered what; the next one takes the note over with the lease.
class OrderHistory {
 public:
  /// @param gap between orders of two holders to one upstream
  explicit OrderHistory(std::chrono::milliseconds gap) : gap_(gap) {}

  // Commands.

  void OnOrder(const UpstreamId& upstream, TimePoint now);
  /// Takes over what the predecessor noted.
  /// @return false if the note cannot be read
  bool TakeOver(const std::string& note, TimePoint now);
  void Clear();

  // Queries.

  /// False while an order of the predecessor may be too near.
  bool MayOrder(const UpstreamId& upstream, TimePoint now) const;
  /// Note for the next holder: upstreams and the ages of their orders.
  std::string Note(TimePoint now) const;

 private:
  std::chrono::milliseconds gap_;
  std::map<UpstreamId, TimePoint> own_;          ///< Last order.
  std::map<UpstreamId, TimePoint> predecessor_;  ///< Last order.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ORDER_HISTORY_H_
