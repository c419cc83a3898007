#include "yuccapick/store_contact.h"

namespace yuccapick {

bool StoreContact::InOutage(StoreTime now) const {
  return failing_since_ && now - *failing_since_ >= options_.min_outage;
}

void StoreContact::OnAnswer(StoreTime now) {
  if (!in_touch_since_ || InOutage(now)) in_touch_since_ = now;
  failing_since_.reset();
}

void StoreContact::OnFailure(StoreTime now) {
  if (!failing_since_) failing_since_ = now;
}

bool StoreContact::InTouchFor(std::chrono::milliseconds duration,
                              StoreTime now) const {
  if (!in_touch_since_ || InOutage(now)) return false;
  return now - *in_touch_since_ >= duration;
}

}  // namespace yuccapick
