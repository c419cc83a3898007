#include "yuccapick/overload/room.h"

#include <algorithm>
#include <cmath>

namespace yuccapick {
namespace {

using Time = std::chrono::duration<double, std::milli>;

double RankShare(const RoomDemand& demand, const RoomLimits& limits) {
  return demand.rank < 2 ? 1.0
                         : std::pow(limits.next_rank_share, demand.rank - 1);
}

Time LongestBacklog(const RoomDemand& demand, const RoomLimits& limits) {
  if (demand.rank == 0) {
    return limits.urgent_wait_share * Time(demand.target_latency);
  }
  const Time own = limits.own_wait_share * Time(demand.target_latency);
  const Time reserved =
      limits.reserved_wait_share * Time(demand.urgent_latency);
  return std::min(own, reserved) * RankShare(demand, limits);
}

Time Backlog(const RoomDemand& demand, const EngineCapacity& capacity,
             const WorkAmount& work, const RoomLimits& limits) {
  if (capacity.prefill_tokens_per_ms <= 0) return Time(0);
  auto tokens = static_cast<double>(work.prefill_tokens);
  if (demand.rank == 0) {
    const auto urgent = static_cast<double>(work.urgent_tokens);
    tokens = urgent + limits.others_ahead_share * (tokens - urgent);
  }
  return Time(tokens / capacity.prefill_tokens_per_ms);
}

bool Exceeds(double used, double capacity, double share) {
  return capacity > 0 && used > capacity * share;
}

}  // namespace

RoomVerdict CheckRoom(const RoomDemand& demand, const EngineCapacity& capacity,
                      const WorkAmount& work, const RoomLimits& limits) {
  // An idle engine takes every request: it would wait for nothing.
  if (work.requests == 0) return RoomVerdict::kRoom;
  const bool urgent = demand.rank == 0;
  const double rank_share = RankShare(demand, limits);
  const double slot_share =
      urgent ? limits.urgent_slot_share : limits.slot_share * rank_share;
  if (Exceeds(work.requests + 1.0, capacity.slots, slot_share)) {
    return RoomVerdict::kSlots;
  }
  const double kv_share =
      urgent ? limits.urgent_kv_share : limits.kv_share * rank_share;
  const auto kv_tokens = static_cast<double>(work.kv_tokens + demand.kv_tokens);
  if (Exceeds(kv_tokens, static_cast<double>(capacity.kv_tokens), kv_share)) {
    return RoomVerdict::kMemory;
  }
  if (Backlog(demand, capacity, work, limits) >
      LongestBacklog(demand, limits)) {
    return RoomVerdict::kBacklog;
  }
  return RoomVerdict::kRoom;
}

std::chrono::milliseconds TimeUntilBacklogFits(const RoomDemand& demand,
                                               const EngineCapacity& capacity,
                                               const WorkAmount& work,
                                               const RoomLimits& limits) {
  const Time excess =
      Backlog(demand, capacity, work, limits) - LongestBacklog(demand, limits);
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::max(excess, Time(0)));
}

}  // namespace yuccapick
