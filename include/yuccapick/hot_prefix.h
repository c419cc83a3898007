#ifndef YUCCAPICK_HOT_PREFIX_H_
#define YUCCAPICK_HOT_PREFIX_H_

/// @file
/// Recent request rates of prefixes.

#include <chrono>
#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// Estimates the request rate of each prefix. An estimate rises at once and
/// falls slowly, so that copies are not dropped between two bursts.
/// Bounded in memory.
class HotPrefixes {
 public:
  /// @param max_prefixes maximum number of tracked prefixes
  explicit HotPrefixes(std::size_t max_prefixes);

  // Commands.

  /// A request with this prefix was placed.
  void OnRequest(std::uint64_t chain_hash, TimePoint now);

  // Queries.

  /// Returns the expected requests per second with this prefix.
  double RatePerSecond(std::uint64_t chain_hash, TimePoint now) const;
  /// Returns the number of tracked prefixes.
  std::size_t Size() const { return demands_.size(); }

 private:
  struct Demand {
    /// Exponentially decayed counts of requests, as of `updated_at`.
    double short_window_count = 0;
    double long_window_count = 0;
    TimePoint updated_at;
  };

  static Demand Decayed(const Demand& demand, TimePoint now);
  /// Removes the prefixes with at most the mean count.
  void Trim(TimePoint now);

  std::size_t max_prefixes_;
  TimePoint first_request_at_;
  absl::flat_hash_map<std::uint64_t, Demand> demands_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_HOT_PREFIX_H_
