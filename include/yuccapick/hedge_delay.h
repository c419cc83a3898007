#ifndef YUCCAPICK_HEDGE_DELAY_H_
#define YUCCAPICK_HEDGE_DELAY_H_

/// @file
/// Delay after which a hedged (second) attempt is sent for an idempotent
/// request.

#include <chrono>
#include <cstdint>

namespace yuccapick {

/// Tracks a high quantile of the time to the first token.
class HedgeDelay {
 public:
  /// Records that a first token arrived `elapsed` after sending.
  void OnFirstToken(std::chrono::microseconds elapsed);

  /// Returns how long to wait for a first token before hedging.
  std::chrono::microseconds Get() const;

 private:
  double quantile_us_ = 0;
  std::uint64_t samples_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_HEDGE_DELAY_H_
