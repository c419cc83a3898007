#include "yuccapick/load_shedder.h"

#include <algorithm>

namespace yuccapick {
namespace {

using Seconds = std::chrono::duration<double>;

/// A longer pause between two updates says nothing about its length.
constexpr Seconds kLongestStep{0.5};
constexpr double kHashes = 18'446'744'073'709'551'616.0;

}  // namespace

void LoadShedder::Update(std::chrono::milliseconds begins,
                         std::chrono::milliseconds target, TimePoint now) {
  const Seconds step = std::min<Seconds>(now - updated_at_, kLongestStep);
  updated_at_ = now;
  if (target.count() == 0) {
    share_ = 0.0;
    return;
  }
  const double targets = Seconds(begins) / Seconds(target);
  const double late =
      std::min(targets - options_.set_point, options_.most_late);
  const double rate = late > 0 ? options_.rise : options_.fall;
  share_ = std::clamp(share_ + rate * late * step.count(), 0.0, options_.most);
}

std::chrono::milliseconds LoadShedder::RetryAfter() const {
  return options_.first_return +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             options_.return_by_share * share_);
}

bool LoadShedder::ShouldReject(std::uint64_t request_hash) const {
  return static_cast<double>(request_hash) < share_ * kHashes;
}

}  // namespace yuccapick
