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
  SoftwareVersion software;
  std::uint32_t slots = 1;  ///< Requests that it processes at once.
  bool leaving = false;
  std::map<ModelId, WeightVersionNumber> weights;  ///< Loaded, by model.
  Incarnation incarnation;  ///< Changes when it restarts under the same id.

  bool operator==(const UpstreamEntry&) const = default;
};

/// An incarnation of an upstream.
struct UpstreamRun {
  UpstreamId id;
  Incarnation incarnation;

  bool operator==(const UpstreamRun&) const = default;
};

/// What changed for one upstream.
struct RosterChange {
  enum class Kind : std::uint8_t {
    kAdded,
    kRestarted,  ///< New incarnation: all it held is lost.
    kUpdated,
    kLeaving,
    kUnconfirmed,  ///< Its entry expired in an outage of the list.
    kRemoved,
  };
  Kind kind;
  UpstreamId id;
};

/// Returns the name of the kind for log lines.
std::string_view RosterChangeName(RosterChange::Kind kind);

struct RosterOptions {
  /// Time that upstreams have to register again after an outage of the list.
  std::chrono::milliseconds reregistration_window{2'200};
  /// Entries do not expire in outages shorter than this, so that a removal
  /// after one is final.
  std::chrono::milliseconds min_outage{600};
  /// Upstreams whose leaving is remembered.
  std::size_t max_leaving_runs = 4'096;
  /// Removed upstreams that are remembered.
  std::size_t max_removed_runs = 4'096;
};

/// Keeps the listed upstreams. An upstream that is marked as leaving stays so
/// for its whole incarnation.
class UpstreamRoster {
 public:
  explicit UpstreamRoster(RosterOptions options = {}) : options_(options) {}

  // Commands.

  /// An entry was added to the list or changed.
  /// @return nothing if nothing changed
  std::optional<RosterChange> OnEntry(const UpstreamEntry& listed,
                                      TimePoint now);
  /// An entry was removed from the list or expired. In an outage of the list of
  /// at least `min_outage`, and for `reregistration_window` after it, the
  /// upstream stays usable as unconfirmed unless it is leaving.
  std::optional<RosterChange> OnRemoved(const UpstreamId& id, TimePoint now);
  /// The list came back from an older copy. For `reregistration_window`,
  /// upstreams whose entries are missing stay usable as unconfirmed.
  void OnListRestored(TimePoint now);
  /// An entry of the copy differs from the known one. It may be older: it
  /// brings no upstream back that was removed in the same incarnation, nor an
  /// earlier incarnation.
  std::optional<RosterChange> OnRestoredEntry(const UpstreamEntry& listed,
                                              TimePoint now);
  /// Records the weights that the upstream itself reported; its entry follows
  /// later.
  /// @return true if they are newer than the known ones and replaced them
  bool OnWeightsSeen(const UpstreamId& id, const ModelId& model,
                     WeightVersionNumber weights);
  /// An answer of the upstream says that it leaves. Its entry may follow later,
  /// or never.
  /// @return nothing if that is known
  std::optional<RosterChange> OnLeavingSeen(const UpstreamRun& run);
  /// The list stopped answering.
  void OnListUnavailable(TimePoint now);
  /// The list answers again.
  void OnListAvailable(TimePoint now);
  /// Removes unconfirmed upstreams that did not register again in time.
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

  bool InReregistrationWindow(TimePoint now) const;
  void RememberLeaving(const UpstreamRun& run);
  void RememberRemoved(const UpstreamRun& run);

  RosterOptions options_;
  std::map<UpstreamId, Member> members_;
  /// Newest incarnation that left. Kept when the entry goes, since the list may
  /// bring it back.
  std::map<UpstreamId, Incarnation> leaving_runs_;
  /// Newest incarnation that was removed.
  std::map<UpstreamId, Incarnation> removed_runs_;
  std::optional<TimePoint> outage_since_;
  std::optional<TimePoint> reregistration_until_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_UPSTREAM_ROSTER_H_
