#ifndef YUCCAPICK_ORDER_HISTORY_H_
#define YUCCAPICK_ORDER_HISTORY_H_

/// @file
/// Recent and announced orders of a lease holder, for the next holder.

#include <chrono>
#include <map>
#include <set>
#include <string>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Keeps orders of two lease holders to one upstream a minimum time apart. A
/// holder announces the upstreams that it may send orders to in the note of its
/// lease, and sends orders to no others, so that its successor has to wait only
/// for these if it crashes. A holder that releases the lease writes the ages of
/// its recent orders into the note instead.
class OrderHistory {
 public:
  /// @param gap minimum time between orders of two holders to one upstream
  explicit OrderHistory(std::chrono::milliseconds gap) : gap_(gap) {}

  // Commands.

  /// The lease was acquired. A new term starts empty. The same term, regained
  /// after a late renewal, keeps its orders and its announcement.
  /// @return true if the term is new
  bool BeginTerm(FencingToken fence);
  void OnOrder(const UpstreamId& upstream, TimePoint now);
  /// Imports the note of a predecessor that released the lease.
  /// @return false if the note is malformed
  bool ImportHandover(const std::string& note, TimePoint now);
  /// Imports the note of a predecessor whose lease has just expired: it may
  /// have sent orders to all announced upstreams until now.
  /// @return false if the note is malformed
  bool ImportAnnouncement(const std::string& note, TimePoint now);
  /// Imports the note of an earlier incarnation of this holder, which may have
  /// sent orders to all announced upstreams until now. As these are the
  /// holder's own orders, they do not delay new ones. A malformed note is
  /// ignored.
  void ResumeAfterRestart(const std::string& note, TimePoint now);
  /// Announces that orders to `upstreams` may follow soon.
  /// @return true if the announcement changed and must be written
  bool AnnounceOrders(const std::set<UpstreamId>& upstreams, TimePoint now);
  /// A write of the current announcement was sent; it may replace an earlier
  /// one.
  void OnAnnouncementSent();
  /// The write sent last has succeeded.
  void OnAnnouncementWritten() { written_ = sent_; }

  // Queries.

  /// False if the upstream is not in a written announcement, or the predecessor
  /// may have sent it an order within the gap.
  bool MayOrder(const UpstreamId& upstream, TimePoint now) const;
  /// Returns the upstreams to which the predecessor may have sent an order
  /// within the gap.
  std::set<UpstreamId> BlockedByPredecessor(TimePoint now) const;
  /// Returns the lease note for the case that the holder crashes: the upstreams
  /// that it may send orders to.
  std::string Announcement() const;
  /// Returns the lease note for a release: upstreams and the ages of their
  /// recent orders in milliseconds.
  std::string HandoverNote(TimePoint now) const;

 private:
  /// Returns the orders within the gap, of this holder or the predecessor.
  std::map<UpstreamId, TimePoint> RecentOrders(TimePoint now) const;

  std::chrono::milliseconds gap_;
  FencingToken term_;
  std::map<UpstreamId, TimePoint> own_orders_;          ///< Last order.
  std::map<UpstreamId, TimePoint> predecessor_orders_;  ///< Last order.
  std::set<UpstreamId> announced_;
  std::set<UpstreamId> sent_;     ///< In the write sent last.
  std::set<UpstreamId> written_;  ///< In each note that may be stored.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ORDER_HISTORY_H_
