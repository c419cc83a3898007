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

/// Bounded lock-free queue between threads: any thread posts, one event loop
/// consumes.
template <typename Message>
class Mailbox {
 public:
  using Consumer = std::function<void(Message)>;

  /// @param loop event loop of the consuming thread
  /// @param capacity number of messages that fit before `Post` fails
  Mailbox(asio::io_context& loop, std::size_t capacity, Consumer consumer)
      : loop_(loop), queue_(capacity), consumer_(std::move(consumer)) {}

  ~Mailbox() {
    Message* message = nullptr;
    while (queue_.pop(message)) delete message;
  }

  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  /// Enqueues a message for the consumer.
  /// @return false if the queue is full; the message is dropped and counted, so
  ///   the caller must reject or retry the work that it represents
  bool Post(Message message) {
    auto owned = std::make_unique<Message>(std::move(message));
    if (!queue_.bounded_push(owned.get())) {
      refused_.fetch_add(1, std::memory_order_relaxed);
      return false;
    }
    static_cast<void>(owned.release());
    if (!scheduled_.exchange(true)) asio::post(loop_, [this] { Consume(); });
    return true;
  }

  /// Number of messages dropped because the queue was full.
  std::size_t refused() const {
    return refused_.load(std::memory_order_relaxed);
  }

 private:
  void Consume() {
    scheduled_.store(false);
    Message* message = nullptr;
    while (queue_.pop(message)) {
      std::unique_ptr<Message> owned(message);
      consumer_(std::move(*owned));
    }
  }

  asio::io_context& loop_;
  boost::lockfree::queue<Message*> queue_;
  Consumer consumer_;
  std::atomic<bool> scheduled_{false};
  std::atomic<std::size_t> refused_{0};
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_MAILBOX_H_
