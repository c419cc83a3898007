#ifndef YUCCAPICK_TEST_GATEWAY_ENDLESS_SERVER_H_
#define YUCCAPICK_TEST_GATEWAY_ENDLESS_SERVER_H_

/// @file
/// A faulty server that answers with bytes without end.

#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "test/gateway/received_request.h"

namespace yuccapick {

/// How an answer begins, and what follows again and again.
struct EndlessAnswer {
  std::string begin;
  std::string piece;
};

/// Writes to each connection until it is closed.
class EndlessServer {
 public:
  using Script = std::function<EndlessAnswer(const ReceivedRequest&)>;

  EndlessServer(asio::io_context& loop, Script script);

  std::string endpoint() const;
  /// Requests that it answered without end.
  std::size_t answers() const { return *answers_; }

 private:
  struct Connection;
  void Accept();

  Script script_;
  std::shared_ptr<std::size_t> answers_ = std::make_shared<std::size_t>(0);
  asio::ip::tcp::acceptor acceptor_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_GATEWAY_ENDLESS_SERVER_H_
