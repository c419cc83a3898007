#ifndef YUCCAPICK_UPSTREAM_ROSTER_H_
#define YUCCAPICK_UPSTREAM_ROSTER_H_

/// @file
/// Which upstreams may get work, from their entries in the platform's list.

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/recent_upstreams.h"

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
    kUnreadable,   ///< Its entry names no upstream at present.
    kRemoved,
  };
  Kind kind;
  UpstreamId id;
  /// Until when an unconfirmed upstream may register again.
  TimePoint until{};
};

/// Returns the name of the kind for log lines.
std::string_view RosterChangeName(RosterChange::Kind kind);

struct RosterOptions {
  /// Upstreams whose entries expired in an outage of the list register again
  /// within this time after it.
  std::chrono::milliseconds reregistration_time{2'200};
  /// Entries do not expire in outages shorter than this, so that a removal
  /// after one is final.
  std::chrono::milliseconds min_outage{600};
  /// No request may reach an upstream later than this after its entry was
  /// removed.
  std::chrono::milliseconds drain_timeout{2'000};
  /// `drain_timeout` does not bind for this long after an outage of the list.
  std::chrono::milliseconds contact_time{3'000};
  /// A request reaches its upstream within this time.
  std::chrono::milliseconds delivery_time{500};
  /// Upstreams whose leaving is remembered.
  std::size_t max_leaving_runs = 4'096;
  /// Removed upstreams that are remembered.
  std::size_t max_removed_runs = 4'096;
};

/// Keeps the listed upstreams. An upstream that is marked as leaving stays so
/// for its whole incarnation.
class UpstreamRoster {
 public:
  explicit UpstreamRoster(RosterOptions options = {})
      : options_(options),
        leaving_runs_(options.max_leaving_runs),
        removed_runs_(options.max_removed_runs) {}

  // Commands.

  /// Applies to removals from now on. What is remembered keeps its limits.
  void SetOptions(const RosterOptions& options) { options_ = options; }
  /// An entry was added to the list or changed.
  /// @param written_after a time at which it was not written yet
  /// @return nothing if nothing changed
  std::optional<RosterChange> OnEntry(const UpstreamEntry& listed,
                                      TimePoint written_after);
  /// An entry was removed from the list or expired. In an outage of the list of
  /// at least `min_outage`, and for `reregistration_time` after it, the
  /// upstream stays usable as unconfirmed unless it is leaving: until the end
  /// of that time, and no longer than `drain_timeout` allows. Beyond that it
  /// stays only while most upstreams of its service are unconfirmed, since
  /// these can't all have left.
  std::optional<RosterChange> OnRemoved(const UpstreamId& id, TimePoint now);
  /// An entry can't be read. It names no upstream until it can be read again.
  /// @return nothing if nothing changed
  std::optional<RosterChange> OnUnreadable(const UpstreamId& id);
  /// The known entries were all in the list at a time.
  void OnListCurrent(TimePoint at);
  /// The list came back from an older copy. For `reregistration_time`,
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
  /// or never. A later incarnation counts as leaving, too, if its entry may
  /// have been written by then: the answer may have been its own.
  /// @param run newest known incarnation
  /// @return nothing if that is known
  std::optional<RosterChange> OnLeavingSeen(const UpstreamRun& run,
                                            TimePoint seen_at);
  /// The list did not answer a call.
  /// @param sent_at when the call was sent; it may have been lost at once
  void OnListUnavailable(TimePoint now, TimePoint sent_at);
  /// The list answers again.
  void OnListAvailable(TimePoint now);
  /// Removes unconfirmed upstreams that did not register again in time. To be
  /// called after each batch of changes, too.
  std::vector<RosterChange> OnTick(TimePoint now);

  // Queries.

  /// When the list was last known not to answer.
  TimePoint unavailable_at() const { return unavailable_at_; }
  /// When all known entries were last known to be in the list.
  TimePoint listed_at() const { return listed_at_; }
  /// @return the entry if the upstream may get new work, or null
  const UpstreamEntry* FindUsable(const UpstreamId& id) const;
  /// @return the entry of any upstream that is listed, or null
  const UpstreamEntry* Find(const UpstreamId& id) const;
  /// Upstreams of `service` that may get new work, ordered by id.
  std::vector<const UpstreamEntry*> Usable(const ServiceId& service) const;
  std::vector<const UpstreamEntry*> All() const;

 private:
  /// An incarnation that leaves.
  struct LeavingRun {
    Incarnation incarnation;
    /// When an answer said so; nullopt if only the entry did.
    std::optional<TimePoint> seen_at;
  };
  struct Member {
    UpstreamEntry entry;
    std::optional<TimePoint> unconfirmed_until;
    bool unreadable = false;

    bool IsUsable() const { return !entry.leaving && !unreadable; }
  };

  /// True if a missing entry may have expired in an outage of the list.
  bool MayHaveExpired(TimePoint now) const;
  /// True if missing entries may still come back.
  bool AwaitsRegistrations(TimePoint now) const;
  /// Until when an upstream is unconfirmed whose entry is found missing now.
  TimePoint UnconfirmedUntil(TimePoint now) const;
  /// @return services most of whose upstreams are unconfirmed
  std::set<ServiceId> MostlyUnconfirmedServices() const;
  void RememberLeaving(const UpstreamRun& run,
                       std::optional<TimePoint> seen_at);
  /// True if the entry's incarnation is known to leave, or may have said so.
  bool IsLeaving(const UpstreamEntry& listed, TimePoint written_after) const;
  void RememberRemoved(const UpstreamRun& run);

  RosterOptions options_;
  std::map<UpstreamId, Member> members_;
  /// Newest incarnation that left. Kept when the entry goes, since the list may
  /// bring it back.
  RecentUpstreams<LeavingRun> leaving_runs_;
  /// Newest incarnation that was removed.
  RecentUpstreams<Incarnation> removed_runs_;
  std::optional<TimePoint> outage_since_;
  std::optional<TimePoint> reregistration_until_;
  /// When the list was last known to be unavailable, and to be as known here.
  TimePoint unavailable_at_;
  TimePoint listed_at_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_UPSTREAM_ROSTER_H_
