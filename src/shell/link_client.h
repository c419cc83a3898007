#ifndef YUCCAPICK_SHELL_LINK_CLIENT_H_
#define YUCCAPICK_SHELL_LINK_CLIENT_H_

/// @file
/// Maintains one link to another process and reconnects when it is lost.

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
  std::string name;   ///< Name under which the peer sees this process.
  TlsContextPtr tls;  ///< Null for plain TCP.
  LinkTimings timings;
  std::chrono::milliseconds connect_timeout{2'000};
  std::chrono::milliseconds initial_backoff{50};
  std::chrono::milliseconds max_backoff{2'000};
  std::uint64_t seed = 0;  ///< Seed of the back-off jitter.
};

struct LinkClientHandlers {
  std::function<void()> on_up;
  /// The link was lost or could not be established.
  std::function<void(const absl::Status&)> on_down;
};

/// All methods must be called on the loop's thread.
class LinkClient : public std::enable_shared_from_this<LinkClient> {
 public:
  static std::shared_ptr<LinkClient> Make(asio::io_context& loop,
                                          LinkClientOptions options,
                                          LinkClientHandlers handlers);

  void Start();
  /// Closes the link and stops reconnecting. None of the client's handlers runs
  /// afterwards, but open streams end with an error.
  void Stop();

  /// Opens a stream. Returns null while the link is down.
  LinkStreamPtr Open(const std::string& path, LinkStreamHandlers handlers);
  /// Calls a handler of the peer. Without a result within `timeout` the call
  /// ends with `kDeadlineExceeded`, and may have run nevertheless.
  void Call(const std::string& name, std::string_view bytes,
            std::chrono::milliseconds timeout, CallDone done);

  /// Closes the link and connects again if the peer has sent nothing since
  /// `since`. Open streams end with an error.
  void CloseIfSilentSince(std::chrono::steady_clock::time_point since);

  bool up() const { return session_ != nullptr && session_->ready(); }

 private:
  LinkClient(asio::io_context& loop, LinkClientOptions options,
             LinkClientHandlers handlers);

  void Connect();
  void OnConnected(asio::error_code ec);
  void OnLinkDown(const absl::Status& status);
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
