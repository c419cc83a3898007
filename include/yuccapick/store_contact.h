#ifndef YUCCAPICK_STORE_CONTACT_H_
#define YUCCAPICK_STORE_CONTACT_H_

/// @file
/// Since when the store is known to have answered the gateways.

#include <chrono>
#include <cstddef>
#include <optional>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Tells outages of the store from failures of this gateway's own calls. An
/// outage is a time in which the store answered no gateway, as far as known.
/// While a gateway has peers, what it fails to reach alone is no outage: peers'
/// answers count as much as its own, and an outage begins only while peers are
/// heard, since otherwise its own links may be the cause.
///
/// Short failures, such as a single call without an answer, are no outage. The
/// time between two failures counts only if it is short enough for the calls
/// to have failed one after another: in a longer one the process stood still. A
/// process that starts knows of no earlier outage, so it assumes none. All
/// times are boot times, which go on while the machine is suspended.
class StoreContact {
 public:
  struct Options {
    /// Calls that fail for less time are no outage.
    std::chrono::milliseconds min_outage{1'000};
    /// The same for a gateway with peers: long enough for several of their
    /// messages to be lost.
    std::chrono::milliseconds min_outage_with_peers{2'000};
    /// Longer than a call's time limit and the delay before the next one, which
    /// grows with the number of gateways.
    std::chrono::milliseconds max_failure_gap{2'000};
    std::chrono::milliseconds max_failure_gap_per_peer{8};
    /// Without any message of a peer for this long, the gateway is cut off.
    std::chrono::milliseconds max_peer_silence{1'000};
  };

  StoreContact() = default;
  explicit StoreContact(Options options) : options_(options) {}

  // Commands.

  void OnAnswer(TimePoint now);
  void OnFailure(TimePoint now);
  /// The store answered a peer at `answered_at`.
  /// @return false if an own call failed later, so that the own calls may still
  ///   fail
  bool OnPeerAnswer(TimePoint answered_at, TimePoint now);
  /// A message of a peer arrived, whatever it says.
  void OnPeerHeard(TimePoint now);
  /// @param n other gateways that are known, heard lately or not
  void SetPeers(std::size_t n) { peers_ = n; }

  // Queries.

  /// True if the store has answered no gateway for long, as far as known.
  bool InOutage(TimePoint now) const;
  /// True if the store answers gateways and is known to have had no outage for
  /// `duration`.
  bool InTouchFor(std::chrono::milliseconds duration, TimePoint now) const;
  /// @return time since the end of the last outage, zero in an outage; nullopt
  ///   if there was none
  std::optional<std::chrono::milliseconds> TimeSinceOutage(TimePoint now) const;
  /// @return time since the store last answered any gateway; nullopt if it is
  ///   not known to have answered
  std::optional<std::chrono::milliseconds> TimeSinceAnswer(TimePoint now) const;

 private:
  std::chrono::milliseconds MinOutage() const;
  std::chrono::milliseconds MaxFailureGap() const;
  void EndFailures(TimePoint now);
  /// True if peers are known, and none was heard lately.
  bool IsCutOff(TimePoint now) const;

  Options options_;
  std::size_t peers_ = 0;
  std::optional<TimePoint> answered_at_;  ///< Last answer to any gateway.
  std::optional<TimePoint> outage_ended_at_;
  /// Since when the calls fail and the store is not known to have answered.
  std::optional<TimePoint> failing_since_;
  TimePoint failed_at_;  ///< Last failure.
  /// An outage was seen to begin. It goes on if the gateway is cut off then.
  bool outage_begun_ = false;
  std::optional<TimePoint> peer_heard_at_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_STORE_CONTACT_H_
