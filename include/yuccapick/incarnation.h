#ifndef YUCCAPICK_INCARNATION_H_
#define YUCCAPICK_INCARNATION_H_

/// @file
/// Incarnation numbers for processes without persistent state.

#include <chrono>
#include <cstdint>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Number of random low bits, which keep the numbers of two starts within one
/// millisecond, or after the clock was set back, from colliding.
inline constexpr int kIncarnationRandomBits = 20;

/// Makes a new incarnation number from wall-clock time and random bits.
/// @param unix_time wall-clock time since 1970
/// @param random fresh bits of a random device
/// @param floor highest earlier number known; the result is greater
constexpr Incarnation MakeIncarnation(std::chrono::milliseconds unix_time,
                                      std::uint64_t random,
                                      Incarnation floor = Incarnation()) {
  const std::uint64_t low = random & ((1ULL << kIncarnationRandomBits) - 1);
  const auto high = static_cast<std::uint64_t>(unix_time.count());
  const Incarnation number((high << kIncarnationRandomBits) | low);
  return number > floor ? number : Incarnation(floor.value + 1 + low);
}

}  // namespace yuccapick

#endif  // YUCCAPICK_INCARNATION_H_
