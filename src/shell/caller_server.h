#ifndef YUCCAPICK_SHELL_CALLER_SERVER_H_
#define YUCCAPICK_SHELL_CALLER_SERVER_H_

/// @file
/// HTTP server for callers. All methods run on one event loop.

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "shell/settings.h"
#include "yuccapick/caller_api.h"

namespace yuccapick {

/// One HTTP call and its response. Methods have no effect after the response
/// ended or the caller disconnected.
class CallerExchange {
 public:
  virtual ~CallerExchange() = default;

  /// Sends a complete response.
  virtual void Respond(std::uint32_t status, const std::vector<Header>& headers,
                       std::string body) = 0;
  /// Starts a response whose body is sent in parts.
  virtual void Begin(std::uint32_t status,
                     const std::vector<Header>& headers) = 0;
  virtual void Send(std::string data) = 0;
  /// Ends the body.
  virtual void Finish() = 0;
  /// Closes the connection without ending the body, so that the response is
  /// visibly incomplete.
  virtual void Abort() = 0;
  /// Bytes passed to `Send` that are not written to the socket yet.
  virtual std::size_t UnsentBytes() const = 0;
};

/// Receives the calls of a server.
class CallerHandler {
 public:
  virtual ~CallerHandler() = default;
  /// @param call_id unique within the server, for `OnCallerDisconnected`
  virtual void OnCall(std::uint64_t call_id, HttpCall call,
                      std::shared_ptr<CallerExchange> exchange) = 0;
  /// The connection of an unanswered call was closed.
  virtual void OnCallerDisconnected(std::uint64_t call_id) = 0;
};

/// HTTP/1.1 server, with TLS if the settings name a certificate.
class CallerServer {
 public:
  virtual ~CallerServer() = default;

  /// Starts listening; to be called on the loop.
  virtual absl::Status Open() = 0;
  /// Stops listening and closes all open connections; to be called on the loop.
  virtual void Close() = 0;
  /// Stops listening, and closes each connection when its answers are written.
  /// To be called on the loop.
  /// @param limit after which the others are closed, too
  /// @param closed called on the loop when all are closed
  virtual void CloseWhenWritten(std::chrono::milliseconds limit,
                                std::function<void()> closed) = 0;

  static std::unique_ptr<CallerServer> Create(asio::io_context& loop,
                                              const RouterSettings& settings,
                                              const TlsSettings& tls,
                                              CallerHandler& handler);
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_CALLER_SERVER_H_
