#ifndef YUCCAPICK_UPSTREAM_LIMITS_H_
#define YUCCAPICK_UPSTREAM_LIMITS_H_

/// @file
/// Keeps the requests of all gateways within the rates that upstreams name.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "yuccapick/gateway_ring.h"
#include "yuccapick/ids.h"
#include "yuccapick/store_clock.h"

namespace yuccapick {

/// What an upstream says about the rate of requests that it takes from all
/// gateways together.
struct NamedLimit {
  UpstreamId upstream;
  Incarnation incarnation;
  std::optional<double> per_second;  ///< nullopt: it names none any more.
  StoreTime seen_at;                 ///< When an answer said so.

  bool operator==(const NamedLimit&) const = default;
};

/// Limits and the gateway that should learn them.
struct AddressedLimits {
  InstanceId to;
  std::vector<NamedLimit> limits;
};

/// One gateway's share of the limits that upstreams name.
///
/// A gateway that sees a limit begin, change or end tells two coordinators for
/// the upstream, which rendezvous hashing picks; these tell all gateways at
/// once, and again with each of their regular reports. A limit of N requests a
/// second is split among N / 2 gateways (one at least), so that each may send
/// two requests a second; the others send none. Rendezvous hashing picks them
/// anew every few seconds, so that no gateway is left out for long.
class UpstreamLimits {
 public:
  struct Options {
    /// Time after which other gateways may send to a limited upstream.
    std::chrono::milliseconds turn{10'000};
    /// Gateways that see a limit tell its coordinators in this interval.
    std::chrono::milliseconds confirm_interval{5'000};
    /// An upstream that takes no requests gets this many a second, since only
    /// an answer tells that the limit has ended.
    double lowest_rate = 0.1;
    /// The end of a limit is remembered for this long, so that late reports
    /// have no effect.
    std::chrono::milliseconds ended_lifetime{60'000};
    /// A limit that no answer has named for this long is forgotten, since the
    /// upstream may not have got a request.
    std::chrono::milliseconds unconfirmed_lifetime{30'000};
    std::size_t max_upstreams = 4'096;
  };

  explicit UpstreamLimits(InstanceId own)
      : UpstreamLimits(std::move(own), {}) {}
  UpstreamLimits(InstanceId own, Options options);

  // Commands.

  /// @param peers live gateways other than this one
  void SetPeers(const std::vector<InstanceId>& peers) {
    gateways_.SetPeers(peers);
  }
  /// The head of an answer arrived.
  /// @param per_second the limit that it names, if any
  /// @param sent_at when the request was sent
  /// @return true if this changes what is known of the upstream
  bool OnAnswer(const UpstreamId& upstream, Incarnation incarnation,
                std::optional<double> per_second, StoreTime sent_at,
                StoreTime now);
  /// @return true if this changes what is known of the upstream
  bool OnReport(const NamedLimit& limit, StoreTime now);
  void Forget(const UpstreamId& upstream) { limits_.erase(upstream); }
  void OnTick(StoreTime now);
  /// A request is sent to the upstream.
  void OnSent(const UpstreamId& upstream, Incarnation incarnation,
              StoreTime now);
  /// Returns what coordinators need to know.
  std::vector<AddressedLimits> TakeReports();
  /// Returns what this gateway has to tell all others, as a coordinator.
  std::vector<NamedLimit> TakeBroadcast();

  // Queries.

  /// True if `TakeReports` or `TakeBroadcast` would return something.
  bool HasNews() const { return !reports_.empty() || !broadcast_.empty(); }
  /// Returns what this gateway knows of the upstreams that it coordinates, for
  /// its regular reports.
  std::vector<NamedLimit> CoordinatedLimits() const;
  /// @return time until this gateway may send a request to the upstream; zero
  ///   if it may send one now
  std::chrono::milliseconds WaitFor(const UpstreamId& upstream,
                                    Incarnation incarnation,
                                    StoreTime now) const;
  /// @return nullopt if the upstream names no limit
  std::optional<double> LimitOf(const UpstreamId& upstream) const;
  /// Upstreams that name a limit.
  std::size_t limited_count() const;
  /// Requests a second that an upstream gets at least.
  double lowest_rate() const { return options_.lowest_rate; }

 private:
  struct Record {
    NamedLimit named;
    /// When this gateway's share would be used up to the request it sent last.
    StoreTime used_until;
    /// When this gateway told coordinators last.
    StoreTime told_at;
  };

  bool IsCoordinator(const UpstreamId& upstream) const;
  void TellCoordinators(const NamedLimit& limit);
  /// @return true if the newer observation differs from the known one
  bool Apply(const NamedLimit& limit, StoreTime now);
  /// Mean time between two requests of this gateway; nullopt if it is not its
  /// turn.
  std::optional<std::chrono::milliseconds> SendInterval(
      const UpstreamId& upstream, double per_second, StoreTime now) const;

  Options options_;
  GatewayRing gateways_;
  std::map<UpstreamId, Record> limits_;
  std::map<InstanceId, std::vector<NamedLimit>> reports_;
  std::vector<NamedLimit> broadcast_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_UPSTREAM_LIMITS_H_
