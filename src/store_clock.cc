#include "yuccapick/store_clock.h"

#include <algorithm>

namespace yuccapick {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kPeriod{60'000};

milliseconds SinceBoot(TimePoint boot_time) {
  return duration_cast<milliseconds>(boot_time.time_since_epoch());
}

}  // namespace

void StoreClockEstimate::OnAnswer(StoreTime answered_at,
                                  TimePoint received_at) {
  const milliseconds offset =
      answered_at.time_since_epoch() - SinceBoot(received_at);
  if (!current_) {
    current_ = Period{received_at, offset};
    return;
  }
  if (received_at - current_->began_at >= kPeriod) {
    previous_ = current_;
    current_ = Period{received_at, offset};
    return;
  }
  current_->offset = std::max(current_->offset, offset);
}

std::optional<StoreTime> StoreClockEstimate::Now(TimePoint boot_time) const {
  if (!current_) return std::nullopt;
  milliseconds offset = current_->offset;
  if (previous_) offset = std::max(offset, previous_->offset);
  return StoreTime(SinceBoot(boot_time) + offset);
}

}  // namespace yuccapick
