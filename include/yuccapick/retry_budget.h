#ifndef YUCCAPICK_RETRY_BUDGET_H_
#define YUCCAPICK_RETRY_BUDGET_H_

/// @file
/// Limits retries and hedged attempts to a share of the traffic.

#include <algorithm>

namespace yuccapick {

struct RetryBudgetOptions {
  double share = 0.1;     ///< Extra attempts earned by each request.
  double reserve = 10.0;  ///< Capacity of the bucket, in extra attempts.
};

/// Token bucket that requests fill and extra attempts drain. Whatever fails,
/// the attempts stay below requests * (1 + share) + reserve.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {})
      : options_(options), tokens_(options.reserve) {}

  /// Adds the share earned by one request.
  void OnRequest() {
    tokens_ = std::min(options_.reserve, tokens_ + options_.share);
  }

  /// Changes the capacity of the bucket.
  void SetReserve(double reserve) {
    options_.reserve = reserve;
    tokens_ = std::min(tokens_, reserve);
  }

  /// True if the budget allows an extra attempt.
  bool CanAcquire() const { return tokens_ >= 1.0; }

  /// Takes one extra attempt from the budget; false if it is spent.
  bool TryAcquire() {
    if (!CanAcquire()) return false;
    tokens_ -= 1.0;
    return true;
  }

 private:
  RetryBudgetOptions options_;
  double tokens_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_RETRY_BUDGET_H_
