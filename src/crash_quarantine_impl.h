#ifndef YUCCAPICK_CRASH_QUARANTINE_IMPL_H_
#define YUCCAPICK_CRASH_QUARANTINE_IMPL_H_

/// @file
/// Helpers that the parts of `CrashQuarantine` share.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

#include "yuccapick/crash_quarantine.h"

namespace yuccapick::detail {

inline constexpr std::size_t kCoordinatorsPerSuspect = 2;
/// Limits the observations of each sort in one report, so that it fits a
/// datagram.
inline constexpr std::size_t kMaxReported = 200;

/// One crash breaks several requests with the same suspect.
inline bool IsSame(const SuspectCrash& a, const SuspectCrash& b) {
  return a.suspect == b.suspect && a.upstream == b.upstream;
}

template <typename T>
bool IsSame(const T& a, const T& b) {
  return a == b;
}

/// Of decisions with the same time the first one would count.
inline StoreTime NextDecisionTime(const SuspectDecision& last, StoreTime now) {
  return std::max(now, last.decided_at + std::chrono::milliseconds(1));
}

/// Appends an observation unless the list is full or has the same one.
template <typename T>
void AppendNew(std::vector<T>& list, const T& observation) {
  if (list.size() >= kMaxReported) return;
  const bool known = std::any_of(list.begin(), list.end(), [&](const T& it) {
    return IsSame(it, observation);
  });
  if (!known) list.push_back(observation);
}

}  // namespace yuccapick::detail

#endif  // YUCCAPICK_CRASH_QUARANTINE_IMPL_H_
