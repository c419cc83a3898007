#ifndef YUCCAPICK_STANDIN_EVENT_LOG_H_
#define YUCCAPICK_STANDIN_EVENT_LOG_H_

/// @file
/// Cache events of an engine, with injected loss and delay.

#include <fmt/format.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "standin/prefix_cache.h"
#include "standin/role.h"

namespace yuccapick::standin {

/// Stores the latest events and serves long polls for them.
class EventLog {
 public:
  explicit EventLog(Context& context) : context_(context) {}

  /// Publishes events; lost events leave a gap in the sequence numbers.
  void Publish(const std::vector<BlockEvent>& events) {
    std::vector<nlohmann::json> kept;
    for (const BlockEvent& event : events) {
      ++sequence_;
      if (context_.ShouldInject(context_.faults.event_loss)) continue;
      kept.push_back({{"sequence", sequence_},
                      {"kind", event.kind},
                      {"block", fmt::format("{:016x}", event.block)},
                      {"request", event.request},
                      {"end_token", event.end_token}});
    }
    if (kept.empty()) return;
    if (context_.faults.event_delay.count() == 0) return Push(std::move(kept));
    context_.After(context_.faults.event_delay,
                   [this, kept, incarnation = incarnation_]() mutable {
                     if (incarnation == incarnation_) Push(std::move(kept));
                   });
  }

  /// Responds with the events after sequence number `after`, waiting up to
  /// `kMaxWait` if there are none.
  void HandlePoll(std::uint64_t after, const ResponderPtr& responder) {
    auto waiter = std::make_shared<Waiter>(Waiter{after, responder});
    if (HasEvents(after)) return Send(*waiter);
    waiters_.push_back(waiter);
    context_.After(kMaxWait, [this, waiter] {
      if (waiter->responder != nullptr) Send(*waiter);
      std::erase(waiters_, waiter);
    });
  }

  void Crash() {
    ++incarnation_;
    delivered_.clear();
    waiters_.clear();
    sequence_ = 0;
    boot_id_ = NewBootId();
  }

  const std::string& boot_id() const { return boot_id_; }

 private:
  struct Waiter {
    std::uint64_t after = 0;
    ResponderPtr responder;  ///< Null after the response.
  };

  static constexpr std::chrono::milliseconds kMaxWait{1000};
  static constexpr std::size_t kMaxStoredEvents = 8192;
  static constexpr std::size_t kMaxEventsPerResponse = 1024;

  bool HasEvents(std::uint64_t after) const {
    return !delivered_.empty() && delivered_.back()["sequence"] > after;
  }

  void Push(std::vector<nlohmann::json> events) {
    for (nlohmann::json& event : events) delivered_.push_back(std::move(event));
    while (delivered_.size() > kMaxStoredEvents) delivered_.pop_front();
    for (const auto& waiter : std::exchange(waiters_, {})) Send(*waiter);
  }

  void Send(Waiter& waiter) {
    nlohmann::json list = nlohmann::json::array();
    std::uint64_t next = waiter.after;
    for (const nlohmann::json& event : delivered_) {
      const auto sequence = event["sequence"].get<std::uint64_t>();
      if (sequence <= waiter.after) continue;
      if (list.size() == kMaxEventsPerResponse) break;
      list.push_back(event);
      next = sequence;
    }
    std::exchange(waiter.responder, nullptr)
        ->SendJson(200, {{"boot_id", boot_id_},
                         {"next", next},
                         {"events", std::move(list)}});
  }

  Context& context_;
  std::deque<nlohmann::json> delivered_;
  std::vector<std::shared_ptr<Waiter>> waiters_;
  std::uint64_t sequence_ = 0;
  std::uint64_t incarnation_ = 0;
  std::string boot_id_ = NewBootId();
};

}  // namespace yuccapick::standin

#endif  // YUCCAPICK_STANDIN_EVENT_LOG_H_
