#ifndef YUCCAPICK_GATEWAY_QUOTA_SYNC_H_
#define YUCCAPICK_GATEWAY_QUOTA_SYNC_H_

/// @file
/// Applies the quotas of teams together with other gateways.

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway_state.h"
#include "gateway/owned_timer.h"
#include "gateway/peer_exchange.h"
#include "gateway/team_quotas.h"
#include "yuccapick/part_owners.h"
#include "yuccapick/quota/quota_client.h"
#include "yuccapick/quota/quota_coordinator.h"

namespace yuccapick {

/// Carries the messages of `QuotaClient` and `QuotaCoordinator`. Does nothing
/// while no team has a quota. Used on one event loop.
class QuotaSync : public TeamQuotas {
 public:
  /// @param peers must outlive this object, like the other arguments
  QuotaSync(GatewayState& state, PeerExchange& exchange,
            const PeerRegistry& peers, Incarnation incarnation);

  std::optional<QuotaDecision> Admit(
      const GatewayTeam& team, std::uint64_t cost, std::uint64_t request,
      std::function<void(const QuotaDecision&)> done) override;
  void Cancel(std::uint64_t request) override;
  void OnNotSent(const TeamId& team, std::uint64_t cost) override;

  void Stop() { timer_.Cancel(); }
  /// The bounds of the settings have changed.
  void OnSettingsChanged();
  void OnTick(TimePoint now);
  /// This gateway stops soon: others coordinate its teams from now on.
  void OnLeaving(TimePoint now) {
    leaving_ = true;
    OnMembersChanged(now);
  }
  /// Other gateways are known.
  void OnMembersChanged(TimePoint now);
  /// @param gateways that a peer or the store's list names
  void OnGatewayCount(std::size_t gateways);
  void OnQuery(const QuotaQuery& query);
  void OnAnswer(const QuotaAnswer& answer);

  /// For reports to peers; 0 while no team has a quota.
  std::uint64_t members() const { return Enabled() ? members_ : 0; }
  std::uint64_t gateways() const { return Enabled() ? gateways_ : 0; }
  std::string RenderMetrics() const;

 private:
  /// Refusals of a team, for logs.
  struct LimitedTeam {
    std::uint64_t refused = 0;
    TimePoint last_refused_at;
  };

  bool Enabled() const {
    return state_.config != nullptr && state_.config->has_quotas();
  }
  const std::string& CoordinatorOf(const TeamId& team) const;
  QuotaScale ScaleNow() const;
  /// Sends what must be asked, and answers the requests that can be decided.
  void Pump();
  void Send(std::vector<AddressedQuotaQuery> queries);
  void SendTo(const std::string& coordinator, QuotaQuery query);
  std::vector<QuotaAnswerEntry> AnswersTo(const QuotaQuery& query);
  void Deliver(const std::vector<QuotaOutcome>& outcomes);
  void Record(const TeamId& team, const QuotaDecision& decision);
  void LogUnlimitedTeams(TimePoint now);
  void ArmTimer();

  struct Pending {
    TeamId team;
    std::function<void(const QuotaDecision&)> done;
  };

  GatewayState& state_;
  PeerExchange& exchange_;
  const PeerRegistry& peers_;
  Incarnation incarnation_;
  QuotaClient client_;
  QuotaCoordinator coordinator_;
  PartOwners owners_;
  std::uint64_t members_ = 0;
  std::size_t gateways_ = 0;
  /// Gateways, including this one, that know the same ones as this gateway.
  std::size_t agreeing_ = 1;
  bool leaving_ = false;
  TimePoint reported_at_;
  std::map<std::uint64_t, Pending> pending_;
  std::map<TeamId, LimitedTeam> limited_;
  std::uint64_t queries_sent_ = 0;
  std::uint64_t admitted_alone_ = 0;
  std::uint64_t refused_ = 0;
  OwnedTimer timer_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_QUOTA_SYNC_H_
