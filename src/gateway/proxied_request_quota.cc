#include <utility>

#include "gateway/http_status.h"
#include "gateway/proxied_request.h"

namespace yuccapick {

bool ProxiedRequest::CheckQuota() {
  const GatewayTeam* team = admitted_.team;
  if (team == nullptr || !team->quota || state_.quotas == nullptr) return true;
  const std::uint64_t cost =
      team->quota->CostOf(admitted_.caller.stated_tokens);
  const std::uint64_t request = ++state_.quota_requests;
  quota_request_ = request;
  const std::weak_ptr<ProxiedRequest> weak = weak_from_this();
  const auto decision = state_.quotas->Admit(
      *team, cost, request, [weak, cost](const QuotaDecision& decided) {
        const auto self = weak.lock();
        if (self == nullptr || self->done_) return;
        if (decided.admitted) self->quota_cost_ = cost;
        self->quota_request_ = 0;
        self->OnQuotaDecision(decided);
      });
  if (!decision) return false;
  quota_request_ = 0;
  if (!decision->admitted) {
    OnQuotaDecision(*decision);
    return false;
  }
  quota_cost_ = cost;
  return true;
}

void ProxiedRequest::OnQuotaDecision(const QuotaDecision& decision) {
  const auto self = shared_from_this();
  if (decision.admitted) return BeginAdmitted();
  state_.log.Write(
      LogKind::kFailure, state_.Now(),
      "event=over_quota id={} team={} route={} source={} retry_after_ms={} "
      "config={}",
      admitted_.caller.attempt_id, admitted_.team->id.value,
      admitted_.route->name, QuotaSourceName(decision.source),
      decision.retry_after.count(), admitted_.config->version().value);
  Refuse("team is over its quota", decision.retry_after, kHttpTooManyRequests);
}

void ProxiedRequest::ReturnQuota() {
  if (state_.quotas == nullptr) return;
  if (const auto request = std::exchange(quota_request_, 0)) {
    state_.quotas->Cancel(request);
  }
  const std::uint64_t cost = std::exchange(quota_cost_, 0);
  if (cost == 0 || attempts_sent_ > 0) return;
  state_.quotas->OnNotSent(admitted_.team->id, cost);
}

}  // namespace yuccapick
