#ifndef YUCCAPICK_UPSTREAM_DIRECTORY_H_
#define YUCCAPICK_UPSTREAM_DIRECTORY_H_

/// @file
/// A router's view of the upstreams: state, incarnations and work in flight.

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "yuccapick/guards.h"
#include "yuccapick/ids.h"
#include "yuccapick/link_messages.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

/// Holds the known upstreams. An incarnation that is marked as leaving stays
/// so.
class UpstreamDirectory {
 public:
  explicit UpstreamDirectory(const Guards& guards = {}) : guards_(guards) {}

  // Commands.

  void Apply(const UpstreamInfo& upstream);
  /// Marks one incarnation as leaving, even if the membership lists it as live.
  void MarkLeaving(const UpstreamId& id, Incarnation agent);
  /// Records that an agent answered with this incarnation, which the membership
  /// may not list yet.
  void ObserveIncarnation(const UpstreamId& id, Incarnation agent);
  /// A request was sent to the upstream.
  void OnSent(const UpstreamId& id);
  /// A request to the upstream ended.
  void OnEnded(const UpstreamId& id);

  // Queries.

  /// Returns the upstream or null.
  const UpstreamInfo* Find(const UpstreamId& id) const;
  /// True if `id` may get new work.
  bool IsLive(const UpstreamId& id) const;
  /// True if that agent incarnation is known to have ended.
  bool HasEnded(const UpstreamId& id, Incarnation agent) const;
  /// Returns the live plain upstream of `service` with the least work in
  /// flight; ties go to the rendezvous home of `key`.
  std::optional<UpstreamId> PickLeastLoaded(
      const ServiceId& service, std::string_view key,
      const std::vector<UpstreamId>& excluded) const;
  /// Returns the rendezvous home of `key` among the live plain upstreams of
  /// `service`.
  std::optional<UpstreamId> PickByRendezvous(
      const ServiceId& service, std::string_view key,
      const std::vector<UpstreamId>& excluded) const;
  std::uint32_t InFlight(const UpstreamId& id) const;
  bool empty() const { return entries_.empty(); }
  /// Returns the number of live upstreams of the kind.
  std::size_t CountLive(UpstreamKind kind) const;

 private:
  struct Entry {
    UpstreamInfo info;
    Incarnation highest_seen;  ///< Of the agent's answers.
    std::uint32_t in_flight = 0;
  };

  bool Serves(const Entry& entry, const ServiceId& service,
              const std::vector<UpstreamId>& excluded) const;

  Guards guards_;
  std::map<UpstreamId, Entry> entries_;
};

/// Returns the score of `id` for `key`; the highest score is the home.
std::uint64_t UpstreamRendezvousScore(const UpstreamId& id,
                                      std::string_view key);

}  // namespace yuccapick

#endif  // YUCCAPICK_UPSTREAM_DIRECTORY_H_
