#ifndef YUCCAPICK_PLATFORM_BUDGET_H_
#define YUCCAPICK_PLATFORM_BUDGET_H_

/// @file
/// Limits the rate of one process's calls and retries to the platform.

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Token bucket: refills at a constant rate up to `burst`.
class TokenBucket {
 public:
  TokenBucket(double per_second, double burst)
      : per_second_(per_second), burst_(burst), tokens_(burst) {}

  /// @return false if there is no token to take
  bool Take(TimePoint now);
  /// Adds `tokens`, up to the burst.
  void Add(double tokens);

 private:
  double per_second_;
  double burst_;
  double tokens_;
  std::optional<TimePoint> refilled_at_;
};

/// One process's share of the rates that the platform allows to all processes.
struct PlatformBudgetOptions {
  double reads_per_second = 50;
  double read_burst = 100;
  double writes_per_second = 50;
  double write_burst = 50;
  double retries_per_success = 0.1;
  double retry_burst = 10;
  std::chrono::milliseconds initial_backoff{50};
  std::chrono::milliseconds max_backoff{5'000};
  std::uint64_t seed = 0;  ///< For the jitter.
};

/// Budget of calls and retries. A retry also counts as a call. Retries run out
/// while the platform does not respond, which prevents a thundering herd when
/// it recovers.
class PlatformBudget {
 public:
  explicit PlatformBudget(const PlatformBudgetOptions& options);

  // Commands.

  bool TakeRead(TimePoint now) { return reads_.Take(now); }
  bool TakeWrite(TimePoint now) { return writes_.Take(now); }
  /// The platform responded to a call; adds `retries_per_success` retries.
  void OnAnswered();
  /// Takes one retry from the budget.
  /// @param retry number of this retry of the call, counted from 1
  /// @return delay before the retry, with full jitter; nothing if the budget is
  /// exhausted
  std::optional<std::chrono::milliseconds> TakeRetry(std::uint32_t retry,
                                                     TimePoint now);

 private:
  PlatformBudgetOptions options_;
  TokenBucket reads_;
  TokenBucket writes_;
  TokenBucket retries_;
  std::mt19937_64 random_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_PLATFORM_BUDGET_H_
