#ifndef YUCCAPICK_TEST_GATEWAY_ABRUPT_SERVER_H_
#define YUCCAPICK_TEST_GATEWAY_ABRUPT_SERVER_H_

/// @file
/// A server that reads a part of each request, writes bytes, and ends.

#include <asio.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "test/gateway/received_request.h"

namespace yuccapick {

/// How a server ends its connection after what it has written.
enum class ConnectionEnd {
  kNone,          ///< It keeps the connection and reads nothing more.
  kFin,           ///< Ends its sending side in order, and reads on.
  kReset,         ///< Resets the connection.
  kFinAndReset,   ///< Ends its sending side and resets at once.
  kFinThenReset,  ///< Ends its sending side, and resets a while later.
};

/// Reads nothing more of a connection while it answers.
class AbruptServer {
 public:
  /// Makes the bytes that are written; the request's body may be incomplete.
  using Script = std::function<std::string(const ReceivedRequest&)>;

  /// Reads whole requests.
  static constexpr std::size_t kWholeRequest = 0;

  /// @param read_bytes of a request, head and body, that are read before it is
  ///   answered, or `kWholeRequest`
  AbruptServer(asio::io_context& loop, std::size_t read_bytes,
               ConnectionEnd end, Script script);

  std::string endpoint() const;
  /// Requests that were answered.
  std::size_t answers() const { return *answers_; }

 private:
  struct Connection;
  void Accept();

  std::size_t read_bytes_;
  ConnectionEnd end_;
  Script script_;
  std::shared_ptr<std::size_t> answers_ = std::make_shared<std::size_t>(0);
  asio::ip::tcp::acceptor acceptor_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_GATEWAY_ABRUPT_SERVER_H_
