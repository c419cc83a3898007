#ifndef YUCCAPICK_QUOTA_QUOTA_COORDINATOR_H_
#define YUCCAPICK_QUOTA_QUOTA_COORDINATOR_H_

/// @file
/// Lends the quotas of teams to gateways.

#include <chrono>
#include <cstdint>
#include <map>

#include "absl/container/flat_hash_map.h"
#include "yuccapick/ids.h"
#include "yuccapick/quota/quota_bucket.h"
#include "yuccapick/quota/quota_messages.h"
#include "yuccapick/quota/team_quota.h"

namespace yuccapick {

/// How long credit may be used after the query that it answers was sent. The
/// coordinator counts from the receipt, so the gateway stops first.
inline constexpr std::chrono::milliseconds kQuotaCreditLifetime{2'000};

/// Keeps one token bucket for each team that this gateway coordinates. Credit
/// is taken from the bucket when it is granted, since requests wait for it, and
/// counts as used when its session ends without handing it back.
class QuotaCoordinator {
 public:
  QuotaCoordinator(QuotaTolerance tolerance, TimePoint now)
      : tolerance_(tolerance), accrued_at_(now) {}

  // Commands.

  void SetTolerance(QuotaTolerance tolerance) { tolerance_ = tolerance; }
  /// @param from sender of the query
  /// @param quota of the team in the configuration in force
  /// @param scale the part of the quota that may be used
  QuotaAnswerEntry OnQuery(const InstanceId& from, Incarnation incarnation,
                           const QuotaQueryEntry& query, const TeamQuota& quota,
                           const QuotaScale& scale, TimePoint now);
  /// The known gateways have changed. Teams that others coordinate now are
  /// forgotten: if they return, their burst may be spent.
  /// @param owns returns whether this gateway coordinates a team
  template <typename Owns>
  void OnMembersChanged(const Owns& owns) {
    accrued_at_change_ = accrued_;
    absl::erase_if(teams_, [&owns](const auto& it) { return !owns(it.first); });
  }
  /// Lets quotas accrue, and forgets teams that were not asked about for long
  /// and whose quota has accrued fully.
  /// Must be called often: others may have lent the quotas while this process
  /// stood still, so that longer gaps don't count.
  void OnTick(const QuotaScale& scale, TimePoint now);

  // Queries.

  /// Number of teams that gateways have asked about lately.
  std::size_t size() const { return teams_.size(); }

 private:
  using Seconds = std::chrono::duration<double>;

  struct Lease {
    Incarnation incarnation;
    std::uint64_t session = 0;
    std::uint64_t sequence = 0;
    std::uint64_t used = 0;
    std::uint64_t granted = 0;
    TimePoint expires_at;
  };
  struct Team {
    explicit Team(Seconds since) : accrued(since) {}

    QuotaBucket bucket;
    Seconds accrued;  ///< `accrued_` when the bucket was refilled.
    std::map<InstanceId, Lease> leases;
    /// Refused units that callers were told to come back for, less what has
    /// accrued since.
    double promised = 0;
    TimePoint asked_at;
    /// `accrued_` from which on the bucket is full if nothing is taken.
    Seconds full_at{0};
  };

  QuotaBucketLimits LimitsOf(const TeamQuota& quota,
                             const QuotaScale& scale) const;
  void Accrue(const QuotaScale& scale, TimePoint now);
  void Advance(Team& team, const QuotaBucketLimits& limits, TimePoint now);
  static void RecordUse(Team& team, Lease& lease, std::uint64_t used);
  static void HandBack(Team& team, Lease& lease, std::uint64_t target);
  static void Grant(Team& team, Lease& lease, const QuotaQueryEntry& query,
                    const QuotaBucketLimits& limits, bool majority);
  static std::chrono::milliseconds RetryAfter(Team& team,
                                              const QuotaQueryEntry& query,
                                              const QuotaBucketLimits& limits);

  QuotaTolerance tolerance_;
  /// Time that counts for refilling, at the fractions that were in force.
  Seconds accrued_{0};
  TimePoint accrued_at_;
  Seconds accrued_at_change_{0};  ///< When the known gateways changed.
  absl::flat_hash_map<TeamId, Team> teams_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_QUOTA_QUOTA_COORDINATOR_H_
