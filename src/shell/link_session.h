#ifndef YUCCAPICK_SHELL_LINK_SESSION_H_
#define YUCCAPICK_SHELL_LINK_SESSION_H_

/// @file
/// One connection between two processes: an HTTP/2 session by nghttp2 over a
/// byte stream, with mutual proof of the secret and heartbeats.

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

/// Path of the stream that proves the secret.
constexpr std::string_view kProofPath = "/auth";

struct LinkTimings {
  std::chrono::milliseconds handshake{5'000};   ///< TLS and authentication.
  std::chrono::milliseconds heartbeat{1'000};   ///< Between pings.
  std::chrono::milliseconds dead_after{3'000};  ///< Silence of a dead link.
};

struct LinkSessionOptions {
  LinkRole end = LinkRole::kClient;
  std::string secret;
  std::string name;  ///< Shown to the peer.
  LinkTimings timings;
};

struct LinkSessionHandlers {
  std::function<void()> on_ready;                ///< Both ends are proved.
  std::function<void(LinkStreamPtr)> on_stream;  ///< The peer opened one.
  std::function<void(const absl::Status&)> on_closed;  ///< Runs once.
};

/// A session; it keeps itself alive while its connection is open. All calls
/// are made on the loop of the transport.
class LinkSession : public std::enable_shared_from_this<LinkSession> {
 public:
  static std::shared_ptr<LinkSession> Make(
      std::unique_ptr<LinkTransport> transport, LinkSessionOptions options,
      LinkSessionHandlers handlers);
  ~LinkSession();
  LinkSession(const LinkSession&) = delete;
  LinkSession& operator=(const LinkSession&) = delete;

  void Start();
  /// Opens a stream. Returns null if the session cannot carry it.
  LinkStreamPtr Open(const std::string& path, LinkStreamHandlers handlers);
  /// Answers a stream that the peer opened and ends it with an HTTP status.
  void Refuse(const LinkStreamPtr& stream, int http_status);
  /// Ends the connection at once; its streams end with an error.
  void Close(const absl::Status& status);
  /// Ends the connection after what was sent has left.
  void Shutdown();

  bool ready() const { return ready_ && !closed_; }
  std::size_t streams() const { return streams_.size(); }
  /// True if nothing that was sent waits to leave.
  bool flushed() const;

 private:
  friend class LinkStream;
  friend class LinkHttp2;

  LinkSession(std::unique_ptr<LinkTransport> transport,
              LinkSessionOptions options, LinkSessionHandlers handlers);

  // Called by streams.
  void ResumeStream(std::int32_t id);
  void ResetStream(std::int32_t id);
  void ReturnWindow(std::int32_t id, std::size_t n);

  void Begin();
  void ReadMore();
  void ScheduleFlush();
  void Flush();
  void ScheduleHeartbeat();
  void Heartbeat();

  // Authentication.
  void BeginProof();
  void ExpectClientProof(const LinkStreamPtr& stream);
  void TakeServerProof(LinkStream& stream, std::string_view payload);
  void TakeClientProof(LinkStream& stream, std::string_view payload);
  void BecomeReady();
  void FailProof();

  LinkStreamPtr OpenStream(const std::string& path);
  void NotifyDrained();

  // Events of the HTTP/2 session.
  void PeerOpened(const LinkStreamPtr& stream);
  void StreamClosed(std::int32_t id, std::uint32_t error_code);
  LinkStreamPtr Find(std::int32_t id) const;

  std::unique_ptr<LinkTransport> transport_;
  LinkSessionOptions options_;
  LinkSessionHandlers handlers_;
  asio::steady_timer timer_;
  nghttp2_session* http2_ = nullptr;
  std::unordered_map<std::int32_t, LinkStreamPtr> streams_;

  static constexpr std::size_t kReadBytes = 64 << 10;
  std::array<std::uint8_t, kReadBytes> in_{};
  std::string out_;
  std::vector<LinkStreamPtr> drained_;
  bool writing_ = false;
  bool flush_scheduled_ = false;

  std::string client_nonce_;
  std::string server_nonce_;
  std::string peer_name_;
  LinkStreamPtr proof_stream_;
  bool ready_ = false;
  bool closed_ = false;
  std::chrono::steady_clock::time_point started_;
  std::chrono::steady_clock::time_point last_received_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_LINK_SESSION_H_
