#ifndef YUCCAPICK_OVERLOAD_TEAM_USAGE_H_
#define YUCCAPICK_OVERLOAD_TEAM_USAGE_H_

/// @file
/// How much work each team has had lately, over all gateways.

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// Work of a team that began at the sender lately.
struct TeamWork {
  std::uint64_t team_hash = 0;
  std::uint64_t tokens = 0;  ///< Decayed sum.
};

/// @return the key of a team in `TeamWork`
std::uint64_t TeamHash(const TeamId& team);

struct TeamUsageOptions {
  /// Work counts half after this time.
  std::chrono::milliseconds half_life{2'000};
  /// A peer's report counts for this long.
  std::chrono::milliseconds report_lifetime{1'500};
  /// Teams with the most work that a report holds.
  std::size_t max_reported = 32;
  /// When room lacks, the teams whose work per weight is the highest give way,
  /// so that this share of the present work is left.
  double kept_share = 0.85;
  /// A team exceeds its share only if it has this many times the mean work per
  /// weight: teams that are alike don't give way to each other.
  double min_excess = 1.3;
};

/// Virtual counters of the work of teams. When room lacks, it tells which teams
/// exceed their max-min fair share.
class TeamUsage {
 public:
  explicit TeamUsage(TeamUsageOptions options = {}) : options_(options) {}

  // Commands.

  /// A request of the team was sent to an upstream.
  void OnSent(std::uint64_t team_hash, std::uint64_t tokens, TimePoint now);
  /// Replaces what `peer` reported before.
  void OnPeerReport(const InstanceId& peer, const std::vector<TeamWork>& work,
                    TimePoint now);
  /// Computes the fair shares anew.
  /// @param weight returns the weight of a team by its hash
  template <typename Weight>
  void Update(const Weight& weight, TimePoint now) {
    std::vector<Share> shares = Sums(now);
    for (Share& it : shares) it.weight = weight(it.team_hash);
    SetFairShare(std::move(shares));
  }

  /// Room doesn't lack any more.
  void ClearFairShare() { fair_usage_ = 0; }

  // Queries.

  /// True if the team has had more than its fair share lately.
  bool Exceeds(std::uint64_t team_hash) const;
  /// Work per weight of the team, to order requests of one rank.
  double UsageOf(std::uint64_t team_hash) const;
  /// @return the teams with the most work at this gateway, for a report
  std::vector<TeamWork> OwnReport(TimePoint now) const;

 private:
  struct Counter {
    double tokens = 0;
    TimePoint decayed_at;
  };
  struct PeerWork {
    std::vector<TeamWork> work;
    TimePoint reported_at;
  };
  struct Share {
    std::uint64_t team_hash = 0;
    double tokens = 0;
    double weight = 1.0;
  };

  double Decayed(const Counter& counter, TimePoint now) const;
  std::vector<Share> Sums(TimePoint now);
  void SetFairShare(std::vector<Share> shares);

  TeamUsageOptions options_;
  absl::flat_hash_map<std::uint64_t, Counter> own_;
  std::map<InstanceId, PeerWork> peers_;
  absl::flat_hash_map<std::uint64_t, double> usage_;  ///< Per weight.
  double fair_usage_ = 0;  ///< Per weight; 0 if no team exceeds it.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_OVERLOAD_TEAM_USAGE_H_
