#ifndef YUCCAPICK_QUOTA_QUOTA_CLIENT_H_
#define YUCCAPICK_QUOTA_QUOTA_CLIENT_H_

/// @file
/// Decides whether requests are within their team's quota.

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "yuccapick/ids.h"
#include "yuccapick/quota/quota_bucket.h"
#include "yuccapick/quota/quota_messages.h"
#include "yuccapick/quota/team_quota.h"

namespace yuccapick {

/// Who has decided a request.
enum class QuotaSource : std::uint8_t {
  kCredit,       ///< Credit that the coordinator had granted.
  kAllowance,    ///< The coordinator learns of the request afterwards.
  kCoordinator,  ///< The answer to a query for this request.
  kAlone,        ///< The coordinator doesn't answer.
};

std::string_view QuotaSourceName(QuotaSource source);

struct QuotaDecision {
  bool admitted = false;
  QuotaSource source = QuotaSource::kCredit;
  /// When a refused request may find room.
  std::chrono::milliseconds retry_after{0};
};

/// A request that waited for an answer, and what was decided.
struct QuotaOutcome {
  std::uint64_t request = 0;
  QuotaDecision decision;
};

/// A query entry and the coordinator that it is for.
struct AddressedQuotaQuery {
  std::string coordinator;
  QuotaQueryEntry entry;
};

/// A gateway's view of the quotas of teams. It spends credit that the teams'
/// coordinators grant on demand. Small requests don't wait for it. While a
/// coordinator doesn't answer, requests are decided with this gateway's part of
/// the quota. Times are of a clock that counts while the process is suspended.
class QuotaClient {
 public:
  /// Returns the coordinator of a team: its endpoint, empty for this gateway.
  using CoordinatorOf = std::function<std::string(const TeamId&)>;

  explicit QuotaClient(QuotaTolerance tolerance) : tolerance_(tolerance) {}

  // Commands.

  void SetTolerance(QuotaTolerance tolerance) { tolerance_ = tolerance; }
  /// @param gateways number of all gateways; 0 if it isn't known
  void SetGatewayCount(double gateways) { gateways_ = gateways; }
  /// Decides a request, or lets it wait for the coordinator's answer.
  /// @param request identifies it in `QuotaOutcome`
  /// @return nullopt if it waits
  std::optional<QuotaDecision> OnRequest(std::uint64_t request,
                                         const TeamId& team,
                                         const TeamQuota& quota,
                                         std::uint64_t cost, TimePoint now);
  /// A waiting request has ended.
  void Cancel(const TeamId& team, std::uint64_t request);
  /// An admitted request was not sent to any upstream.
  void OnNotSent(const TeamId& team, std::uint64_t cost);
  /// @return what must be asked now for requests that wait
  std::vector<AddressedQuotaQuery> TakeUrgentQueries(
      const CoordinatorOf& coordinator_of, TimePoint now);
  /// @return what the coordinators should know besides, at most once in a
  ///   report interval: use on the allowance, and credit that isn't needed
  std::vector<AddressedQuotaQuery> TakeReports(
      const CoordinatorOf& coordinator_of, TimePoint now);
  /// @return the requests that no longer wait
  std::vector<QuotaOutcome> OnAnswer(const QuotaAnswerEntry& answer,
                                     TimePoint now);
  /// Decides the requests whose coordinator didn't answer in time.
  std::vector<QuotaOutcome> OnTick(TimePoint now);

  // Queries.

  /// When `OnTick` or `TakeUrgentQueries` has something to do; nullopt if no
  /// request waits.
  std::optional<TimePoint> NextDeadline() const;
  std::size_t waiting() const { return waiting_; }
  /// Number of teams with requests lately.
  std::size_t size() const { return teams_.size(); }

 private:
  struct WaitingRequest {
    std::uint64_t request = 0;
    std::uint64_t cost = 0;
    /// Sequence of the first query that covers it; 0 before.
    std::uint64_t sequence = 0;
  };
  /// Contents of the query that has no answer yet.
  struct AskedAmounts {
    std::uint64_t used = 0;
    std::uint64_t target = 0;
    std::uint64_t least = 0;
  };
  struct Team {
    TeamQuota quota;
    std::string coordinator;
    std::uint64_t session = 0;
    std::uint64_t sequence = 0;
    std::uint64_t used = 0;
    std::uint64_t granted = 0;
    std::deque<WaitingRequest> waiting;
    /// When the credit lapses: the answered query was sent a lifetime before.
    TimePoint credit_until;
    /// Query without an answer.
    std::optional<TimePoint> first_asked_at;
    AskedAmounts asked;
    TimePoint last_asked_at;
    bool use_unreported = false;
    std::optional<TimePoint> exhausted_at;
    bool alone = false;
    std::optional<QuotaBucket> own;  ///< For decisions made alone.
    TimePoint own_refilled_at;
    TimePoint used_at;

    std::uint64_t credit() const { return granted > used ? granted - used : 0; }
    std::uint64_t unacknowledged() const {
      return used > granted ? used - granted : 0;
    }
  };

  double Allowance(const TeamQuota& quota) const;
  QuotaBucketLimits OwnLimits(const TeamQuota& quota) const;
  QuotaDecision DecideAlone(Team& team, std::uint64_t cost, TimePoint now);
  static void Lapse(Team& team, TimePoint now);
  void ForgetIdleTeams(TimePoint now);
  void BindTo(Team& team, std::string coordinator);
  static void ComposeQuery(Team& team, TimePoint now);
  static QuotaQueryEntry MakeEntry(const TeamId& id, Team& team, TimePoint now);
  static void Admit(Team& team, std::uint64_t cost, TimePoint now);

  QuotaTolerance tolerance_;
  double gateways_ = 0;
  std::uint64_t sessions_ = 0;
  std::size_t waiting_ = 0;
  TimePoint swept_at_;
  absl::flat_hash_map<TeamId, Team> teams_;
  /// Teams with something to ask, to report, or to hand back.
  absl::flat_hash_set<TeamId> active_;
  /// Teams with waiting requests, and some whose requests no longer wait. Not
  /// `active_`, whose iteration takes time for all teams that it ever held.
  std::set<TeamId> asking_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_QUOTA_QUOTA_CLIENT_H_
