#ifndef YUCCAPICK_INCARNATION_H_
#define YUCCAPICK_INCARNATION_H_

/// @file
/// Numbers for the lives of processes that keep nothing.

#include <chrono>
#include <cstdint>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Bits below the time that are random, so that two starts within one
/// millisecond or with a clock set back do not meet on one number.
inline constexpr int kIncarnationRandomBits = 20;

/// Makes the number of a new life from wall-clock time and randomness.
/// @param unix_time since 1970, of the wall clock
/// @param random fresh bits of a random device
/// @param floor highest earlier number known; the result is above it
constexpr Incarnation MakeIncarnation(std::chrono::milliseconds unix_time,
                                      std::uint64_t random,
                                      Incarnation floor = Incarnation()) {
  const std::uint64_t low = random & ((1ULL << kIncarnationRandomBits) - 1);
  const auto high = static_cast<std::uint64_t>(unix_time.count());
  const Incarnation made((high << kIncarnationRandomBits) | low);
  return made > floor ? made : Incarnation(floor.value + 1 + low);
}

}  // namespace yuccapick

#endif  // YUCCAPICK_INCARNATION_H_
