#ifndef YUCCAPICK_OVERLOAD_ROOM_H_
#define YUCCAPICK_OVERLOAD_ROOM_H_

/// @file
/// Decides whether an engine has room for a request, by the request's rank.

#include <chrono>
#include <cstdint>

#include "yuccapick/upstream_load.h"

namespace yuccapick {

/// What an engine must have room for.
struct RoomDemand {
  /// Position of the request's priority among those of its service; 0 is the
  /// most urgent one.
  std::uint32_t rank = 0;
  std::uint64_t kv_tokens = 0;  ///< KV memory of its prompt and answer.
  std::chrono::milliseconds target_latency{0};  ///< Of the request's route.
  /// Of the most urgent route of the service.
  std::chrono::milliseconds urgent_latency{0};
};

/// What an engine can take.
struct EngineCapacity {
  std::uint32_t slots = 0;           ///< 0 if it isn't known.
  std::uint64_t kv_tokens = 0;       ///< 0 if it isn't known.
  double prefill_tokens_per_ms = 0;  ///< 0 if it isn't known.
};

/// Limits of an engine's use, in order of rank. A rank may not use the part
/// that is reserved for more urgent ones, so that room that comes free goes to
/// them at every gateway without a message. Known work is some hundred
/// milliseconds old, but engines that are chosen at random get only few
/// requests in that time.
struct RoomLimits {
  /// Prompts ahead of the most urgent requests may take this share of their
  /// target latency.
  double urgent_wait_share = 0.4;
  /// Engines begin the most urgent requests first, so that only this share of
  /// the other prompts counts as ahead of them.
  double others_ahead_share = 0.1;
  /// Prompts ahead of all others may take this share of their own target, or of
  /// the most urgent one's: engines compute prompts in pieces between the
  /// tokens of all that run, so that long ones delay the most urgent.
  double own_wait_share = 0.5;
  double reserved_wait_share = 0.6;
  /// Shares of the KV memory that may be in use. Engines preempt requests when
  /// they run out of memory.
  double urgent_kv_share = 0.95;
  double kv_share = 0.85;
  /// Shares of the slots that may be in use.
  double urgent_slot_share = 1.0;
  double slot_share = 0.85;
  /// Each further rank may use this share of what the one before it may.
  double next_rank_share = 0.8;
};

/// Why an engine has no room, or that it has.
enum class RoomVerdict : std::uint8_t { kRoom, kBacklog, kMemory, kSlots };

/// @return whether the engine can soon begin the request
RoomVerdict CheckRoom(const RoomDemand& demand, const EngineCapacity& capacity,
                      const WorkAmount& work, const RoomLimits& limits);

/// @return the time until the engine has computed as many of the prompts ahead
///   that the request may be sent; 0 if these aren't what it lacks room for
std::chrono::milliseconds TimeUntilBacklogFits(const RoomDemand& demand,
                                               const EngineCapacity& capacity,
                                               const WorkAmount& work,
                                               const RoomLimits& limits);

}  // namespace yuccapick

#endif  // YUCCAPICK_OVERLOAD_ROOM_H_
