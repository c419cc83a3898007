#include "yuccapick/pause_detector.h"

#include <utility>

namespace yuccapick {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::optional<ProcessPause> PauseDetector::OnTick(TimePoint now,
                                                  TimePoint boot_time) {
  const std::optional<Tick> previous =
      std::exchange(previous_, Tick{now, boot_time});
  if (!previous) return std::nullopt;
  const auto duration =
      duration_cast<milliseconds>(boot_time - previous->boot_time);
  if (duration < min_pause_) return std::nullopt;
  const auto running = duration_cast<milliseconds>(now - previous->now);
  return ProcessPause{duration, duration - running};
}

}  // namespace yuccapick
