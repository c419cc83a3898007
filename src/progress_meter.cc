#include "yuccapick/progress_meter.h"

#include <limits>
#include <utility>

namespace yuccapick {

void ProgressMeter::Start(TimePoint now) {
  window_began_at_ = now;
  window_bytes_ = 0;
  recent_began_at_ = now;
  counted_bytes_ = 0;
  recent_bytes_ = std::numeric_limits<std::size_t>::max();
}

void ProgressMeter::OnBytes(std::size_t bytes) {
  window_bytes_ += bytes;
  counted_bytes_ += bytes;
}

bool ProgressMeter::IsTooSlow(const ProgressRule& rule, TimePoint now) {
  if (now - recent_began_at_ >= kRecentWindow) {
    recent_began_at_ = now;
    recent_bytes_ = std::exchange(counted_bytes_, 0);
  }
  const std::chrono::duration<double> elapsed = now - window_began_at_;
  if (elapsed < rule.window) return false;
  const bool too_slow = static_cast<double>(window_bytes_) <
                        rule.min_bytes_per_s * elapsed.count();
  window_began_at_ = now;
  window_bytes_ = 0;
  return too_slow;
}

}  // namespace yuccapick
