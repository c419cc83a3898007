#ifndef YUCCAPICK_QUOTA_TEAM_QUOTA_H_
#define YUCCAPICK_QUOTA_TEAM_QUOTA_H_

/// @file
/// Quota of a team, and how far all gateways together may exceed it.

#include <chrono>
#include <cstdint>
#include <optional>

namespace yuccapick {

/// What a team may ask for, over all gateways together.
struct TeamQuota {
  enum class Unit : std::uint8_t { kRequests, kTokens };

  double per_second = 0;  ///< In units.
  double burst = 0;       ///< In units.
  Unit unit = Unit::kRequests;
  /// Cost of a request that states no tokens, if `unit` is `kTokens`.
  std::uint64_t default_tokens = 0;

  bool operator==(const TeamQuota&) const = default;

  /// @param tokens that the request states, if any
  /// @return in units
  std::uint64_t CostOf(std::optional<std::uint64_t> tokens) const {
    if (unit == Unit::kRequests) return 1;
    return tokens.value_or(default_tokens);
  }
};

/// How far the requests of a team that run within a window may exceed its
/// quota.
struct QuotaTolerance {
  double share = 0.0;  ///< Of what the quota allows within the window.
  double slack = 0.0;  ///< In units, on top of the share.
  std::chrono::milliseconds window{8'000};

  /// @return the tolerated excess, in units
  double ExcessOf(const TeamQuota& quota) const {
    const std::chrono::duration<double> seconds = window;
    return share * (quota.per_second * seconds.count() + quota.burst) + slack;
  }
};

/// The part of every team's quota that a gateway, or a group of gateways that
/// know each other, may use.
struct QuotaScale {
  double fraction = 0.0;  ///< Of rate, burst and debt.
  double gateways = 0.0;  ///< Number of all gateways; 0 while it isn't known.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_QUOTA_TEAM_QUOTA_H_
