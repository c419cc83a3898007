#ifndef YUCCAPICK_GATEWAY_CALL_CLIENT_H_
#define YUCCAPICK_GATEWAY_CALL_CLIENT_H_

/// @file
/// Short HTTP calls to the table service, to peers and to upstreams. The whole
/// answer is buffered.

#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "gateway/http_connection.h"

namespace yuccapick {

/// Status, header fields and body of an answer.
struct CallAnswer {
  int status = 0;
  std::string body;
  std::vector<HttpField> fields;
};

/// Makes calls with a timeout. A call that ends without an answer may still
/// take effect at the server. After a timeout the next call to the endpoint
/// doesn't use a connection that may be as silent.
class CallClient {
 public:
  using Done = std::function<void(absl::StatusOr<CallAnswer>)>;

  CallClient(asio::io_context& loop, HttpConnectionOptions options)
      : loop_(loop),
        connections_(std::make_shared<HttpConnectionPool>(loop, options)) {}

  /// @param done called exactly once, asynchronously, on the loop; Unavailable
  ///   if nothing was sent, DeadlineExceeded or Unknown if the call may have
  ///   taken effect
  void Call(const std::string& endpoint, std::string request,
            std::chrono::milliseconds timeout, Done done);
  void DropExpired(TimePoint now) { connections_->DropExpired(now); }

 private:
  asio::io_context& loop_;
  std::shared_ptr<HttpConnectionPool>
      connections_;  ///< Shared by calls in flight.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_CALL_CLIENT_H_
