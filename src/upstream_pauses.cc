#include "yuccapick/upstream_pauses.h"

#include <algorithm>

namespace yuccapick {

using std::chrono::milliseconds;

milliseconds UpstreamPauses::OnAsked(const UpstreamId& upstream,
                                     Incarnation incarnation,
                                     milliseconds pause, double draw,
                                     TimePoint now) {
  const milliseconds asked = std::min(pause, options_.longest);
  const auto spread = std::min(
      options_.longest_spread,
      std::chrono::duration_cast<milliseconds>(asked * options_.spread));
  const milliseconds length =
      asked + std::chrono::duration_cast<milliseconds>(spread * draw);
  if (!pauses_.contains(upstream) && pauses_.size() >= options_.max_upstreams) {
    return milliseconds(0);
  }
  pauses_[upstream] = {incarnation, now + length};
  return length;
}

void UpstreamPauses::OnTick(TimePoint now) {
  std::erase_if(pauses_,
                [now](const auto& entry) { return now >= entry.second.until; });
}

milliseconds UpstreamPauses::WaitFor(const UpstreamId& upstream,
                                     Incarnation incarnation,
                                     TimePoint now) const {
  const auto it = pauses_.find(upstream);
  if (it == pauses_.end() || it->second.incarnation != incarnation) {
    return milliseconds(0);
  }
  if (now >= it->second.until) return milliseconds(0);
  return std::chrono::ceil<milliseconds>(it->second.until - now);
}

}  // namespace yuccapick
