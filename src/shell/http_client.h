#ifndef YUCCAPICK_SHELL_HTTP_CLIENT_H_
#define YUCCAPICK_SHELL_HTTP_CLIENT_H_

/// @file
/// Asynchronous HTTP client: libcurl driven by an Asio event loop.

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
  std::chrono::milliseconds total{0};  ///< 0 means no limit.
  /// `total` ends when the response begins to arrive. It may then take as long
  /// as it keeps arriving, within limits that tell it from one without an end.
  bool until_response = false;
};

struct HttpRequest {
  std::string method = "GET";
  std::string url;
  std::vector<Header> headers;
  std::string body;
  HttpTimeouts timeouts;
  /// Whether the request may reach the peer more than once. If not, it uses a
  /// new connection instead of a pooled one, which may be stale, and libcurl
  /// never resends it.
  bool repeatable = false;
  /// Longest time for which a pooled connection may have been idle; 0 demands a
  /// new connection.
  std::chrono::seconds max_idle{60};
};

struct HttpResult {
  /// Ok if the complete response arrived, whatever its HTTP status.
  absl::Status status;
  long http_status = 0;
  bool sent = false;  ///< False only if no byte can have reached the peer.
};

/// Callbacks of one request. They run on the loop's thread, and never after
/// `on_done` or `Cancel`.
struct HttpCallbacks {
  std::function<void(long status, const std::vector<Header>& headers)> on_head;
  std::function<void(std::string_view)> on_data;
  std::function<void(const HttpResult&)> on_done;
};

/// A complete response.
struct HttpResponse {
  HttpResult result;
  std::vector<Header> headers;
  std::string body;
};

enum class RequestHandle : std::uint64_t {};

/// Runs requests concurrently over pooled keep-alive connections. All methods
/// must be called on the loop's thread; none runs a callback before it returns.
class HttpClient {
 public:
  explicit HttpClient(asio::io_context& loop);
  /// Cancels all requests without a callback.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  RequestHandle Start(HttpRequest request, HttpCallbacks callbacks);

  /// Starts a request and buffers its complete response.
  /// @param max_body_bytes a longer body fails the request with
  ///   `kResourceExhausted`
  RequestHandle Fetch(HttpRequest request, std::size_t max_body_bytes,
                      std::function<void(HttpResponse)> done);

  /// Cancels a request; no further callback runs.
  void Cancel(RequestHandle handle);

  /// Stops reading the response; TCP flow control slows the peer down.
  void Pause(RequestHandle handle);
  void Resume(RequestHandle handle);

  std::size_t active() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_HTTP_CLIENT_H_
