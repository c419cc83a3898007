#ifndef YUCCAPICK_SHELL_LINK_SERVER_H_
#define YUCCAPICK_SHELL_LINK_SERVER_H_

/// @file
/// Accepts links from other processes and dispatches their streams by path.

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "absl/status/status.h"
#include "shell/link_call.h"
#include "shell/link_session.h"
#include "shell/settings.h"

namespace yuccapick {

struct LinkServerOptions {
  Endpoint listen;  ///< Port 0 selects a free port.
  std::string secret;
  std::string name;  ///< Name under which peers see this process.
  TlsSettings tls;
  LinkTimings timings;
  std::size_t max_connections = 4096;
};

struct LinkServerStats {
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;          ///< Rejected over `max_connections`.
  std::uint64_t unauthenticated = 0;  ///< Failed authentication.
};

/// Listens on one address. All methods must be called on the loop's thread.
class LinkServer : public std::enable_shared_from_this<LinkServer> {
 public:
  using StreamHandler = std::function<void(const LinkStreamPtr&)>;

  static std::shared_ptr<LinkServer> Make(asio::io_context& loop,
                                          LinkServerOptions options);

  /// Registers `handler` for streams with exactly this path. It must set the
  /// stream's handlers.
  void HandlePath(const std::string& path, StreamHandler handler);
  /// Registers `handler` for calls of this name.
  void HandleCall(const std::string& name, CallHandler handler);

  absl::Status Start();
  void StopAccepting();
  /// Stops accepting and closes all links once their pending output is written.
  void Stop();

  std::uint16_t port() const;
  /// True if no link has unwritten output.
  bool flushed() const;
  std::size_t connections() const { return sessions_.size(); }
  const LinkServerStats& stats() const { return stats_; }

 private:
  LinkServer(asio::io_context& loop, LinkServerOptions options);

  void Accept();
  void AddConnection(asio::ip::tcp::socket socket);
  void Dispatch(const std::weak_ptr<LinkSession>& session,
                const LinkStreamPtr& stream);
  void OnSessionClosed(LinkSession* session, const absl::Status& status);

  asio::io_context& loop_;
  LinkServerOptions options_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  TlsContextPtr tls_;
  std::unordered_map<std::string, StreamHandler> paths_;
  std::unordered_map<LinkSession*, std::shared_ptr<LinkSession>> sessions_;
  LinkServerStats stats_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_LINK_SERVER_H_
