#ifndef YUCCAPICK_UPSTREAM_LOAD_H_
#define YUCCAPICK_UPSTREAM_LOAD_H_

/// @file
/// Work in flight at each upstream, from this process and its peers.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// Load that requests in flight put on one upstream.
struct WorkAmount {
  std::uint32_t requests = 0;
  std::uint64_t kv_tokens = 0;  ///< KV memory of their prompts and answers.
  std::uint64_t prefill_tokens = 0;  ///< Not computed yet, as far as known.
  /// Of these, those of requests of the most urgent rank.
  std::uint64_t urgent_tokens = 0;

  WorkAmount& operator+=(const WorkAmount& other);
  /// Subtracts, but no field goes below zero.
  WorkAmount& operator-=(const WorkAmount& other);
  bool operator==(const WorkAmount&) const = default;
};

/// One upstream's work as a process reports it to its peers.
struct WorkReport {
  UpstreamId upstream;
  WorkAmount amount;
};

/// Sums this process's work and the peers' last reports. Reports that are not
/// renewed expire, so that the work of a lost peer does not count forever.
class UpstreamLoad {
 public:
  /// @param report_lifetime how long a peer's report counts
  explicit UpstreamLoad(std::chrono::milliseconds report_lifetime)
      : report_lifetime_(report_lifetime) {}

  // Commands.

  void SetReportLifetime(std::chrono::milliseconds report_lifetime) {
    report_lifetime_ = report_lifetime;
    next_expiry_ = TimePoint();
  }
  /// This process sent a request that puts `amount` on the upstream.
  void Begin(const UpstreamId& upstream, const WorkAmount& amount);
  /// Such a request ended.
  void End(const UpstreamId& upstream, const WorkAmount& amount);
  /// Replaces what `peer` reported before.
  void OnPeerReport(const InstanceId& peer,
                    const std::vector<WorkReport>& reports, TimePoint now);
  void ForgetUpstream(const UpstreamId& upstream);

  // Queries.

  /// Returns the work of this process and its peers.
  WorkAmount Total(const UpstreamId& upstream, TimePoint now) const;
  /// Returns the work of this process.
  WorkAmount Own(const UpstreamId& upstream) const;
  /// Returns this process's work, to be reported to the peers.
  std::vector<WorkReport> OwnReports() const;

 private:
  struct PeerWork {
    std::vector<WorkReport> reports;
    TimePoint reported_at;
  };

  /// Drops the reports of peers that are too old.
  void ExpirePeers(TimePoint now) const;
  void Subtract(const PeerWork& work) const;

  std::chrono::milliseconds report_lifetime_;
  absl::flat_hash_map<UpstreamId, WorkAmount> own_;
  // Each request asks for many totals, so the sums of all peers are kept.
  mutable std::map<InstanceId, PeerWork> peers_;
  mutable absl::flat_hash_map<UpstreamId, WorkAmount> peer_sums_;
  /// No report expires before.
  mutable TimePoint next_expiry_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_UPSTREAM_LOAD_H_
