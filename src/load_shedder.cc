#include "yuccapick/load_shedder.h"

#include <algorithm>

namespace yuccapick {
namespace {

using Seconds = std::chrono::duration<double>;

/// Bounds the effect of an update after a pause: the latency during the pause
/// is not known.
constexpr Seconds kMaxStep{0.5};
constexpr double kHashRange = 18'446'744'073'709'551'616.0;

}  // namespace

void LoadShedder::Update(std::chrono::milliseconds latency,
                         std::chrono::milliseconds target, TimePoint now) {
  const Seconds step = std::min<Seconds>(now - updated_at_, kMaxStep);
  updated_at_ = now;
  if (target.count() == 0) {
    share_ = 0.0;
    return;
  }
  const double latency_ratio = Seconds(latency) / Seconds(target);
  const double lateness =
      std::min(latency_ratio - options_.set_point, options_.max_lateness);
  const double rate = lateness > 0 ? options_.rise_gain : options_.fall_gain;
  share_ = std::clamp(share_ + rate * lateness * step.count(), 0.0,
                      options_.max_share);
}

std::chrono::milliseconds LoadShedder::RetryAfter() const {
  return options_.base_retry_after +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             options_.retry_after_per_share * share_);
}

bool LoadShedder::ShouldReject(std::uint64_t request_hash) const {
  return static_cast<double>(request_hash) < share_ * kHashRange;
}

}  // namespace yuccapick
