#ifndef YUCCAPICK_SHELL_LINK_CLIENT_H_
#define YUCCAPICK_SHELL_LINK_CLIENT_H_

/// @file
/// Keeps one link to another process, and connects again when it breaks.

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "absl/status/status.h"
#include "shell/link_call.h"
#include "shell/link_session.h"
#include "shell/settings.h"

namespace yuccapick {

struct LinkClientOptions {
  Endpoint peer;
  std::string secret;
  std::string name;   ///< Shown to the peer.
  TlsContextPtr tls;  ///< Null for plain TCP.
  LinkTimings timings;
  std::chrono::milliseconds connect_timeout{2'000};
  std::chrono::milliseconds first_backoff{50};
  std::chrono::milliseconds longest_backoff{2'000};
  std::uint64_t seed = 0;  ///< Of the back-off jitter.
};

struct LinkClientHandlers {
  std::function<void()> on_up;
  /// The link broke, or could not be made.
  std::function<void(const absl::Status&)> on_down;
};

/// All calls are made on the loop's thread.
class LinkClient : public std::enable_shared_from_this<LinkClient> {
 public:
  static std::shared_ptr<LinkClient> Make(asio::io_context& loop,
                                          LinkClientOptions options,
                                          LinkClientHandlers handlers);

  void Start();
  /// Ends the link for good; no handler runs afterwards, but open streams end
  /// with an error.
  void Stop();

  /// Opens a stream. Returns null while the link is down.
  LinkStreamPtr Open(const std::string& path, LinkStreamHandlers handlers);
  /// Calls a handler of the peer. Without an answer within `timeout` the result
  /// is `kDeadlineExceeded`, and the call may have run.
  void Call(const std::string& name, std::string_view bytes,
            std::chrono::milliseconds timeout, CallDone done);

  bool up() const { return session_ != nullptr && session_->ready(); }

 private:
  LinkClient(asio::io_context& loop, LinkClientOptions options,
             LinkClientHandlers handlers);

  void Connect();
  void Connected(asio::error_code ec);
  void Broke(const absl::Status& status);
  std::chrono::milliseconds NextBackoff();

  asio::io_context& loop_;
  LinkClientOptions options_;
  LinkClientHandlers handlers_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<LinkSession> session_;
  std::mt19937_64 random_;
  int failures_ = 0;
  bool stopped_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_LINK_CLIENT_H_
