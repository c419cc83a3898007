#ifndef YUCCAPICK_PLATFORM_BUDGET_H_
#define YUCCAPICK_PLATFORM_BUDGET_H_

/// @file
/// How often one process may call the platform, and when it may try again.

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Tokens that refill at a steady rate up to a burst.
class TokenBucket {
 public:
  TokenBucket(double per_second, double burst)
      : per_second_(per_second), burst_(burst), tokens_(burst) {}

  /// Takes one token if there is one.
  bool Take(TimePoint now);
  /// Puts `tokens` back or in, up to the burst.
  void Add(double tokens);

 private:
  double per_second_;
  double burst_;
  double tokens_;
  std::optional<TimePoint> updated_;
};

/// Share of one process in the platform's rates, which all processes share.
struct PlatformBudgetOptions {
  double reads_per_second = 50;
  double read_burst = 100;
  double writes_per_second = 50;
  double write_burst = 50;
  double retries_per_success = 0.1;
  double retry_burst = 10;
  std::chrono::milliseconds initial_backoff{50};
  std::chrono::milliseconds max_backoff{5'000};
  std::uint64_t seed = 0;  ///< Of the jitter.
};

/// Budget of calls and retries. Retries cost calls too, and dry up while the
/// platform answers none, so that its return is not met by a herd.
class PlatformBudget {
 public:
  explicit PlatformBudget(const PlatformBudgetOptions& options);

  // Commands.

  bool TakeRead(TimePoint now) { return reads_.Take(now); }
  bool TakeWrite(TimePoint now) { return writes_.Take(now); }
  /// The platform answered a call.
  void OnAnswered();
  /// Returns how long to wait before try `retry` of one call, counted from 1,
  /// with full jitter; nothing if the retries are spent.
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
