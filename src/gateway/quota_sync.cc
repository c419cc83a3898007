#include "gateway/quota_sync.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "gateway/boot_clock.h"
#include "shell/metrics_server.h"
#include "yuccapick/rendezvous.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// Reports are sent to the coordinators in one of this many ticks at most.
constexpr milliseconds kReportInterval{100};
/// A team counts as limited until none of its requests was refused for this
/// long.
constexpr milliseconds kLimitedFor{5'000};
/// A datagram of one query holds at most this many teams.
constexpr std::size_t kMaxEntries = 64;

}  // namespace

QuotaSync::QuotaSync(GatewayState& state, PeerExchange& exchange,
                     const PeerRegistry& peers, Incarnation incarnation)
    : state_(state),
      exchange_(exchange),
      peers_(peers),
      incarnation_(incarnation),
      client_(state.settings.bounds.quota),
      coordinator_(state.settings.bounds.quota, BootTimeNow()),
      timer_(state.loop) {
  OnMembersChanged(state.Now());
}

void QuotaSync::OnSettingsChanged() {
  client_.SetTolerance(state_.settings.bounds.quota);
  coordinator_.SetTolerance(state_.settings.bounds.quota);
}

const std::string& QuotaSync::CoordinatorOf(const TeamId& team) const {
  return owners_.EndpointOf(RendezvousNodeHash(team.value));
}

QuotaScale QuotaSync::ScaleNow() const {
  if (gateways_ == 0) return {};
  const auto n = static_cast<double>(gateways_);
  return {std::min(1.0, static_cast<double>(agreeing_) / n), n};
}

void QuotaSync::OnGatewayCount(std::size_t gateways) {
  // Gateways behind a partition still use their part, so the count never falls.
  gateways_ = std::max(gateways_, gateways);
  client_.SetGatewayCount(static_cast<double>(gateways_));
}

void QuotaSync::OnMembersChanged(TimePoint now) {
  // Gateways that stop soon coordinate nothing, so that a planned restart
  // leaves no team without a coordinator.
  std::uint64_t members =
      leaving_ ? 0 : RendezvousNodeHash(state_.settings.instance.value);
  std::vector<PartOwner> owners;
  for (const InstanceId& peer : peers_.StayingInstances(now)) {
    members ^= RendezvousNodeHash(peer.value);
    owners.push_back({peer, peers_.EndpointOf(peer, now)});
  }
  if (!owners.empty()) OnGatewayCount(peers_.LiveCount(now) + 1);
  if (members != members_) {
    members_ = members;
    owners_.SetMembers(state_.settings.instance, owners, !leaving_);
    coordinator_.OnMembersChanged(
        [this](const TeamId& team) { return CoordinatorOf(team).empty(); });
  }
  agreeing_ = 1 + peers_.CountWithMembers(members_, now);
}

std::optional<QuotaDecision> QuotaSync::Admit(
    const GatewayTeam& team, std::uint64_t cost, std::uint64_t request,
    std::function<void(const QuotaDecision&)> done) {
  const std::optional<QuotaDecision> decision =
      client_.OnRequest(request, team.id, *team.quota, cost, BootTimeNow());
  if (decision) {
    Record(team.id, *decision);
    return decision;
  }
  pending_[request] = {team.id, std::move(done)};
  Pump();
  return std::nullopt;
}

void QuotaSync::Cancel(std::uint64_t request) {
  const auto it = pending_.find(request);
  if (it == pending_.end()) return;
  client_.Cancel(it->second.team, request);
  pending_.erase(it);
}

void QuotaSync::OnNotSent(const TeamId& team, std::uint64_t cost) {
  client_.OnNotSent(team, cost);
}

void QuotaSync::OnTick(TimePoint now) {
  agreeing_ = 1 + peers_.CountWithMembers(members_, now);
  const TimePoint boot_now = BootTimeNow();
  Deliver(client_.OnTick(boot_now));
  coordinator_.OnTick(ScaleNow(), boot_now);
  LogUnlimitedTeams(now);
  if (!Enabled() || now - reported_at_ < kReportInterval) return Pump();
  reported_at_ = now;
  Send(client_.TakeReports(
      [this](const TeamId& team) { return CoordinatorOf(team); }, boot_now));
  Pump();
}

void QuotaSync::Pump() {
  // Answers of this gateway as the coordinator come at once, and may leave
  // requests that need another query.
  const auto coordinator_of = [this](const TeamId& team) {
    return CoordinatorOf(team);
  };
  while (true) {
    std::vector<AddressedQuotaQuery> queries =
        client_.TakeUrgentQueries(coordinator_of, BootTimeNow());
    if (queries.empty()) break;
    Send(std::move(queries));
  }
  ArmTimer();
}

void QuotaSync::Send(std::vector<AddressedQuotaQuery> queries) {
  std::map<std::string, QuotaQuery> by_coordinator;
  for (AddressedQuotaQuery& it : queries) {
    QuotaQuery& query = by_coordinator[it.coordinator];
    query.entries.push_back(std::move(it.entry));
    if (query.entries.size() < kMaxEntries) continue;
    SendTo(it.coordinator, std::exchange(query, {}));
  }
  for (auto& [coordinator, query] : by_coordinator) {
    if (!query.entries.empty()) SendTo(coordinator, std::move(query));
  }
}

void QuotaSync::SendTo(const std::string& coordinator, QuotaQuery query) {
  query.from = state_.settings.instance;
  query.incarnation = incarnation_;
  query.reply_to = exchange_.endpoint();
  if (coordinator.empty()) return OnAnswer({AnswersTo(query)});
  ++queries_sent_;
  exchange_.Send(query, coordinator);
}

std::vector<QuotaAnswerEntry> QuotaSync::AnswersTo(const QuotaQuery& query) {
  std::vector<QuotaAnswerEntry> answers;
  const TimePoint now = BootTimeNow();
  for (const QuotaQueryEntry& entry : query.entries) {
    const GatewayTeam* team = state_.config == nullptr
                                  ? nullptr
                                  : state_.config->FindTeamById(entry.team);
    // Another configuration, or another view of the gateways: the sender asks
    // again, or decides alone.
    if (team == nullptr || !team->quota) continue;
    if (!CoordinatorOf(entry.team).empty()) continue;
    answers.push_back(coordinator_.OnQuery(query.from, query.incarnation, entry,
                                           *team->quota, ScaleNow(), now));
  }
  return answers;
}

void QuotaSync::OnQuery(const QuotaQuery& query) {
  QuotaAnswer answer{AnswersTo(query)};
  if (!answer.entries.empty()) exchange_.Send(answer, query.reply_to);
}

void QuotaSync::OnAnswer(const QuotaAnswer& answer) {
  const TimePoint now = BootTimeNow();
  for (const QuotaAnswerEntry& entry : answer.entries) {
    Deliver(client_.OnAnswer(entry, now));
  }
  ArmTimer();
}

void QuotaSync::Deliver(const std::vector<QuotaOutcome>& outcomes) {
  for (const QuotaOutcome& outcome : outcomes) {
    const auto it = pending_.find(outcome.request);
    if (it == pending_.end()) continue;
    const Pending pending = std::move(it->second);
    pending_.erase(it);
    Record(pending.team, outcome.decision);
    pending.done(outcome.decision);
  }
}

void QuotaSync::Record(const TeamId& id, const QuotaDecision& decision) {
  if (decision.admitted) {
    if (decision.source == QuotaSource::kAlone) ++admitted_alone_;
    return;
  }
  ++refused_;
  const TimePoint now = state_.Now();
  LimitedTeam& team = limited_[id];
  team.last_refused_at = now;
  if (++team.refused > 1) return;
  const GatewayTeam* configured = state_.config->FindTeamById(id);
  if (configured == nullptr || !configured->quota) return;
  state_.log.Write(LogKind::kStateChange, now,
                   "event=team_limited team={} per_second={:.0f} burst={:.0f} "
                   "source={} coordinator={} agreeing={} gateways={}",
                   id.value, configured->quota->per_second,
                   configured->quota->burst, QuotaSourceName(decision.source),
                   CoordinatorOf(id).empty() ? "self" : CoordinatorOf(id),
                   agreeing_, gateways_);
}

void QuotaSync::LogUnlimitedTeams(TimePoint now) {
  std::erase_if(limited_, [this, now](const auto& entry) {
    const auto& [id, team] = entry;
    if (now - team.last_refused_at < kLimitedFor) return false;
    state_.log.Write(LogKind::kStateChange, now,
                     "event=team_not_limited team={} refused={}", id.value,
                     team.refused);
    return true;
  });
}

void QuotaSync::ArmTimer() {
  const std::optional<TimePoint> deadline = client_.NextDeadline();
  if (!deadline) return;
  const auto wait =
      std::max(*deadline - BootTimeNow(), TimePoint::duration(milliseconds(1)));
  timer_.StartAfter(wait, [this] {
    Deliver(client_.OnTick(BootTimeNow()));
    Pump();
  });
}

std::string QuotaSync::RenderMetrics() const {
  std::string out;
  if (!Enabled()) return out;
  AppendMetric(out, "gauge", "yuccapick_quota_teams", client_.size());
  AppendMetric(out, "gauge", "yuccapick_quota_teams_coordinated",
               coordinator_.size());
  AppendMetric(out, "gauge", "yuccapick_quota_teams_limited", limited_.size());
  AppendMetric(out, "gauge", "yuccapick_quota_requests_waiting",
               pending_.size());
  AppendMetric(out, "gauge", "yuccapick_quota_gateways", gateways_);
  AppendMetric(out, "gauge", "yuccapick_quota_gateways_agreeing", agreeing_);
  AppendMetric(out, "counter", "yuccapick_quota_queries_sent", queries_sent_);
  AppendMetric(out, "counter", "yuccapick_quota_requests_refused", refused_);
  AppendMetric(out, "counter", "yuccapick_quota_requests_admitted_alone",
               admitted_alone_);
  return out;
}

}  // namespace yuccapick
