#ifndef YUCCAPICK_SHELL_LOOP_THREAD_H_
#define YUCCAPICK_SHELL_LOOP_THREAD_H_

#include <asio.hpp>
#include <string>
#include <thread>

namespace yuccapick {

/// A thread that runs one event loop.
class LoopThread {
 public:
  LoopThread() : work_(asio::make_work_guard(loop_)) {}
  ~LoopThread() { Stop(); }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  asio::io_context& loop() { return loop_; }

  void Start() {
    thread_ = std::thread([this] { loop_.run(); });
  }

  /// Stops the loop and joins the thread.
  void Stop() {
    loop_.stop();
    Join();
  }

  /// Joins the thread once a handler on the loop has stopped the loop.
  void Join() {
    if (thread_.joinable()) thread_.join();
  }

 private:
  asio::io_context loop_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_LOOP_THREAD_H_
