#ifndef YUCCAPICK_UTIL_DETAIL_OUTCOME_TIMELINE_H_
#define YUCCAPICK_UTIL_DETAIL_OUTCOME_TIMELINE_H_

/// @file
/// Virtual time and the only random source of a schedule.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <utility>
#include <vector>

#include "yuccapick/ids.h"

namespace yuccapick::outcome {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Event loop in virtual time. Steps due at the same time run in the order in
/// which they were added.
class Timeline {
 public:
  using Step = std::function<void()>;

  explicit Timeline(std::uint64_t seed) : random_(seed) {}

  TimePoint now() const { return now_; }

  void At(TimePoint when, Step step) {
    steps_.push_back({std::max(when, now_), next_++, std::move(step)});
    std::push_heap(steps_.begin(), steps_.end());
  }
  void After(microseconds delay, Step step) {
    At(now_ + delay, std::move(step));
  }

  /// Runs the next step; returns false if none is due by `end`.
  bool RunNext(TimePoint end) {
    if (steps_.empty() || steps_.front().when > end) return false;
    std::pop_heap(steps_.begin(), steps_.end());
    Entry entry = std::move(steps_.back());
    steps_.pop_back();
    now_ = entry.when;
    entry.step();
    return true;
  }

  bool RandomChance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }
  std::uint64_t RandomBelow(std::uint64_t n) {
    return std::uniform_int_distribution<std::uint64_t>(0, n - 1)(random_);
  }
  microseconds RandomBetween(microseconds low, microseconds high) {
    return low + microseconds(RandomBelow((high - low).count() + 1));
  }
  std::uint64_t RandomSeed() { return random_(); }

 private:
  struct Entry {
    TimePoint when;
    std::uint64_t order = 0;
    Step step;

    bool operator<(const Entry& other) const {
      return std::tie(when, order) > std::tie(other.when, other.order);
    }
  };

  std::mt19937_64 random_;
  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t next_ = 0;
  std::vector<Entry> steps_;
};

}  // namespace yuccapick::outcome

#endif  // YUCCAPICK_UTIL_DETAIL_OUTCOME_TIMELINE_H_
