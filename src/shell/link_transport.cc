#include "shell/link_transport.h"

#include <fmt/format.h>

#include <utility>

namespace yuccapick {
namespace {

void ShutdownAndClose(asio::ip::tcp::socket& socket) {
  asio::error_code ec;
  socket.shutdown(asio::ip::tcp::socket::shutdown_both, ec);
  socket.close(ec);
}

class TcpTransport : public LinkTransport {
 public:
  explicit TcpTransport(asio::ip::tcp::socket socket)
      : socket_(std::move(socket)) {}

  void Handshake(LinkRole /*end*/, HandshakeDone done) override {
    asio::post(socket_.get_executor(),
               [done = std::move(done)] { done(asio::error_code()); });
  }
  void Read(asio::mutable_buffer buf, Done done) override {
    socket_.async_read_some(buf, std::move(done));
  }
  void Write(asio::const_buffer buf, Done done) override {
    asio::async_write(socket_, buf, std::move(done));
  }
  void Close() override { ShutdownAndClose(socket_); }
  asio::any_io_executor executor() override { return socket_.get_executor(); }

 private:
  asio::ip::tcp::socket socket_;
};

class TlsTransport : public LinkTransport {
 public:
  TlsTransport(asio::ip::tcp::socket socket, TlsContextPtr context)
      : context_(std::move(context)), stream_(std::move(socket), *context_) {}

  void Handshake(LinkRole role, HandshakeDone done) override {
    const auto type = role == LinkRole::kClient
                          ? asio::ssl::stream_base::client
                          : asio::ssl::stream_base::server;
    stream_.async_handshake(type, std::move(done));
  }
  void Read(asio::mutable_buffer buf, Done done) override {
    stream_.async_read_some(buf, std::move(done));
  }
  void Write(asio::const_buffer buf, Done done) override {
    asio::async_write(stream_, buf, std::move(done));
  }
  void Close() override { ShutdownAndClose(stream_.next_layer()); }
  asio::any_io_executor executor() override { return stream_.get_executor(); }

 private:
  TlsContextPtr context_;
  asio::ssl::stream<asio::ip::tcp::socket> stream_;
};

absl::Status TlsFileError(const std::string& file, const asio::error_code& ec) {
  return absl::FailedPreconditionError(
      fmt::format("{}: cannot be used for TLS ({}); use a readable PEM file",
                  file, ec.message()));
}

}  // namespace

absl::StatusOr<TlsContextPtr> MakeTlsContext(const TlsSettings& settings,
                                             LinkRole role) {
  if (!settings.enabled()) return TlsContextPtr();
  auto context = std::make_shared<asio::ssl::context>(
      role == LinkRole::kClient ? asio::ssl::context::tls_client
                                : asio::ssl::context::tls_server);
  asio::error_code ec;
  SSL_CTX_set_min_proto_version(context->native_handle(), TLS1_2_VERSION);
  context->use_certificate_chain_file(settings.certificate_file, ec);
  if (ec) return TlsFileError(settings.certificate_file, ec);
  context->use_private_key_file(settings.key_file, asio::ssl::context::pem, ec);
  if (ec) return TlsFileError(settings.key_file, ec);
  if (settings.authority_file.empty()) {
    return absl::FailedPreconditionError(
        "TLS between processes needs authority_file; set it to the PEM of the "
        "authority that signed the peers' certificates");
  }
  context->load_verify_file(settings.authority_file, ec);
  if (ec) return TlsFileError(settings.authority_file, ec);
  context->set_verify_mode(asio::ssl::verify_peer |
                           asio::ssl::verify_fail_if_no_peer_cert);
  return context;
}

std::unique_ptr<LinkTransport> MakeTransport(asio::ip::tcp::socket socket,
                                             const TlsContextPtr& tls) {
  asio::error_code ec;
  socket.set_option(asio::ip::tcp::no_delay(true), ec);
  if (tls == nullptr) return std::make_unique<TcpTransport>(std::move(socket));
  return std::make_unique<TlsTransport>(std::move(socket), tls);
}

}  // namespace yuccapick
