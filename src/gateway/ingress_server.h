#ifndef YUCCAPICK_GATEWAY_INGRESS_SERVER_H_
#define YUCCAPICK_GATEWAY_INGRESS_SERVER_H_

/// @file
/// Accepts callers' HTTP/1.1 connections.

#include <asio.hpp>
#include <limits>
#include <memory>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "gateway/caller_stream.h"
#include "gateway/ingress_session.h"
#include "gateway/owned_timer.h"

namespace yuccapick {

struct IngressOptions {
  CallerStreamFactory make_stream = MakePlainStreamFactory();
  /// At this number idle connections are closed; while there is none, further
  /// connections stay in the listen queue.
  std::size_t max_sessions = std::numeric_limits<std::size_t>::max();
};

/// Accepts callers' connections and checks their timeouts.
class IngressServer {
 public:
  IngressServer(asio::io_context& loop, IngressHandler& handler,
                IngressOptions options = {});

  /// @param endpoint `IP:PORT`
  absl::Status Open(std::string_view endpoint);
  /// Stops accepting connections.
  void CloseListener();
  void CheckTimeouts(TimePoint now);
  void AnnounceClose();
  void DrainSessions();
  /// Ends all requests under way or being received.
  /// @param refusal fields of the answers to those that are being received
  /// @return their number
  std::size_t EndRequests(const std::vector<HttpField>& refusal);
  void CloseAll();

  std::size_t session_count() const { return sessions_.size(); }
  /// Bytes of answers that are not yet written to the sockets.
  std::size_t unsent_bytes() const;
  /// Sessions that receive a request or have one to answer, up to the last
  /// byte of its answer.
  std::size_t busy_count() const;

 private:
  void Accept();
  void AcceptAfterDelay();
  void DropClosedSessions();
  /// Closes the connection that has been idle for longest.
  void CloseIdleSession(TimePoint now);
  /// Under memory pressure, ends the messages with the least progress for what
  /// they hold.
  void EndSlowMessages();

  asio::io_context& loop_;
  IngressHandler& handler_;
  IngressOptions options_;
  asio::ip::tcp::acceptor acceptor_;
  OwnedTimer accept_retry_timer_;
  /// Expires with this object, which queued handlers outlive.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::vector<std::shared_ptr<IngressSession>> sessions_;
  bool announce_close_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_INGRESS_SERVER_H_
