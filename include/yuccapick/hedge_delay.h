#ifndef YUCCAPICK_HEDGE_DELAY_H_
#define YUCCAPICK_HEDGE_DELAY_H_

/// @file
/// When a second attempt at idempotent work is worth its cost.

#include <chrono>
#include <cstdint>

namespace yuccapick {

/// Follows a high quantile of the time to the first token.
class HedgeDelay {
 public:
  /// The first token came after `elapsed`.
  void OnFirstToken(std::chrono::microseconds elapsed);

  /// How long to wait for a first token before hedging.
  std::chrono::microseconds Get() const;

 private:
  double quantile_us_ = 0;
  std::uint64_t samples_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_HEDGE_DELAY_H_
