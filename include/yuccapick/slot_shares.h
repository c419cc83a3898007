#ifndef YUCCAPICK_SLOT_SHARES_H_
#define YUCCAPICK_SLOT_SHARES_H_

/// @file
/// Divides an upstream's slots among teams. As all routers' work for an
/// upstream passes its agent, shares hold over routers without any message.

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
  std::uint32_t queue_target = 4;  ///< Requests that may wait in the engine.
  double held_share = 1.0;  ///< Of a team's fair share, kept while unused.
  std::chrono::seconds memory{60};  ///< For how long past use counts.
};

/// Tracks the slots in use. A team may use every slot but those that other
/// teams used lately and are entitled to.
class SlotShares {
 public:
  explicit SlotShares(SlotSharesOptions options = {});

  // Commands.

  void SetWeight(const TeamId& team, double weight);
  void OnStarted(const TeamId& team, TimePoint now);
  void OnEnded(const TeamId& team);
  /// Fits the number of slots to what the engine works off without a queue.
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
    std::uint32_t last_peak = 0;
    TimePoint peak_since;
    TimePoint last_used;
  };

  double HeldFor(const Team& team, double weights, TimePoint now) const;
  bool IsActive(const Team& team, TimePoint now) const;

  SlotSharesOptions options_;
  double slots_;
  std::uint32_t running_ = 0;
  std::map<TeamId, Team> teams_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SLOT_SHARES_H_
