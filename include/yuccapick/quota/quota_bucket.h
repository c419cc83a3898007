#ifndef YUCCAPICK_QUOTA_QUOTA_BUCKET_H_
#define YUCCAPICK_QUOTA_QUOTA_BUCKET_H_

/// @file
/// Token bucket that may go into debt.

#include <algorithm>
#include <chrono>

#include "yuccapick/quota/team_quota.h"

namespace yuccapick {

/// Limits of a `QuotaBucket`, in units of the quota.
struct QuotaBucketLimits {
  double per_second = 0;
  double burst = 0;
  double debt = 0;  ///< May be taken on top of the burst.
};

/// Limits of the one bucket that would keep a quota alone. A part of the excess
/// that is tolerated in a window is lent evenly, so that teams that are a
/// little above their rate all the time aren't refused; the rest covers
/// gateways that decide alone, and those whose absence isn't noticed yet.
inline QuotaBucketLimits WholeQuota(const TeamQuota& quota,
                                    const QuotaTolerance& tolerance) {
  constexpr double kEvenShare = 1.0 / 4;
  constexpr double kDebtShare = 1.0 / 16;
  const std::chrono::duration<double> window = tolerance.window;
  const double excess = tolerance.ExcessOf(quota);
  return {quota.per_second + excess * kEvenShare / window.count(), quota.burst,
          excess * kDebtShare};
}

/// Token bucket. It begins with nothing available: whoever kept it before may
/// have spent the burst and the debt already. Higher limits make nothing
/// available at once either: what they add must accrue.
class QuotaBucket {
 public:
  /// Adds what accrues in `time`, up to the limits. What is above them stays,
  /// since the part of the burst that may be used falls for a moment whenever
  /// the known gateways change.
  void Refill(const QuotaBucketLimits& limits,
              std::chrono::duration<double> time) {
    const double full = limits.burst + limits.debt;
    if (available_ >= full) return;
    available_ = std::min(available_ + limits.per_second * time.count(), full);
  }
  /// Removes what exceeds the limits, after the quota was lowered.
  void CutTo(const QuotaBucketLimits& limits) {
    available_ = std::min(available_, limits.burst + limits.debt);
  }
  void Take(double units) { available_ -= units; }
  void PutBack(double units) { available_ += units; }

  /// Units that may be taken now.
  double available() const { return available_; }
  /// Units that may be taken without debt; negative while in debt.
  double LevelOf(const QuotaBucketLimits& limits) const {
    return available_ - limits.debt;
  }

 private:
  double available_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_QUOTA_QUOTA_BUCKET_H_
