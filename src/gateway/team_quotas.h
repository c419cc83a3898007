#ifndef YUCCAPICK_GATEWAY_TEAM_QUOTAS_H_
#define YUCCAPICK_GATEWAY_TEAM_QUOTAS_H_

/// @file
/// Interface between a request and the quotas of teams.

#include <cstdint>
#include <functional>
#include <optional>

#include "yuccapick/gateway_config.h"
#include "yuccapick/quota/quota_client.h"

namespace yuccapick {

/// Decides whether requests are within the quotas of their teams.
class TeamQuotas {
 public:
  virtual ~TeamQuotas() = default;

  /// @param team has a quota
  /// @param request identifies it for `Cancel`
  /// @param done called later, unless this returns a decision
  virtual std::optional<QuotaDecision> Admit(
      const GatewayTeam& team, std::uint64_t cost, std::uint64_t request,
      std::function<void(const QuotaDecision&)> done) = 0;
  /// A request that waits for its decision has ended.
  virtual void Cancel(std::uint64_t request) = 0;
  /// An admitted request has ended and was not sent to any upstream.
  virtual void OnNotSent(const TeamId& team, std::uint64_t cost) = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_TEAM_QUOTAS_H_
