#include "yuccapick/quota/quota_client.h"

#include <algorithm>
#include <utility>

#include "yuccapick/quota/quota_coordinator.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// Share of the tolerated excess for use that coordinators don't know yet, of
/// all gateways together.
constexpr double kAllowanceShare = 1.0 / 16;
/// Share of the tolerated excess that gateways which decide alone may go into
/// debt, together.
constexpr double kOwnDebtShare = 1.0 / 8;
/// Share of its part of the rate that a gateway uses alone: until they miss it,
/// others still count it among those that share the quota.
constexpr double kOwnRateShare = 0.5;
/// Number of gateways that share a debt while their number isn't known.
constexpr double kUnknownGateways = 1'000.0;
/// A query without an answer is repeated after this time, since datagrams may
/// be lost, and given up after the second one.
constexpr milliseconds kRepeatAfter{25};
constexpr milliseconds kGiveUpAfter{80};
/// A coordinator that doesn't answer is asked again this often.
constexpr milliseconds kProbeInterval{100};
/// How long a team counts as exhausted without another word.
constexpr milliseconds kExhaustedFor{1'000};
/// Delay for requests that a gateway alone has no room for: until then it has
/// probably found a coordinator.
constexpr milliseconds kAloneRetryAfter{1'000};
/// A team without requests for this long is forgotten.
constexpr milliseconds kForgetAfter{60'000};
constexpr milliseconds kSweepInterval{10'000};

}  // namespace

std::string_view QuotaSourceName(QuotaSource source) {
  switch (source) {
    case QuotaSource::kCredit:
      return "credit";
    case QuotaSource::kAllowance:
      return "allowance";
    case QuotaSource::kCoordinator:
      return "coordinator";
    case QuotaSource::kAlone:
      return "alone";
  }
  return "?";
}

double QuotaClient::Allowance(const TeamQuota& quota) const {
  if (gateways_ <= 0) return 0;
  return tolerance_.ExcessOf(quota) * kAllowanceShare / gateways_;
}

QuotaBucketLimits QuotaClient::OwnLimits(const TeamQuota& quota) const {
  QuotaBucketLimits limits = WholeQuota(quota, tolerance_);
  limits.debt = tolerance_.ExcessOf(quota) * kOwnDebtShare;
  if (gateways_ <= 0) return {0, 0, limits.debt / kUnknownGateways};
  limits.per_second *= kOwnRateShare / gateways_;
  limits.burst /= gateways_;
  limits.debt /= gateways_;
  return limits;
}

void QuotaClient::Admit(Team& team, std::uint64_t cost, TimePoint now) {
  team.used += cost;
  team.used_at = now;
}

void QuotaClient::Lapse(Team& team, TimePoint now) {
  if (now >= team.credit_until && team.credit() > 0) team.granted = team.used;
}

QuotaDecision QuotaClient::DecideAlone(Team& team, std::uint64_t cost,
                                       TimePoint now) {
  const QuotaBucketLimits limits = OwnLimits(team.quota);
  team.own->Refill(limits, now - team.own_refilled_at);
  team.own_refilled_at = now;
  if (team.own->available() < static_cast<double>(cost)) {
    return {false, QuotaSource::kAlone, kAloneRetryAfter};
  }
  team.own->Take(static_cast<double>(cost));
  Admit(team, cost, now);
  team.use_unreported = true;
  return {true, QuotaSource::kAlone, milliseconds(0)};
}

std::optional<QuotaDecision> QuotaClient::OnRequest(std::uint64_t request,
                                                    const TeamId& id,
                                                    const TeamQuota& quota,
                                                    std::uint64_t cost,
                                                    TimePoint now) {
  Team& team = teams_[id];
  team.quota = quota;
  active_.insert(id);
  if (team.alone) return DecideAlone(team, cost, now);
  Lapse(team, now);
  if (team.waiting.empty() && team.credit() >= cost) {
    Admit(team, cost, now);
    return QuotaDecision{true, QuotaSource::kCredit, milliseconds(0)};
  }
  const bool exhausted =
      team.exhausted_at && now - *team.exhausted_at < kExhaustedFor;
  const bool known = now < team.credit_until;
  const auto unacknowledged = static_cast<double>(team.unacknowledged() + cost);
  if (known && !exhausted && unacknowledged <= Allowance(quota)) {
    Admit(team, cost, now);
    team.use_unreported = true;
    return QuotaDecision{true, QuotaSource::kAllowance, milliseconds(0)};
  }
  team.waiting.push_back({request, cost, 0});
  asking_.insert(id);
  ++waiting_;
  return std::nullopt;
}

void QuotaClient::Cancel(const TeamId& id, std::uint64_t request) {
  const auto team = teams_.find(id);
  if (team == teams_.end()) return;
  waiting_ -= std::erase_if(team->second.waiting, [request](const auto& it) {
    return it.request == request;
  });
}

void QuotaClient::OnNotSent(const TeamId& id, std::uint64_t cost) {
  const auto it = teams_.find(id);
  if (it == teams_.end()) return;
  Team& team = it->second;
  team.used -= std::min(cost, team.used);
  if (team.alone) team.own->PutBack(static_cast<double>(cost));
  active_.insert(id);
}

void QuotaClient::BindTo(Team& team, std::string coordinator) {
  if (team.session != 0 && team.coordinator == coordinator) return;
  team.coordinator = std::move(coordinator);
  team.session = ++sessions_;
  team.sequence = 0;
  // Credit of another coordinator is void: it counts as used there.
  team.granted = team.used;
  team.first_asked_at.reset();
  for (WaitingRequest& it : team.waiting) it.sequence = 0;
}

void QuotaClient::ComposeQuery(Team& team, TimePoint now) {
  ++team.sequence;
  team.first_asked_at = now;
  team.asked = {team.used, team.used, 0};
  for (WaitingRequest& it : team.waiting) {
    it.sequence = team.sequence;
    team.asked.target += it.cost;
    team.asked.least =
        team.asked.least == 0 ? it.cost : std::min(team.asked.least, it.cost);
  }
  // Credit that isn't asked for is handed back, so it must not be spent.
  team.granted = std::min(team.granted, team.asked.target);
  team.use_unreported = false;
}

QuotaQueryEntry QuotaClient::MakeEntry(const TeamId& id, Team& team,
                                       TimePoint now) {
  // A repeated query says the same as the first: the answer to either counts,
  // so that a lower target in the second would hand back credit that the answer
  // to the first still grants.
  if (!team.first_asked_at) ComposeQuery(team, now);
  team.last_asked_at = now;
  return {id,
          team.session,
          team.sequence,
          team.asked.used,
          team.asked.target,
          team.asked.least};
}

std::vector<AddressedQuotaQuery> QuotaClient::TakeUrgentQueries(
    const CoordinatorOf& coordinator_of, TimePoint now) {
  std::vector<AddressedQuotaQuery> queries;
  std::erase_if(asking_, [this](const TeamId& id) {
    const auto it = teams_.find(id);
    return it == teams_.end() || it->second.waiting.empty();
  });
  for (const TeamId& id : asking_) {
    Team& team = teams_.at(id);
    BindTo(team, coordinator_of(id));
    const bool unanswered = team.first_asked_at.has_value();
    if (unanswered && now - team.last_asked_at < kRepeatAfter) continue;
    queries.push_back({team.coordinator, MakeEntry(id, team, now)});
  }
  return queries;
}

std::vector<AddressedQuotaQuery> QuotaClient::TakeReports(
    const CoordinatorOf& coordinator_of, TimePoint now) {
  ForgetIdleTeams(now);
  std::vector<AddressedQuotaQuery> queries;
  absl::erase_if(active_, [&](const TeamId& id) {
    Team& team = teams_.at(id);
    if (!team.waiting.empty()) return false;
    BindTo(team, coordinator_of(id));
    Lapse(team, now);
    if (now - team.used_at >= kQuotaCreditLifetime) team.alone = false;
    const bool unanswered = team.first_asked_at.has_value();
    const bool settled = !team.use_unreported && !team.alone && !unanswered &&
                         team.credit() == 0;
    if (settled) return true;
    if (unanswered && now - team.last_asked_at < kProbeInterval) return false;
    // What was used since the unanswered query belongs into a newer one.
    team.first_asked_at.reset();
    queries.push_back({team.coordinator, MakeEntry(id, team, now)});
    return false;
  });
  return queries;
}

void QuotaClient::ForgetIdleTeams(TimePoint now) {
  if (now - swept_at_ < kSweepInterval) return;
  swept_at_ = now;
  absl::erase_if(teams_, [this, now](const auto& it) {
    const auto& [id, team] = it;
    const bool idle =
        team.waiting.empty() && now - team.used_at >= kForgetAfter;
    if (idle) active_.erase(id);
    return idle;
  });
}

std::vector<QuotaOutcome> QuotaClient::OnAnswer(const QuotaAnswerEntry& answer,
                                                TimePoint now) {
  std::vector<QuotaOutcome> outcomes;
  const auto it = teams_.find(answer.team);
  if (it == teams_.end()) return outcomes;
  Team& team = it->second;
  if (answer.session != team.session || answer.sequence != team.sequence ||
      !team.first_asked_at) {
    return outcomes;
  }
  team.credit_until = *team.first_asked_at + kQuotaCreditLifetime;
  team.first_asked_at.reset();
  team.alone = false;
  team.granted = answer.granted;
  Lapse(team, now);
  team.exhausted_at.reset();
  if (answer.exhausted) team.exhausted_at = now;
  std::deque<WaitingRequest> waiting = std::exchange(team.waiting, {});
  waiting_ -= waiting.size();
  for (const WaitingRequest& request : waiting) {
    if (team.credit() >= request.cost) {
      Admit(team, request.cost, now);
      outcomes.push_back({request.request,
                          {true, QuotaSource::kCoordinator, milliseconds(0)}});
    } else if (request.sequence != 0 && answer.exhausted) {
      outcomes.push_back(
          {request.request,
           {false, QuotaSource::kCoordinator, answer.retry_after}});
    } else {
      team.waiting.push_back({request.request, request.cost, 0});
    }
  }
  waiting_ += team.waiting.size();
  return outcomes;
}

std::vector<QuotaOutcome> QuotaClient::OnTick(TimePoint now) {
  std::vector<QuotaOutcome> outcomes;
  for (const TeamId& id : active_) {
    Team& team = teams_.at(id);
    if (!team.first_asked_at || now - *team.first_asked_at < kGiveUpAfter) {
      continue;
    }
    if (team.waiting.empty() && !team.alone) {
      // A lost report; it is sent again.
      team.use_unreported = true;
      team.first_asked_at.reset();
      continue;
    }
    if (!team.alone) {
      team.alone = true;
      if (!team.own) team.own.emplace();
      team.own_refilled_at = now;
    }
    waiting_ -= team.waiting.size();
    for (const WaitingRequest& it : std::exchange(team.waiting, {})) {
      outcomes.push_back({it.request, DecideAlone(team, it.cost, now)});
    }
  }
  return outcomes;
}

std::optional<TimePoint> QuotaClient::NextDeadline() const {
  if (waiting_ == 0) return std::nullopt;
  std::optional<TimePoint> next;
  for (const TeamId& id : asking_) {
    const auto it = teams_.find(id);
    if (it == teams_.end() || it->second.waiting.empty()) continue;
    const Team& team = it->second;
    // Requests that arrived after the last query need one of their own at once.
    const TimePoint deadline =
        team.first_asked_at ? std::min(team.last_asked_at + kRepeatAfter,
                                       *team.first_asked_at + kGiveUpAfter)
                            : team.last_asked_at;
    next = std::min(deadline, next.value_or(deadline));
  }
  return next;
}

}  // namespace yuccapick
