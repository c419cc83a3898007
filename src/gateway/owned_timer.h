#ifndef YUCCAPICK_GATEWAY_OWNED_TIMER_H_
#define YUCCAPICK_GATEWAY_OWNED_TIMER_H_

/// @file
/// A timer for objects that don't keep themselves alive.

#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <utility>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Calls a handler of its owner. A handler that is queued already when the
/// timer is cancelled, started again or destroyed isn't called any more, unlike
/// that of an `asio::steady_timer`. Used on one event loop.
class OwnedTimer {
 public:
  explicit OwnedTimer(asio::io_context& loop) : timer_(loop) {}
  ~OwnedTimer() { Cancel(); }
  OwnedTimer(const OwnedTimer&) = delete;
  OwnedTimer& operator=(const OwnedTimer&) = delete;

  /// Calls `handler` at `when`, in place of one that waits.
  template <typename Handler>
  void StartAt(TimePoint when, Handler handler) {
    timer_.expires_at(when);
    const std::uint64_t wait = ++*waits_;
    timer_.async_wait([waits = waits_, wait, handler = std::move(handler)](
                          const asio::error_code& ec) {
      if (!ec && *waits == wait) handler();
    });
  }
  /// Calls `handler` after `delay`, in place of one that waits.
  template <typename Handler>
  void StartAfter(TimePoint::duration delay, Handler handler) {
    StartAt(std::chrono::steady_clock::now() + delay, std::move(handler));
  }
  void Cancel() {
    ++*waits_;
    timer_.cancel();
  }

 private:
  asio::steady_timer timer_;
  /// Number of the last wait; outlives the timer with its handlers.
  std::shared_ptr<std::uint64_t> waits_ = std::make_shared<std::uint64_t>(0);
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_OWNED_TIMER_H_
