#ifndef YUCCAPICK_SHELL_LINK_TRANSPORT_H_
#define YUCCAPICK_SHELL_LINK_TRANSPORT_H_

/// @file
/// Byte stream that carries a link: plain TCP or TLS over TCP.

#include <asio.hpp>
#include <asio/ssl.hpp>
#include <cstddef>
#include <functional>
#include <memory>

#include "absl/status/statusor.h"
#include "shell/link_auth.h"
#include "shell/settings.h"

namespace yuccapick {

using TlsContextPtr = std::shared_ptr<asio::ssl::context>;

/// Loads certificate, key and CA certificate. Returns null if TLS is disabled.
absl::StatusOr<TlsContextPtr> MakeTlsContext(const TlsSettings& settings,
                                             LinkRole role);

/// A connected byte stream. Callbacks run on the socket's loop.
class LinkTransport {
 public:
  using Done = std::function<void(asio::error_code, std::size_t)>;
  using HandshakeDone = std::function<void(asio::error_code)>;

  virtual ~LinkTransport() = default;
  virtual void Handshake(LinkRole role, HandshakeDone done) = 0;
  virtual void Read(asio::mutable_buffer buf, Done done) = 0;
  virtual void Write(asio::const_buffer buf, Done done) = 0;
  virtual void Close() = 0;
  virtual asio::any_io_executor executor() = 0;
};

/// @param tls null for plain TCP
std::unique_ptr<LinkTransport> MakeTransport(asio::ip::tcp::socket socket,
                                             const TlsContextPtr& tls);

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_LINK_TRANSPORT_H_
