#ifndef YUCCAPICK_SHELL_HTTP_CLIENT_H_
#define YUCCAPICK_SHELL_HTTP_CLIENT_H_

/// @file
/// HTTP client on an Asio event loop, by libcurl.

#include <asio.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "yuccapick/link_messages.h"

namespace yuccapick {

struct HttpTimeouts {
  std::chrono::milliseconds connect{2'000};
  std::chrono::milliseconds total{0};  ///< 0 is unlimited.
};

struct HttpRequest {
  std::string method = "GET";
  std::string url;
  std::vector<Header> headers;
  std::string body;
  HttpTimeouts timeouts;
  /// Whether the request may reach the peer more than once. One that may not
  /// takes a new connection, so that it cannot meet a stale pooled one, and is
  /// never sent again by the library.
  bool repeatable = false;
};

struct HttpResult {
  absl::Status status;  ///< Ok if the whole answer arrived, whatever its code.
  long http_status = 0;
  bool sent = false;  ///< False only if no byte can have reached the peer.
};

/// All run on the loop's thread; none runs after `on_done` or `Cancel`.
struct HttpCallbacks {
  std::function<void(long status, const std::vector<Header>& headers)> on_head;
  std::function<void(std::string_view)> on_data;
  std::function<void(const HttpResult&)> on_done;
};

/// A whole answer.
struct HttpResponse {
  HttpResult result;
  std::vector<Header> headers;
  std::string body;
};

enum class RequestHandle : std::uint64_t {};

/// Runs requests concurrently over pooled keep-alive connections. Every method
/// is to be called on the loop's thread; none calls back before it returns.
class HttpClient {
 public:
  explicit HttpClient(asio::io_context& loop);
  /// Drops all requests without a callback.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  RequestHandle Start(HttpRequest request, HttpCallbacks callbacks);

  /// Starts a request whose whole answer is wanted at once.
  /// @param max_body_bytes a longer answer fails the request
  RequestHandle Fetch(HttpRequest request, std::size_t max_body_bytes,
                      std::function<void(HttpResponse)> done);

  /// Ends a request without a further callback.
  void Cancel(RequestHandle handle);

  /// Stops receiving; the peer is slowed down by TCP's own flow control.
  void Pause(RequestHandle handle);
  void Resume(RequestHandle handle);

  std::size_t active() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_HTTP_CLIENT_H_
