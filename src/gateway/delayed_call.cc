#include "gateway/delayed_call.h"

#include <utility>

namespace yuccapick {

DelayedCall::DelayedCall(asio::io_context& loop,
                         std::chrono::milliseconds delay,
                         std::function<void()> call)
    : delay_(delay),
      call_(std::move(call)),
      state_(std::make_shared<State>(loop)) {}

void DelayedCall::Schedule() {
  if (std::exchange(state_->scheduled, true)) return;
  state_->timer.expires_after(delay_);
  const std::weak_ptr<State> weak = state_;
  state_->timer.async_wait([this, weak](const asio::error_code& ec) {
    const std::shared_ptr<State> state = weak.lock();
    if (state == nullptr) return;
    state->scheduled = false;
    if (!ec) call_();
  });
}

}  // namespace yuccapick
