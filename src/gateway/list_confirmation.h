#ifndef YUCCAPICK_GATEWAY_LIST_CONFIRMATION_H_
#define YUCCAPICK_GATEWAY_LIST_CONFIRMATION_H_

/// @file
/// Requests that need the list of upstreams as it is when they arrive.

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <vector>

#include "gateway/owned_timer.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// Lets requests wait until the list of upstreams has been read by a call that
/// was sent after they arrived. Nothing else proves that the list lacks no
/// upstream that others know: a process that stood still, or was cut off, finds
/// its own copy as fresh as before. Used on one event loop.
class ListConfirmation {
 public:
  /// @param confirmed false if the time limit passed before
  using Done = std::function<void(bool confirmed)>;

  /// @param read_list makes the process read the list's changes soon
  /// @param history_known tells whether upstreams that left lately are known
  ListConfirmation(asio::io_context& loop, std::function<void()> read_list,
                   std::function<bool()> history_known);

  // Commands.

  /// @param limit longest wait
  /// @param done called once, from the loop; not at all after `Stop`
  void Await(std::chrono::milliseconds limit, Done done);
  /// The list's changes are known that were made before a call.
  /// @param sent_at when the call was sent
  void OnListRead(TimePoint sent_at);
  /// `history_known` may have become true.
  void OnHistoryKnown() { Resolve(); }
  void Stop();

  // Queries.

  std::size_t waiting() const { return waiters_.size(); }

 private:
  struct Waiter {
    TimePoint since;
    TimePoint until;
    Done done;
  };

  /// Calls the requests back that have waited long enough.
  void Resolve();
  void ArmTimer();

  OwnedTimer timer_;
  std::function<void()> read_list_;
  std::function<bool()> history_known_;
  TimePoint read_sent_at_ = TimePoint::min();
  std::vector<Waiter> waiters_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_LIST_CONFIRMATION_H_
