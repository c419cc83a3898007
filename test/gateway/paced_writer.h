#ifndef YUCCAPICK_TEST_GATEWAY_PACED_WRITER_H_
#define YUCCAPICK_TEST_GATEWAY_PACED_WRITER_H_

/// @file
/// Writes answers at the rate of a slow link.

#include <asio.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include "test/shell/scripted_server.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// Shares a rate among all answers that it writes. Answers whose receiver has
/// closed the connection are dropped.
class PacedWriter {
 public:
  /// @param bytes_per_second of all answers together
  PacedWriter(asio::io_context& loop, std::size_t bytes_per_second)
      : bytes_per_second_(bytes_per_second), timer_(loop) {}

  void Write(ScriptedServer::Connection& connection, std::string text);
  /// Sends nothing more of any answer until it is called with false.
  void set_stalled(bool stalled) { stalled_ = stalled; }
  /// Bytes written to connections, including those that nobody read.
  std::size_t written() const { return written_; }

 private:
  struct Answer {
    std::shared_ptr<ScriptedServer::Connection> connection;
    std::string text;
    std::size_t sent = 0;
  };

  void Schedule();
  /// Bytes that the link has carried since, also if the timer is late.
  void AddCredit();
  void WriteSome();

  std::size_t bytes_per_second_;
  asio::steady_timer timer_;
  std::deque<Answer> answers_;
  bool scheduled_ = false;
  TimePoint credit_at_;  ///< Unset while there is nothing to write.
  double credit_bytes_ = 0;
  bool stalled_ = false;
  std::size_t written_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_GATEWAY_PACED_WRITER_H_
