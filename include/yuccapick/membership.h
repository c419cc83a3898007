#ifndef YUCCAPICK_MEMBERSHIP_H_
#define YUCCAPICK_MEMBERSHIP_H_

/// @file
/// Combines the platform's lagging list with direct word of the agents.

#include <chrono>
#include <map>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/link_messages.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

/// An upstream as the platform lists it; the list knows no incarnations.
struct ListedUpstream {
  UpstreamInfo info;
  bool leaving = false;
};

struct MembershipOptions {
  std::chrono::milliseconds suspect_after{2'000};  ///< Without a report.
  std::chrono::milliseconds gone_after{10'000};    ///< Unlisted, no report.
  /// How long the list may lag. A leaving mark that the list already showed
  /// when a new incarnation first spoke binds it only after this time.
  std::chrono::milliseconds list_lag{60'000};
};

/// Tracks the life of every upstream. A leaving mark stays for the whole
/// incarnation, whichever source spoke first.
class Membership {
 public:
  explicit Membership(MembershipOptions options = {}) : options_(options) {}

  // Commands. Each returns the upstreams that changed.

  /// Takes a whole list. A failed read must not be passed on as an empty list.
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
    bool heard = false;  ///< This incarnation has spoken.
    bool leaving = false;
    bool listed_leaving = false;
    TimePoint last_report;
    TimePoint first_report;  ///< Of this incarnation.
    TimePoint unlisted_since;
  };

  void BeginIncarnation(Entry& entry, const UpstreamInfo& info, TimePoint now);
  void TakeListed(Entry& entry, const ListedUpstream& listed, TimePoint now);
  UpstreamState StateOf(const Entry& entry, TimePoint now) const;
  /// Updates the life and adds the entry to `changed` if it differs.
  void Update(Entry& entry, bool other_change, TimePoint now,
              std::vector<UpstreamInfo>& changed) const;

  MembershipOptions options_;
  std::map<UpstreamId, Entry> entries_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_MEMBERSHIP_H_
