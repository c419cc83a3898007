#ifndef YUCCAPICK_HOT_PREFIX_H_
#define YUCCAPICK_HOT_PREFIX_H_

/// @file
/// Demand for prefixes: how often each was asked for lately.

#include <chrono>
#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// Estimates the request rate of each prefix. The estimate follows a rise at
/// once and a fall slowly, so that copies are not given up between two bursts.
/// Bounded in memory.
class HotPrefixes {
 public:
  /// @param most_prefixes most prefixes that are followed
  explicit HotPrefixes(std::size_t most_prefixes);

  // Commands.

  /// A request with this prefix was placed.
  void OnRequest(std::uint64_t chain_hash, TimePoint now);

  // Queries.

  /// Returns the expected requests a second with this prefix.
  double RatePerSecond(std::uint64_t chain_hash, TimePoint now) const;
  /// Returns the number of prefixes that are followed.
  std::size_t Size() const { return demands_.size(); }

 private:
  struct Demand {
    double rise = 0;  ///< Decayed count over the short span.
    double fall = 0;  ///< Decayed count over the long span.
    TimePoint when;
  };

  static Demand Decayed(const Demand& demand, TimePoint now);
  void Trim(TimePoint now);

  std::size_t most_prefixes_;
  TimePoint since_;  ///< Of the first request.
  absl::flat_hash_map<std::uint64_t, Demand> demands_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_HOT_PREFIX_H_
