#ifndef YUCCAPICK_PEER_REPORT_H_
#define YUCCAPICK_PEER_REPORT_H_

/// @file
/// What gateways tell each other, and what one makes of its peers' reports.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/lease.h"
#include "yuccapick/part_directory.h"
#include "yuccapick/upstream_load.h"
#include "yuccapick/upstream_roster.h"

namespace yuccapick {

/// Weights that an upstream has, as a peer saw them.
struct ObservedWeights {
  UpstreamId upstream;
  ModelId model;
  WeightVersionNumber weights = 0;
};

/// A change of what an engine holds of a shared part.
struct PartUpdate {
  UpstreamId upstream;
  std::uint64_t part_hash = 0;
  std::uint32_t tokens = 0;  ///< Held now.
};

/// One report. Reports may be lost, doubled or late; each stands for itself.
struct PeerReport {
  InstanceId instance;
  Incarnation incarnation;
  std::uint64_t sequence = 0;  ///< Rises within a life.
  std::string endpoint;        ///< Where the sender takes reports.
  bool store_reachable = false;
  ConfigVersion config;
  std::uint64_t operator_rows = 0;  ///< Newest change of each table.
  std::uint64_t upstream_rows = 0;
  bool holds_rollout_lease = false;
  bool leaving = false;
  bool kv_store_lost = false;  ///< The sender watches it, and it is silent.
  std::vector<WorkReport> work;
  std::vector<UpstreamId> loading;       ///< If it holds the rollout duty.
  std::vector<ObservedWeights> weights;  ///< New since the last few reports.
  PartChain exported;                    ///< Parts put into the KV store.
  std::vector<PartUpdate> parts;  ///< From caches that the sender watches.
  /// Tokens that the sender's requests moved over the KV store's link since
  /// its last report.
  std::uint64_t kv_store_tokens = 0;
  LeaseWrite rollout_lease;  ///< If it holds the rollout duty.
};

/// Newest report of each peer.
class PeerRegistry {
 public:
  struct Options {
    /// A peer that is silent for this long is not counted on.
    std::chrono::milliseconds lifetime{1'500};
    /// A peer that is silent for this long is forgotten.
    std::chrono::milliseconds forget_after{20'000};
  };

  PeerRegistry() = default;
  explicit PeerRegistry(Options options) : options_(options) {}

  // Commands.

  /// @return false if the report is older than one taken before
  bool OnReport(const PeerReport& report, TimePoint now);
  /// A peer to send reports to, learnt from a list that may be old.
  void OnEndpoint(const std::string& endpoint, TimePoint now);
  void OnTick(TimePoint now);

  // Queries.

  /// Where to send reports: live peers always, silent ones now and then.
  std::vector<std::string> Targets(TimePoint now) const;
  std::size_t LiveCount(TimePoint now) const;
  std::vector<InstanceId> LiveInstances(TimePoint now) const;
  bool AnyPeerHoldsRolloutLease(TimePoint now) const;
  bool AnyPeerLostKvStore(TimePoint now) const;
  /// Upstreams that holders of the duty report as loading.
  std::set<UpstreamId> Loading(TimePoint now) const;
  /// True if a live peer in touch with the store has this version in force.
  bool AnyPeerConfirms(ConfigVersion config, TimePoint now) const;
  /// A live peer whose rows are newer than these, or null.
  const PeerReport* FindPeerNewerThan(std::uint64_t operator_rows,
                                      std::uint64_t upstream_rows,
                                      TimePoint now) const;

 private:
  struct Peer {
    PeerReport report;
    TimePoint heard_at;
  };

  bool Live(const Peer& peer, TimePoint now) const;

  Options options_;
  std::map<InstanceId, Peer> peers_;
  std::map<std::string, TimePoint> candidates_;  ///< Endpoints not heard yet.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_PEER_REPORT_H_
