#ifndef YUCCAPICK_UTIL_DETAIL_OUTCOME_FAULTS_H_
#define YUCCAPICK_UTIL_DETAIL_OUTCOME_FAULTS_H_

/// @file
/// Faults that a schedule can inject, and their names.

#include <array>
#include <bitset>
#include <cstdint>
#include <string>
#include <string_view>

namespace yuccapick::outcome {

enum class Fault : std::uint8_t {
  kRouterCrash,
  kAgentCrash,
  kUpstreamCrash,
  kRouterPause,
  kAgentPause,
  kLinkBreak,
  kLostAnswer,
  kLateWrite,
  kOutage,
  kDuplicate,
  kLateMessage,
  kChunkLoss,
  kTruncate,
  kCrossAnswer,
  kClockStep,
  kLeave,
  kRouterDrain,
  kRepeat,
};

inline constexpr std::size_t kFaultCount = 18;

inline constexpr std::array<std::string_view, kFaultCount> kFaultNames{
    "router_crash", "agent_crash",  "upstream_crash", "router_pause",
    "agent_pause",  "link_break",   "lost_answer",    "late_write",
    "outage",       "duplicate",    "late_message",   "chunk_loss",
    "truncate",     "cross_answer", "clock_step",     "leave",
    "router_drain", "repeat"};

using FaultSet = std::bitset<kFaultCount>;

inline bool Has(const FaultSet& faults, Fault fault) {
  return faults.test(static_cast<std::size_t>(fault));
}

/// Returns the names of the faults joined by `+`, or `none`.
inline std::string FaultSetName(const FaultSet& faults) {
  std::string name;
  for (std::size_t n = 0; n < kFaultCount; ++n) {
    if (!faults.test(n)) continue;
    if (!name.empty()) name += '+';
    name += kFaultNames[n];
  }
  return name.empty() ? "none" : name;
}

}  // namespace yuccapick::outcome

#endif  // YUCCAPICK_UTIL_DETAIL_OUTCOME_FAULTS_H_
