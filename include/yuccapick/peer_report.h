#ifndef YUCCAPICK_PEER_REPORT_H_
#define YUCCAPICK_PEER_REPORT_H_

/// @file
/// Reports that gateways exchange, and the registry of the newest ones.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/lease.h"
#include "yuccapick/overload/team_usage.h"
#include "yuccapick/part_directory.h"
#include "yuccapick/speed/upstream_speed.h"
#include "yuccapick/store_clock.h"
#include "yuccapick/store_generation.h"
#include "yuccapick/upstream_limits.h"
#include "yuccapick/upstream_load.h"
#include "yuccapick/upstream_roster.h"

namespace yuccapick {

/// Weights of an upstream, as observed by a peer.
struct ObservedWeights {
  UpstreamId upstream;
  ModelId model;
  WeightVersionNumber weights = 0;
};

/// A change of the tokens of a shared prompt part that an engine has cached.
struct PartUpdate {
  UpstreamId upstream;
  std::uint64_t part_hash = 0;
  std::uint32_t tokens = 0;  ///< Cached now.
};

/// An upstream to which the sender could open no connection.
struct UnreachableReport {
  std::uint64_t upstream_hash = 0;  ///< `RendezvousNodeHash` of the id.
  Incarnation incarnation;
  std::chrono::milliseconds age{0};  ///< Since the sender found out.
};

/// What a gateway tells of a KV store, by its endpoint.
struct KvStoreReport {
  std::string endpoint;
  Incarnation incarnation;  ///< 0 unless the sender watches the store.
  bool lost = false;        ///< Watched by the sender, and silent.
  /// Tokens whose KV cache the sender's requests transferred over the store's
  /// link since its previous report.
  std::uint64_t transferred_tokens = 0;
  /// Parts that the sender's requests saved to it.
  PartChain exported;
};

/// Report of one gateway. Reports may be lost, duplicated or late, so each one
/// is complete in itself except where noted.
struct PeerReport {
  InstanceId instance;
  Incarnation incarnation;
  std::uint64_t sequence = 0;  ///< Increases within an incarnation.
  std::string endpoint;        ///< Where the sender receives reports.
  bool store_reachable = false;
  ConfigVersion config;
  std::uint64_t operator_rows = 0;  ///< Version of the newest change.
  std::uint64_t upstream_rows = 0;
  bool holds_rollout_lease = false;
  bool leaving = false;
  bool kv_store_lost = false;  ///< Sent by older versions only.
  std::vector<WorkReport> work;
  std::vector<UpstreamId> loading;       ///< If it holds the rollout lease.
  std::vector<ObservedWeights> weights;  ///< New since the previous report.
  PartChain exported;                    ///< Sent by older versions only.
  std::vector<PartUpdate> parts;         ///< Sent by older versions only.
  std::uint64_t kv_store_tokens = 0;     ///< Sent by older versions only.
  LeaseWrite rollout_lease;              ///< If it holds the rollout lease.
  /// Upstreams that said that they leave, new since the previous report.
  std::vector<UpstreamRun> leaving_upstreams;
  /// Of the upstreams whose limits the sender coordinates.
  std::vector<NamedLimit> limits;
  /// Of `operator_rows` and `upstream_rows`.
  StoreGeneration store_generation;
  std::vector<KvStoreReport> kv_stores;
  /// Hash of the gateways that the sender knows as live, itself included; 0
  /// unless teams have quotas.
  std::uint64_t members = 0;
  /// The most gateways that the sender has known; 0 unless teams have quotas.
  std::uint64_t gateways = 0;
  /// The teams with the most work at the sender; empty unless room lacks.
  std::vector<TeamWork> team_work;
  /// Samples of upstreams' speed, new since the previous report.
  std::vector<SpeedReport> speeds;
  /// New since the previous report.
  std::vector<UnreachableReport> unreachable;
  /// When the store is known to have answered any gateway last, by its clock,
  /// so that the time doesn't grow newer from one gateway to the next.
  std::optional<StoreTime> store_answered_at;
};

/// How new the tables and the configuration of a gateway are.
struct TableProgress {
  StoreGeneration generation;
  std::uint64_t operator_rows = 0;  ///< Version up to which they are complete.
  std::uint64_t upstream_rows = 0;
  ConfigVersion config;  ///< In force.
};

/// Returns the interval of a gateway's reports. Beyond 40 peers it grows with
/// their number, so that a gateway's traffic doesn't.
std::chrono::milliseconds PeerReportInterval(std::size_t peers);

/// Keeps the newest report of each peer.
class PeerRegistry {
 public:
  struct Options {
    /// A peer that is silent for this long, and for some report intervals, is
    /// not live any more.
    std::chrono::milliseconds live_timeout{1'500};
    /// A peer that is silent for this long is removed.
    std::chrono::milliseconds forget_after{20'000};
  };

  PeerRegistry() = default;
  explicit PeerRegistry(Options options) : options_(options) {}

  // Commands.

  /// @return false if the report is not newer than the stored one
  bool OnReport(const PeerReport& report, TimePoint now);
  /// Adds a peer's endpoint from a list that may be outdated.
  void OnEndpoint(const std::string& endpoint, TimePoint now);
  void OnTick(TimePoint now);

  // Queries.

  /// How long a report counts.
  std::chrono::milliseconds LiveTimeout() const;
  /// Endpoints to send reports to. Silent peers and unconfirmed endpoints are
  /// included only now and then.
  std::vector<std::string> Targets(TimePoint now) const;
  /// @return where the peer receives reports; empty if it is not live
  std::string EndpointOf(const InstanceId& peer, TimePoint now) const;
  std::size_t LiveCount(TimePoint now) const;
  /// Peers that are kept, live or not.
  std::size_t KnownCount() const { return peers_.size(); }
  /// @return the number of live peers whose last report has this
  ///   `PeerReport::members`
  std::size_t CountWithMembers(std::uint64_t members, TimePoint now) const;
  std::vector<InstanceId> LiveInstances(TimePoint now) const;
  /// @return the live peers that don't stop soon
  std::vector<InstanceId> StayingInstances(TimePoint now) const;
  bool AnyPeerHoldsRolloutLease(TimePoint now) const;
  /// @param endpoint of the KV store
  bool AnyPeerLostKvStore(const std::string& endpoint, TimePoint now) const;
  /// Upstreams that holders of the rollout lease report as loading.
  std::set<UpstreamId> Loading(TimePoint now) const;
  /// True if a live peer that can reach the store has this version active.
  bool AnyPeerConfirms(ConfigVersion config, TimePoint now) const;
  /// @param self the caller; different ones find different peers
  /// @return the report of a live peer with a change or a configuration that
  ///   the caller lacks, or null
  const PeerReport* FindPeerNewerThan(const TableProgress& own,
                                      const InstanceId& self,
                                      TimePoint now) const;

 private:
  struct Peer {
    PeerReport report;
    TimePoint last_report_at;
  };

  bool Live(const Peer& peer, TimePoint now) const;

  Options options_;
  std::map<InstanceId, Peer> peers_;
  std::map<std::string, TimePoint> candidates_;  ///< No report yet.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_PEER_REPORT_H_
