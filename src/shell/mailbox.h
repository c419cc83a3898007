#ifndef YUCCAPICK_SHELL_MAILBOX_H_
#define YUCCAPICK_SHELL_MAILBOX_H_

#include <asio.hpp>
#include <atomic>
#include <boost/lockfree/queue.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace yuccapick {

/// Bounded ring between duties: any thread posts, one event loop consumes.
template <typename Message>
class Mailbox {
 public:
  using Consumer = std::function<void(Message)>;

  /// @param loop event loop of the consuming thread
  /// @param capacity messages that fit before `Post` refuses
  Mailbox(asio::io_context& loop, std::size_t capacity, Consumer consumer)
      : loop_(loop), ring_(capacity), consumer_(std::move(consumer)) {}

  ~Mailbox() {
    Message* message = nullptr;
    while (ring_.pop(message)) delete message;
  }

  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  /// Hands a message over.
  /// @return false if the ring is full; the message is dropped and counted, so
  ///   the caller must refuse or retry the work it stands for.
  bool Post(Message message) {
    auto owned = std::make_unique<Message>(std::move(message));
    if (!ring_.bounded_push(owned.get())) {
      refused_.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    static_cast<void>(owned.release());
    if (!awake_.exchange(true)) asio::post(loop_, [this] { Consume(); });
    return true;
  }

  /// Messages refused because the ring was full.
  std::size_t refused() const {
    return refused_.load(std::memory_order_relaxed);
  }

 private:
  void Consume() {
    awake_.store(false);
    Message* message = nullptr;
    while (ring_.pop(message)) {
      std::unique_ptr<Message> owned(message);
      consumer_(std::move(*owned));
    }
  }

  asio::io_context& loop_;
  boost::lockfree::queue<Message*> ring_;
  Consumer consumer_;
  std::atomic<bool> awake_{false};
  std::atomic<std::size_t> refused_{0};
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_MAILBOX_H_
