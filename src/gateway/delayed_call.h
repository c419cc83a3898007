#ifndef YUCCAPICK_GATEWAY_DELAYED_CALL_H_
#define YUCCAPICK_GATEWAY_DELAYED_CALL_H_

/// @file
/// Collects requests to do something for a short time, and does it once.

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>

namespace yuccapick {

/// Used on one event loop. Nothing is called after its destruction.
class DelayedCall {
 public:
  DelayedCall(asio::io_context& loop, std::chrono::milliseconds delay,
              std::function<void()> call);

  /// Calls `call` after `delay`, unless that is due already.
  void Schedule();
  void Cancel() { state_->timer.cancel(); }

 private:
  struct State {
    explicit State(asio::io_context& loop) : timer(loop) {}

    asio::steady_timer timer;
    bool scheduled = false;
  };

  std::chrono::milliseconds delay_;
  std::function<void()> call_;
  std::shared_ptr<State> state_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_DELAYED_CALL_H_
