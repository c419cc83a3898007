#ifndef YUCCAPICK_RETRY_BUDGET_H_
#define YUCCAPICK_RETRY_BUDGET_H_

/// @file
/// Keeps retries and hedges to a share of the traffic.

#include <algorithm>

namespace yuccapick {

struct RetryBudgetOptions {
  double share = 0.1;     ///< Extra attempts earned by each request.
  double reserve = 10.0;  ///< Extra attempts that may be saved up.
};

/// Token bucket that requests fill and extra attempts empty. Whatever fails,
/// attempts stay below requests * (1 + share) + reserve.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options = {})
      : options_(options), tokens_(options.reserve) {}

  /// A request arrived.
  void OnRequest() {
    tokens_ = std::min(options_.reserve, tokens_ + options_.share);
  }

  /// Changes how many extra attempts may be saved up.
  void SetReserve(double reserve) {
    options_.reserve = reserve;
    tokens_ = std::min(tokens_, reserve);
  }

  /// True if an extra attempt can be taken.
  bool CanAcquire() const { return tokens_ >= 1.0; }

  /// Takes one extra attempt; false if the budget is spent.
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
