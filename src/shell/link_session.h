#ifndef YUCCAPICK_SHELL_LINK_SESSION_H_
#define YUCCAPICK_SHELL_LINK_SESSION_H_

/// @file
/// One connection between two processes: an nghttp2 HTTP/2 session over a byte
/// stream, with mutual authentication and heartbeats.

#include <nghttp2/nghttp2.h>

#include <array>
#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "absl/status/status.h"
#include "shell/link_auth.h"
#include "shell/link_stream.h"
#include "shell/link_transport.h"

namespace yuccapick {

/// Path of the stream that carries the authentication.
constexpr std::string_view kAuthPath = "/auth";

struct LinkTimings {
  /// Limit for TLS handshake and authentication together.
  std::chrono::milliseconds handshake_timeout{5'000};
  std::chrono::milliseconds heartbeat_interval{1'000};  ///< Between pings.
  /// A link on which nothing is received for longer is closed.
  std::chrono::milliseconds silence_timeout{3'000};
};

struct LinkSessionOptions {
  LinkRole role = LinkRole::kClient;
  std::string secret;
  std::string name;  ///< Name under which the peer sees this process.
  LinkTimings timings;
};

struct LinkSessionHandlers {
  std::function<void()> on_ready;  ///< Both ends are authenticated.
  std::function<void(LinkStreamPtr)> on_stream;  ///< The peer opened a stream.
  std::function<void(const absl::Status&)> on_closed;  ///< Runs once.
};

/// Keeps itself alive while its connection is open. All methods must be called
/// on the transport's loop.
class LinkSession : public std::enable_shared_from_this<LinkSession> {
 public:
  static std::shared_ptr<LinkSession> Make(
      std::unique_ptr<LinkTransport> transport, LinkSessionOptions options,
      LinkSessionHandlers handlers);
  ~LinkSession();
  LinkSession(const LinkSession&) = delete;
  LinkSession& operator=(const LinkSession&) = delete;

  void Start();
  /// Opens a stream. Returns null if the session is not ready or has no stream
  /// ids left; in the latter case it closes.
  LinkStreamPtr Open(const std::string& path, LinkStreamHandlers handlers);
  /// Responds to a stream that the peer opened with an error status only.
  void RejectStream(const LinkStreamPtr& stream, int http_status);
  /// Closes the connection at once; its streams end with an error.
  void Close(const absl::Status& status);
  /// Closes the connection once its pending output is written.
  void Shutdown();

  /// When the peer last sent something.
  std::chrono::steady_clock::time_point last_receive_time() const {
    return last_receive_time_;
  }
  bool ready() const { return ready_ && !closed_; }
  std::size_t streams() const { return streams_.size(); }
  /// True if there is no unwritten output.
  bool flushed() const;

 private:
  friend class LinkStream;
  friend class LinkHttp2;

  LinkSession(std::unique_ptr<LinkTransport> transport,
              LinkSessionOptions options, LinkSessionHandlers handlers);

  // Called by `LinkStream`.
  void ResumeStream(std::int32_t id);
  void ResetStream(std::int32_t id);
  void ConsumeReceived(std::int32_t id, std::size_t n);

  void StartHttp2();
  void ReadMore();
  void ScheduleFlush();
  void Flush();
  void ScheduleHeartbeat();
  void OnHeartbeatTimer();

  // Authentication.
  void StartAuth();
  void AwaitClientProof(const LinkStreamPtr& stream);
  void OnServerAuthFrame(LinkStream& stream, std::string_view payload);
  void OnClientAuthFrame(LinkStream& stream, std::string_view payload);
  void BecomeReady();
  void FailAuth();

  LinkStreamPtr OpenStream(const std::string& path);
  void NotifyWritable();

  // Events of the HTTP/2 session.
  void OnPeerStream(const LinkStreamPtr& stream);
  void OnStreamClose(std::int32_t id, std::uint32_t error_code);
  LinkStreamPtr Find(std::int32_t id) const;

  std::unique_ptr<LinkTransport> transport_;
  LinkSessionOptions options_;
  LinkSessionHandlers handlers_;
  asio::steady_timer timer_;
  nghttp2_session* http2_ = nullptr;
  std::unordered_map<std::int32_t, LinkStreamPtr> streams_;

  static constexpr std::size_t kReadBufferBytes = 64 << 10;
  std::array<std::uint8_t, kReadBufferBytes> read_buffer_{};
  std::string write_buffer_;
  std::vector<LinkStreamPtr> writable_streams_;
  bool writing_ = false;
  bool flush_scheduled_ = false;

  std::string client_nonce_;
  std::string server_nonce_;
  std::string peer_name_;
  LinkStreamPtr auth_stream_;
  bool ready_ = false;
  bool closed_ = false;
  std::chrono::steady_clock::time_point start_time_;
  std::chrono::steady_clock::time_point last_receive_time_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_LINK_SESSION_H_
