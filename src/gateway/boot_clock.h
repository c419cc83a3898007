#ifndef YUCCAPICK_GATEWAY_BOOT_CLOCK_H_
#define YUCCAPICK_GATEWAY_BOOT_CLOCK_H_

/// @file
/// A clock that goes on while the machine is suspended.

#include "yuccapick/ids.h"

namespace yuccapick {

/// Time since the machine's start, including the time that it was suspended.
/// The steady clock doesn't include it.
TimePoint BootTimeNow();

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_BOOT_CLOCK_H_
