#ifndef YUCCAPICK_UPSTREAM_HEALTH_H_
#define YUCCAPICK_UPSTREAM_HEALTH_H_

/// @file
/// Recent failure rates of upstreams, from the outcomes of requests.

#include <chrono>
#include <cstdint>
#include <map>

#include "yuccapick/ids.h"

namespace yuccapick {

struct UpstreamHealthOptions {
  /// The weight of an outcome falls to 1/e within this time.
  std::chrono::milliseconds decay_time{4'000};
  /// Successes that are added to the observed outcomes, so that a few failures
  /// alone do not give a high rate.
  double prior_successes = 4.0;
  /// Pause of an upstream that became unreachable; it doubles each time.
  std::chrono::milliseconds first_pause{250};
  std::chrono::milliseconds longest_pause{2'000};
  /// Added to a pause that a peer has told of, so that the peer tries first and
  /// its result arrives: a failed attempt to connect takes 400 ms, and reports
  /// 250 ms.
  std::chrono::milliseconds peer_pause_margin{750};
};

/// Failure rates and pauses of upstreams. Placement compares the rates of a
/// service's upstreams with one another, so failures that all of them share
/// exclude none.
class UpstreamHealth {
 public:
  explicit UpstreamHealth(UpstreamHealthOptions options = {})
      : options_(options) {}

  // Commands.

  void OnSuccess(const UpstreamId& id, TimePoint now);
  void OnFailure(const UpstreamId& id, TimePoint now);
  /// No connection could be opened, or the upstream stopped responding.
  void OnUnreachable(const UpstreamId& id, TimePoint now);
  /// A peer could open no connection at `failed_at`. The upstream is paused
  /// unless it was heard from since.
  /// @return true if this began a pause
  bool OnPeerUnreachable(const UpstreamId& id, TimePoint failed_at,
                         TimePoint now);
  /// A peer got an answer lately. Ends a pause that peers have told of.
  void OnPeerHeard(const UpstreamId& id);
  /// Bytes of an answer arrived.
  void OnBytesReceived(const UpstreamId& id, TimePoint now);
  void Forget(const UpstreamId& id) { records_.erase(id); }

  // Queries.

  /// Returns the share of recent requests that failed, from 0 to 1.
  double FailureRate(const UpstreamId& id, TimePoint now) const;
  /// True while the upstream is avoided because it was unreachable.
  bool Paused(const UpstreamId& id, TimePoint now) const;
  /// True if nothing was received from the upstream since `since`.
  bool SilentSince(const UpstreamId& id, TimePoint since) const;

 private:
  struct Record {
    double successes = 0;  ///< Weighted by age, as of `decayed_at`.
    double failures = 0;   ///< Weighted by age, as of `decayed_at`.
    TimePoint decayed_at;
    TimePoint last_received_at;
    TimePoint paused_until;
    std::chrono::milliseconds pause{0};  ///< Length of the last pause.
    bool paused_by_peer = false;
  };

  double DecayFactor(const Record& record, TimePoint now) const;
  Record& DecayedRecord(const UpstreamId& id, TimePoint now);

  UpstreamHealthOptions options_;
  std::map<UpstreamId, Record> records_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_UPSTREAM_HEALTH_H_
