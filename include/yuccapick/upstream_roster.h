#ifndef YUCCAPICK_UPSTREAM_ROSTER_H_
#define YUCCAPICK_UPSTREAM_ROSTER_H_

/// @file
/// Which upstreams may get work, from their entries in the platform's list.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Version of a model's weights; rises with each new set of weights.
using WeightVersionNumber = std::uint64_t;

/// An upstream's own entry in the list.
struct UpstreamEntry {
  UpstreamId id;
  ServiceId service;
  std::string endpoint;  ///< `IP:PORT`.
  FailureDomain domain;
  std::uint32_t slots = 1;
  bool leaving = false;
  std::map<ModelId, WeightVersionNumber> weights;
  Incarnation incarnation;  ///< Changes when it restarts under the same id.

  bool operator==(const UpstreamEntry&) const = default;
};

/// What changed for one upstream.
struct RosterChange {
  enum class Kind : std::uint8_t {
    kAdded,
    kRestarted,  ///< New life under the same id: all it held is lost.
    kUpdated,
    kLeaving,
    kUnconfirmed,  ///< Its entry lapsed while the list was out.
    kRemoved,
  };
  Kind kind;
  UpstreamId id;
};

std::string_view RosterChangeName(RosterChange::Kind kind);

struct RosterOptions {
  /// How long upstreams may take to enter themselves again after an outage of
  /// the list.
  std::chrono::milliseconds reentry{2'200};
  /// An outage shorter than this lets no entry lapse.
  std::chrono::milliseconds min_outage{600};
};

/// Keeps the entries. A leaving mark binds for the whole life of an upstream.
class UpstreamRoster {
 public:
  explicit UpstreamRoster(RosterOptions options = {}) : options_(options) {}

  // Commands.

  std::optional<RosterChange> OnEntry(const UpstreamEntry& entry,
                                      TimePoint now);
  std::optional<RosterChange> OnRemoved(const UpstreamId& id, TimePoint now);
  /// The upstream itself told which weights it has. Its entry follows later.
  /// @return true if that was news
  bool OnWeightsSeen(const UpstreamId& id, const ModelId& model,
                     WeightVersionNumber weights);
  /// The list stopped answering.
  void OnListUnavailable(TimePoint now);
  /// The list answers again.
  void OnListAvailable(TimePoint now);
  /// Drops unconfirmed upstreams whose time to come back has passed.
  std::vector<RosterChange> OnTick(TimePoint now);

  // Queries.

  /// @return the entry if the upstream may get new work, or null
  const UpstreamEntry* FindUsable(const UpstreamId& id) const;
  /// @return the entry of any upstream that is listed, or null
  const UpstreamEntry* Find(const UpstreamId& id) const;
  /// Upstreams of `service` that may get new work, ordered by id.
  std::vector<const UpstreamEntry*> Usable(const ServiceId& service) const;
  std::vector<const UpstreamEntry*> All() const;

 private:
  struct Member {
    UpstreamEntry entry;
    std::optional<TimePoint> unconfirmed_until;
  };

  bool InReentry(TimePoint now) const;

  RosterOptions options_;
  std::map<UpstreamId, Member> members_;
  std::optional<TimePoint> lost_since_;
  std::optional<TimePoint> reentry_until_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_UPSTREAM_ROSTER_H_
