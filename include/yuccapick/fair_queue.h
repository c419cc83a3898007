#ifndef YUCCAPICK_FAIR_QUEUE_H_
#define YUCCAPICK_FAIR_QUEUE_H_

/// @file
/// Bounded weighted fair queue over teams, with a priority class for urgent
/// work.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "yuccapick/ids.h"

namespace yuccapick {

/// An attempt that waits for a slot.
struct QueuedWork {
  AttemptId attempt;
  TeamId team;
  double weight = 1.0;  ///< Of the team.
  double cost = 1.0;    ///< In any unit that is the same for all work.
  bool urgent = false;
  TimePoint deadline;
};

struct FairQueueOptions {
  std::size_t max_per_team = 64;
  std::size_t max_total = 1'024;
  /// After this many consecutive urgent starts, one normal entry starts if any
  /// waits.
  std::uint32_t max_urgent_in_row = 7;
};

/// Start-time fair queueing in two priority classes. Urgent work goes first,
/// but one in `max_urgent_in_row + 1` starts is left to normal work, so that it
/// does not starve.
class FairQueue {
 public:
  enum class PushResult : std::uint8_t { kQueued, kTeamFull, kFull };

  explicit FairQueue(FairQueueOptions options = {}) : options_(options) {}

  // Commands.

  PushResult Push(QueuedWork work);
  /// Removes and returns the next entry of a team that `may_start` admits.
  template <typename MayStart>
  std::optional<QueuedWork> Pop(MayStart may_start) {
    const bool normal_waits = normal_.Peek(may_start) != nullptr;
    const bool urgent_turn =
        !normal_waits || urgent_in_row_ < options_.max_urgent_in_row;
    if (urgent_turn && urgent_.Peek(may_start) != nullptr) {
      ++urgent_in_row_;
      return Take(urgent_, may_start);
    }
    urgent_in_row_ = 0;
    if (normal_waits) return Take(normal_, may_start);
    return std::nullopt;
  }
  /// Removes an abandoned attempt; returns false if it is not queued.
  bool Remove(const AttemptId& attempt);
  /// Removes and returns the entries whose deadline has passed.
  std::vector<QueuedWork> TakeExpired(TimePoint now);
  /// Removes and returns all entries.
  std::vector<QueuedWork> TakeAll();

  // Queries.

  std::size_t size() const { return size_; }
  std::size_t SizeOf(const TeamId& team) const;

 private:
  /// Fair queueing within one priority class.
  class PriorityClass {
   public:
    struct Team {
      std::deque<QueuedWork> work;
      double start = 0;  ///< Virtual start time of the first entry.
    };

    void Push(QueuedWork work);
    template <typename MayStart>
    const TeamId* Peek(MayStart may_start) const {
      const TeamId* best = nullptr;
      double earliest = 0;
      for (const auto& [id, team] : teams_) {
        if (team.work.empty() || !may_start(id)) continue;
        if (best != nullptr && team.start >= earliest) continue;
        best = &id;
        earliest = team.start;
      }
      return best;
    }
    QueuedWork TakeFrom(const TeamId& id);
    template <typename Matches>
    std::vector<QueuedWork> RemoveIf(Matches matches) {
      std::vector<QueuedWork> removed;
      for (auto& [id, team] : teams_) {
        std::deque<QueuedWork> kept;
        for (QueuedWork& work : team.work) {
          auto& to = matches(work) ? removed : kept_;
          to.push_back(std::move(work));
        }
        kept.assign(std::make_move_iterator(kept_.begin()),
                    std::make_move_iterator(kept_.end()));
        kept_.clear();
        team.work = std::move(kept);
      }
      return removed;
    }
    std::size_t SizeOf(const TeamId& id) const;

   private:
    std::map<TeamId, Team> teams_;
    std::vector<QueuedWork> kept_;
    double virtual_time_ = 0;
  };

  template <typename MayStart>
  QueuedWork Take(PriorityClass& priority_class, MayStart may_start) {
    --size_;
    return priority_class.TakeFrom(*priority_class.Peek(may_start));
  }
  template <typename Matches>
  std::vector<QueuedWork> RemoveIf(Matches matches) {
    std::vector<QueuedWork> removed = urgent_.RemoveIf(matches);
    for (QueuedWork& work : normal_.RemoveIf(matches)) {
      removed.push_back(std::move(work));
    }
    size_ -= removed.size();
    return removed;
  }

  FairQueueOptions options_;
  PriorityClass urgent_;
  PriorityClass normal_;
  std::uint32_t urgent_in_row_ = 0;
  std::size_t size_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_FAIR_QUEUE_H_
