#ifndef YUCCAPICK_MEMBERSHIP_H_
#define YUCCAPICK_MEMBERSHIP_H_

/// @file
/// Merges the platform's list of upstreams, which may lag, with the reports of
/// the agents.

#include <chrono>
#include <map>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/link_messages.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

/// An upstream as the platform lists it. The list has no incarnations.
struct ListedUpstream {
  UpstreamInfo info;
  bool leaving = false;
};

struct MembershipOptions {
  /// Without a report an upstream becomes suspect after this time.
  std::chrono::milliseconds suspect_after{2'000};
  /// An unlisted upstream without a report is gone after this time.
  std::chrono::milliseconds gone_after{10'000};
  /// Maximum lag of the list. If the list already showed an upstream as leaving
  /// when a new incarnation sent its first report, that may refer to the
  /// previous incarnation and applies to the new one only after this time.
  std::chrono::milliseconds list_lag{60'000};
};

/// Tracks the state of every upstream. Once an incarnation is leaving, it stays
/// so, whether the list or the agent said it first.
class Membership {
 public:
  explicit Membership(MembershipOptions options = {}) : options_(options) {}

  // Commands. Each returns the upstreams that changed.

  /// Replaces the list. A failed read must not be passed as an empty list.
  std::vector<UpstreamInfo> OnList(const std::vector<ListedUpstream>& list,
                                   TimePoint now);
  std::vector<UpstreamInfo> OnReport(const AgentReport& report, TimePoint now);
  std::vector<UpstreamInfo> OnTick(TimePoint now);

  // Queries.

  std::vector<UpstreamInfo> All() const;
  std::size_t CountLive() const;

 private:
  struct Entry {
    UpstreamInfo info;
    bool listed = false;
    bool has_reported = false;  ///< A report of this incarnation arrived.
    bool leaving = false;
    bool listed_leaving = false;
    TimePoint last_report;
    TimePoint first_report;  ///< Of this incarnation.
    TimePoint unlisted_since;
  };

  void BeginIncarnation(Entry& entry, const UpstreamInfo& info, TimePoint now);
  void ApplyListed(Entry& entry, const ListedUpstream& listed, TimePoint now);
  UpstreamState StateOf(const Entry& entry, TimePoint now) const;
  /// Updates the state and adds the entry to `changed` if the state differs or
  /// `other_change` is set.
  void Update(Entry& entry, bool other_change, TimePoint now,
              std::vector<UpstreamInfo>& changed) const;

  MembershipOptions options_;
  std::map<UpstreamId, Entry> entries_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_MEMBERSHIP_H_
