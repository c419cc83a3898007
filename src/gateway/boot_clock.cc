#include "gateway/boot_clock.h"

#include <ctime>

namespace yuccapick {

TimePoint BootTimeNow() {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace yuccapick
