#include "gateway/caller_stream.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <utility>

namespace yuccapick {
namespace {

using Tcp = asio::ip::tcp;

/// Bytes per TLS write: the size of one TLS record.
constexpr std::size_t kTlsWriteBytes = 16'384;

void ShutdownSendOf(Tcp::socket& socket) {
  asio::error_code ignored;  // The peer may have closed already.
  socket.shutdown(Tcp::socket::shutdown_send, ignored);
}

void SetResetOnCloseOf(Tcp::socket& socket, bool reset) {
  asio::error_code ignored;  // On failure the connection is closed normally.
  socket.set_option(asio::socket_base::linger(reset, 0), ignored);
}

void CloseOf(Tcp::socket& socket) {
  asio::error_code ignored;  // The socket is unusable afterwards either way.
  socket.close(ignored);
}

/// Bytes that the kernel takes before the caller can receive them. Without this
/// bound it takes megabytes for a caller that does not read, and one that reads
/// slowly lets more be written only after a long time.
using UnsentBound =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;
constexpr int kMaxKernelUnsentBytes = 65'536;

void SetOptions(Tcp::socket& socket) {
  asio::error_code ignored;  // Options are best effort.
  socket.set_option(Tcp::no_delay(true), ignored);
  socket.set_option(UnsentBound(kMaxKernelUnsentBytes), ignored);
}

class PlainStream : public CallerStream {
 public:
  explicit PlainStream(Tcp::socket socket) : socket_(std::move(socket)) {
    SetOptions(socket_);
    asio::error_code ignored;  // Cannot fail on an open socket.
    socket_.non_blocking(true, ignored);
  }

  void ReadSome(asio::mutable_buffer buf, OnRead done) override {
    socket_.async_read_some(buf, std::move(done));
  }

  std::size_t WriteSome(std::string_view bytes, asio::error_code& ec) override {
    std::size_t taken = 0;
    while (taken < bytes.size() && !ec) {
      const std::string_view rest = bytes.substr(taken);
      taken += socket_.write_some(asio::buffer(rest.data(), rest.size()), ec);
    }
    return taken;
  }

  void WaitWritable(OnWritable done) override {
    socket_.async_wait(Tcp::socket::wait_write, std::move(done));
  }

  void ShutdownSend() override { ShutdownSendOf(socket_); }
  void SetResetOnClose(bool reset) override {
    SetResetOnCloseOf(socket_, reset);
  }
  void Close() override { CloseOf(socket_); }
  asio::any_io_executor executor() override { return socket_.get_executor(); }

 private:
  Tcp::socket socket_;
};

class TlsStream : public CallerStream,
                  public std::enable_shared_from_this<TlsStream> {
 public:
  TlsStream(Tcp::socket socket, std::shared_ptr<asio::ssl::context> context)
      : context_(std::move(context)), stream_(std::move(socket), *context_) {
    SetOptions(stream_.next_layer());
  }

  void ReadSome(asio::mutable_buffer buf, OnRead done) override {
    if (handshake_done_) return stream_.async_read_some(buf, std::move(done));
    stream_.async_handshake(asio::ssl::stream_base::server,
                            [self = shared_from_this(), buf,
                             done = std::move(done)](asio::error_code ec) {
                              if (ec) return done(ec, 0);
                              self->handshake_done_ = true;
                              self->ReadSome(buf, done);
                            });
  }

  std::size_t WriteSome(std::string_view bytes, asio::error_code& ec) override {
    ec = write_error_;
    if (ec || bytes.empty()) return 0;
    ec = asio::error::would_block;
    if (!sending_.empty()) return 0;
    sending_ = bytes.substr(0, kTlsWriteBytes);
    Send();
    if (sending_.size() == bytes.size()) ec = {};
    return sending_.size();
  }

  void WaitWritable(OnWritable done) override {
    if (!sending_.empty()) {
      on_writable_ = std::move(done);
      return;
    }
    asio::post(executor(),
               [done = std::move(done), ec = write_error_] { done(ec); });
  }

  void ShutdownSend() override {
    shutdown_requested_ = true;
    if (sending_.empty()) ShutdownSendOf(stream_.next_layer());
  }

  void SetResetOnClose(bool reset) override {
    SetResetOnCloseOf(stream_.next_layer(), reset);
  }
  void Close() override { CloseOf(stream_.next_layer()); }
  asio::any_io_executor executor() override { return stream_.get_executor(); }

 private:
  void Send() {
    asio::async_write(
        stream_, asio::buffer(sending_),
        [self = shared_from_this()](const asio::error_code& ec,
                                    std::size_t /*n*/) { self->OnSent(ec); });
  }

  void OnSent(const asio::error_code& ec) {
    write_error_ = ec;
    sending_.clear();
    const OnWritable done = std::exchange(on_writable_, nullptr);
    if (done) done(ec);
    if (shutdown_requested_ && sending_.empty()) {
      ShutdownSendOf(stream_.next_layer());
    }
  }

  std::shared_ptr<asio::ssl::context> context_;
  asio::ssl::stream<Tcp::socket> stream_;
  bool handshake_done_ = false;
  std::string sending_;  ///< Bytes of the write in flight; empty if none.
  OnWritable on_writable_;
  asio::error_code write_error_;
  bool shutdown_requested_ = false;
};

}  // namespace

CallerStreamFactory MakePlainStreamFactory() {
  return [](Tcp::socket socket) {
    return std::make_shared<PlainStream>(std::move(socket));
  };
}

CallerStreamFactory MakeTlsStreamFactory(
    std::shared_ptr<asio::ssl::context> context) {
  return [context = std::move(context)](Tcp::socket socket) {
    return std::make_shared<TlsStream>(std::move(socket), context);
  };
}

}  // namespace yuccapick
