#ifndef YUCCAPICK_ORDER_HISTORY_H_
#define YUCCAPICK_ORDER_HISTORY_H_

/// @file
/// Which upstreams got orders lately, or may get some, for the next holder of
/// a duty.

#include <chrono>
#include <map>
#include <set>
#include <string>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Orders of two holders to one upstream must keep apart. A holder announces
/// the upstreams that it may order in the note of its lease, and orders no
/// other, so that its successor has to wait only for these if it dies. One that
/// hands the lease back notes when it ordered what.
class OrderHistory {
 public:
  /// @param gap between orders of two holders to one upstream
  explicit OrderHistory(std::chrono::milliseconds gap) : gap_(gap) {}

  // Commands.

  /// The duty was gained. A new term starts empty; the same one, regained after
  /// its renewal was late, goes on with its orders and its announcement.
  /// @return true if the term is new
  bool BeginTerm(FencingToken fence);
  void OnOrder(const UpstreamId& upstream, TimePoint now);
  /// Takes over what the predecessor noted when it handed the duty back.
  /// @return false if the note cannot be read
  bool ImportHandover(const std::string& note, TimePoint now);
  /// Takes over from a predecessor whose lease has just lapsed: it may have
  /// ordered all that it announced until now.
  /// @return false if the note cannot be read
  bool ImportAnnouncement(const std::string& note, TimePoint now);
  /// Goes on after an earlier life of this holder, which may have ordered all
  /// that it announced until now. Orders of its own need not keep apart.
  void ResumeAfterRestart(const std::string& note, TimePoint now);
  /// Orders to `upstreams` are near.
  /// @return true if the announcement changed
  bool AnnounceOrders(const std::set<UpstreamId>& upstreams, TimePoint now);
  /// The announcement is being written; it may replace an earlier one.
  void OnAnnouncementSent();
  /// The announcement sent last has been written.
  void OnAnnouncementWritten() { written_ = sent_; }

  // Queries.

  /// False while the upstream is not announced, or an order of the predecessor
  /// may be too near.
  bool MayOrder(const UpstreamId& upstream, TimePoint now) const;
  /// Upstreams that an order of the predecessor may be too near.
  std::set<UpstreamId> BlockedByPredecessor(TimePoint now) const;
  /// Note for the case that the holder dies: what it may order.
  std::string Announcement() const;
  /// Note for the next holder: upstreams and the ages of their orders.
  std::string HandoverNote(TimePoint now) const;

 private:
  /// Orders within the gap, by whomever.
  std::map<UpstreamId, TimePoint> Recent(TimePoint now) const;

  std::chrono::milliseconds gap_;
  FencingToken term_;
  std::map<UpstreamId, TimePoint> own_;          ///< Last order.
  std::map<UpstreamId, TimePoint> predecessor_;  ///< Last order.
  std::set<UpstreamId> announced_;
  std::set<UpstreamId> sent_;     ///< As of the write sent last.
  std::set<UpstreamId> written_;  ///< Named by any note that may be stored.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ORDER_HISTORY_H_
