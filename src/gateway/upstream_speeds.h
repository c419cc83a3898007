#ifndef YUCCAPICK_GATEWAY_UPSTREAM_SPEEDS_H_
#define YUCCAPICK_GATEWAY_UPSTREAM_SPEEDS_H_

/// @file
/// What this gateway and its peers learn of upstreams from their answers.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "gateway/log_sink.h"
#include "yuccapick/ids.h"
#include "yuccapick/peer_report.h"
#include "yuccapick/speed/upstream_speed.h"
#include "yuccapick/upstream_health.h"
#include "yuccapick/upstream_roster.h"

namespace yuccapick {

/// The speeds of all services' upstreams, and what is to be told to peers.
class UpstreamSpeeds {
 public:
  // Commands.

  /// An answer, or its first event, took some time.
  /// @param kind samples are compared with others of their kind only
  void OnSample(const UpstreamEntry& upstream, std::string_view kind,
                UpstreamSpeed::Time observed, UpstreamSpeed::Time expected,
                TimePoint now);
  /// No connection to the upstream could be opened.
  void OnUnreachable(const UpstreamEntry& upstream, TimePoint now);
  /// Applies a peer's report. Entries of unknown upstreams and other
  /// incarnations are ignored.
  void OnPeerReport(const PeerReport& report, const UpstreamRoster& roster,
                    UpstreamHealth& health, TimePoint now);
  /// Adds what is new to a report.
  /// @param peers that the report goes to
  void AddNews(PeerReport& report, std::size_t peers, TimePoint now);
  /// The upstream is listed, or listed in a new incarnation.
  void OnListed(const UpstreamId& id);
  void Forget(const UpstreamId& id);
  /// Logs upstreams that have turned slow or are as fast as others again.
  void LogChanges(const UpstreamRoster& roster, LogSink& log, TimePoint now);

  // Queries.

  /// @return see `UpstreamSpeed::SlowdownOf`
  double SlowdownOf(const UpstreamEntry& upstream, TimePoint now) const;
  /// True if peers should be told of an unreachable upstream at once.
  bool HasUrgentNews() const { return !unreported_.empty(); }
  std::string RenderMetrics() const;

 private:
  struct Unreachable {
    Incarnation incarnation;
    TimePoint failed_at;
  };

  const UpstreamEntry* Find(std::uint64_t hash, Incarnation incarnation,
                            const UpstreamRoster& roster) const;

  std::map<ServiceId, UpstreamSpeed> speeds_;
  absl::flat_hash_map<std::uint64_t, UpstreamId> ids_;  ///< By hash.
  std::map<std::uint64_t, Unreachable> unreported_;
  std::set<UpstreamId> slow_;  ///< Logged as slow.
  std::uint64_t peer_pauses_ = 0;
  std::uint64_t ignored_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_UPSTREAM_SPEEDS_H_
