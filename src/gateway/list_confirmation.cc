#include "gateway/list_confirmation.h"

#include <algorithm>
#include <utility>

namespace yuccapick {

ListConfirmation::ListConfirmation(asio::io_context& loop,
                                   std::function<void()> read_list,
                                   std::function<bool()> history_known)
    : timer_(loop),
      read_list_(std::move(read_list)),
      history_known_(std::move(history_known)) {}

void ListConfirmation::Await(std::chrono::milliseconds limit, Done done) {
  const TimePoint now = std::chrono::steady_clock::now();
  waiters_.push_back({now, now + limit, std::move(done)});
  ArmTimer();
  read_list_();
}

void ListConfirmation::OnListRead(TimePoint sent_at) {
  read_sent_at_ = std::max(read_sent_at_, sent_at);
  Resolve();
  const bool later_read_needed = std::any_of(
      waiters_.begin(), waiters_.end(),
      [this](const Waiter& it) { return it.since > read_sent_at_; });
  if (later_read_needed) read_list_();
}

void ListConfirmation::Resolve() {
  if (waiters_.empty()) return;
  const TimePoint now = std::chrono::steady_clock::now();
  const bool history_known = history_known_();
  const auto confirmed = [&](const Waiter& it) {
    return history_known && it.since <= read_sent_at_;
  };
  const auto ended = std::stable_partition(
      waiters_.begin(), waiters_.end(),
      [&](const Waiter& it) { return !confirmed(it) && now < it.until; });
  std::vector<Waiter> resolved(std::make_move_iterator(ended),
                               std::make_move_iterator(waiters_.end()));
  waiters_.erase(ended, waiters_.end());
  ArmTimer();
  for (const Waiter& it : resolved) it.done(confirmed(it));
}

void ListConfirmation::ArmTimer() {
  if (waiters_.empty()) return timer_.Cancel();
  const auto first = std::min_element(
      waiters_.begin(), waiters_.end(),
      [](const Waiter& a, const Waiter& b) { return a.until < b.until; });
  timer_.StartAt(first->until, [this] { Resolve(); });
}

void ListConfirmation::Stop() {
  waiters_.clear();
  timer_.Cancel();
}

}  // namespace yuccapick
