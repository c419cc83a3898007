#include "yuccapick/quota/quota_coordinator.h"

#include <algorithm>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// A bucket that holds this share of its burst counts as full.
constexpr double kFullShare = 0.99;
constexpr milliseconds kMinRetryAfter{100};
constexpr milliseconds kMaxRetryAfter{30'000};
/// Refused requests wait for room behind at most this much of the rate.
constexpr std::chrono::duration<double> kMaxPromised{10.0};
/// A request beyond the burst is granted only to groups with more than this
/// part of the gateways. There is at most one, and without this rule each part
/// of a divided fleet would grant such a request.
constexpr double kMajority = 0.5;
/// A team that isn't asked about for this long is forgotten.
constexpr milliseconds kForgetAfter{60'000};
/// Longer gaps between ticks are a pause of the process.
constexpr milliseconds kMaxAccrualStep{300};

}  // namespace

QuotaBucketLimits QuotaCoordinator::LimitsOf(const TeamQuota& quota,
                                             const QuotaScale& scale) const {
  QuotaBucketLimits limits = WholeQuota(quota, tolerance_);
  limits.burst *= scale.fraction;
  limits.debt *= scale.fraction;
  return limits;
}

void QuotaCoordinator::Accrue(const QuotaScale& scale, TimePoint now) {
  const Seconds passed =
      std::clamp<Seconds>(now - accrued_at_, Seconds(0), kMaxAccrualStep);
  accrued_ += passed * scale.fraction;
  accrued_at_ = now;
}

void QuotaCoordinator::Advance(Team& team, const QuotaBucketLimits& limits,
                               TimePoint now) {
  std::erase_if(team.leases, [now](const auto& entry) {
    return now >= entry.second.expires_at;
  });
  const Seconds passed = accrued_ - team.accrued;
  team.accrued = accrued_;
  team.promised =
      std::max(0.0, team.promised - limits.per_second * passed.count());
  team.asked_at = now;
  team.bucket.Refill(limits, passed);
}

void QuotaCoordinator::RecordUse(Team& team, Lease& lease, std::uint64_t used) {
  if (used > lease.granted) {
    team.bucket.Take(static_cast<double>(used - lease.granted));
    lease.granted = used;
  }
  lease.used = used;
}

void QuotaCoordinator::HandBack(Team& team, Lease& lease,
                                std::uint64_t target) {
  const std::uint64_t kept = std::max(target, lease.used);
  if (kept >= lease.granted) return;
  team.bucket.PutBack(static_cast<double>(lease.granted - kept));
  lease.granted = kept;
}

void QuotaCoordinator::Grant(Team& team, Lease& lease,
                             const QuotaQueryEntry& query,
                             const QuotaBucketLimits& limits, bool majority) {
  if (query.target <= lease.granted) return;
  const std::uint64_t wanted = query.target - lease.granted;
  const double available = team.bucket.available();
  std::uint64_t granted = 0;
  if (available >= static_cast<double>(wanted)) {
    granted = wanted;
  } else if (available >= static_cast<double>(query.least)) {
    granted = static_cast<std::uint64_t>(available);
  } else if (majority &&
             team.bucket.LevelOf(limits) >= limits.burst * kFullShare) {
    // A request that costs more than the burst would never find room.
    granted = query.least;
  }
  lease.granted += granted;
  team.bucket.Take(static_cast<double>(granted));
}

milliseconds QuotaCoordinator::RetryAfter(Team& team,
                                          const QuotaQueryEntry& query,
                                          const QuotaBucketLimits& limits) {
  const double missing =
      std::max(0.0, static_cast<double>(query.least) - team.bucket.available());
  // Clamped before the conversion, since a very small rate gives a time that
  // no integer holds.
  const Seconds wait = std::min<Seconds>(
      Seconds((missing + team.promised) / limits.per_second), kMaxRetryAfter);
  team.promised = std::min(team.promised + static_cast<double>(query.least),
                           limits.per_second * kMaxPromised.count());
  return std::clamp(std::chrono::ceil<milliseconds>(wait), kMinRetryAfter,
                    kMaxRetryAfter);
}

QuotaAnswerEntry QuotaCoordinator::OnQuery(const InstanceId& from,
                                           Incarnation incarnation,
                                           const QuotaQueryEntry& query,
                                           const TeamQuota& quota,
                                           const QuotaScale& scale,
                                           TimePoint now) {
  Accrue(scale, now);
  const QuotaBucketLimits limits = LimitsOf(quota, scale);
  Team& team = teams_.try_emplace(query.team, accrued_at_change_).first->second;
  Advance(team, limits, now);
  team.bucket.CutTo(WholeQuota(quota, tolerance_));
  Lease& lease = team.leases[from];
  if (lease.incarnation != incarnation || lease.session != query.session) {
    // What the earlier session had left counts as used, and what this one has
    // used so far was charged elsewhere.
    lease = {incarnation, query.session, 0, query.used, query.used, now};
  }
  QuotaAnswerEntry answer;
  answer.team = query.team;
  answer.session = query.session;
  answer.sequence = query.sequence;
  if (query.sequence >= lease.sequence) {
    const bool repeated = query.sequence == lease.sequence;
    lease.sequence = query.sequence;
    RecordUse(team, lease, query.used);
    HandBack(team, lease, query.target);
    Grant(team, lease, query, limits, scale.fraction > kMajority);
    lease.expires_at = now + kQuotaCreditLifetime;
    const bool refused = query.target > lease.granted;
    answer.exhausted = refused || team.bucket.LevelOf(limits) < 0;
    const double promised = team.promised;
    if (refused) answer.retry_after = RetryAfter(team, query, limits);
    if (repeated) team.promised = promised;
  }
  answer.granted = lease.granted;
  const double missing = limits.burst + limits.debt - team.bucket.available();
  team.full_at = team.accrued + Seconds(missing / limits.per_second);
  return answer;
}

void QuotaCoordinator::OnTick(const QuotaScale& scale, TimePoint now) {
  Accrue(scale, now);
  // A team that is forgotten and asked about again has its whole burst.
  absl::erase_if(teams_, [this, now](const auto& it) {
    const Team& team = it.second;
    return now - team.asked_at >= kForgetAfter && accrued_ >= team.full_at;
  });
}

}  // namespace yuccapick
