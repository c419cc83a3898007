#ifndef YUCCAPICK_SLOT_SHARES_H_
#define YUCCAPICK_SLOT_SHARES_H_

/// @file
/// Divides an upstream's slots (concurrent attempts) among teams. As all
/// routers reach an upstream through its one agent, the shares hold over all
/// routers without coordination.

#include <chrono>
#include <cstdint>
#include <map>

#include "yuccapick/ids.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

struct SlotSharesOptions {
  std::uint32_t min_slots = 4;
  std::uint32_t initial_slots = 64;
  std::uint32_t max_slots = 1'024;
  std::uint32_t max_engine_queue = 4;  ///< Queued requests in the engine.
  double reserved_share = 1.0;  ///< Of a team's fair share, while unused.
  std::chrono::seconds usage_window{60};  ///< How long past use counts.
};

/// Tracks the slots in use. A team may use every slot except those reserved for
/// other teams: their fair shares, as far as they used them recently.
class SlotShares {
 public:
  explicit SlotShares(SlotSharesOptions options = {});

  // Commands.

  void SetWeight(const TeamId& team, double weight);
  void OnStarted(const TeamId& team, TimePoint now);
  void OnEnded(const TeamId& team);
  /// Adapts the number of slots to the engine's load: shrinks it while the
  /// engine queues more than `max_engine_queue` requests, else grows it if
  /// attempts wait here.
  /// @param work_waits whether attempts wait for a slot
  void OnLoad(const LoadReport& load, bool work_waits);

  // Queries.

  bool MayStart(const TeamId& team, TimePoint now) const;
  std::uint32_t running() const { return running_; }
  std::uint32_t slots() const { return static_cast<std::uint32_t>(slots_); }

 private:
  struct Team {
    double weight = 1.0;
    std::uint32_t running = 0;
    std::uint32_t peak = 0;  ///< Of `running`, since `peak_since`.
    std::uint32_t previous_peak = 0;
    TimePoint peak_since;
    TimePoint last_started_at;
  };

  double ReservedFor(const Team& team, double weights, TimePoint now) const;
  bool IsActive(const Team& team, TimePoint now) const;

  SlotSharesOptions options_;
  double slots_;
  std::uint32_t running_ = 0;
  std::map<TeamId, Team> teams_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SLOT_SHARES_H_
