#include "gateway/caller_stream.h"

#include <algorithm>
#include <utility>

namespace yuccapick {
namespace {

using Tcp = asio::ip::tcp;

/// Bytes that TLS encrypts and sends at a time.
constexpr std::size_t kTlsWriteBytes = 16'384;

void ShutdownSendOf(Tcp::socket& socket) {
  asio::error_code ignored;  // The peer may have closed already.
  socket.shutdown(Tcp::socket::shutdown_send, ignored);
}

void ResetOnCloseOf(Tcp::socket& socket) {
  asio::error_code ignored;  // A plain close is what is left.
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

void CloseOf(Tcp::socket& socket) {
  asio::error_code ignored;  // The connection is given up either way.
  socket.close(ignored);
}

void SetNoDelay(Tcp::socket& socket) {
  asio::error_code ignored;  // Options are best effort.
  socket.set_option(Tcp::no_delay(true), ignored);
}

class PlainStream : public CallerStream {
 public:
  explicit PlainStream(Tcp::socket socket) : socket_(std::move(socket)) {
    SetNoDelay(socket_);
    asio::error_code ignored;  // A socket just accepted takes the option.
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
  void ResetOnClose() override { ResetOnCloseOf(socket_); }
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
    SetNoDelay(stream_.next_layer());
  }

  void ReadSome(asio::mutable_buffer buf, OnRead done) override {
    if (open_) return stream_.async_read_some(buf, std::move(done));
    stream_.async_handshake(asio::ssl::stream_base::server,
                            [self = shared_from_this(), buf,
                             done = std::move(done)](asio::error_code ec) {
                              if (ec) return done(ec, 0);
                              self->open_ = true;
                              self->ReadSome(buf, done);
                            });
  }

  std::size_t WriteSome(std::string_view bytes, asio::error_code& ec) override {
    ec = failed_;
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
               [done = std::move(done), ec = failed_] { done(ec); });
  }

  void ShutdownSend() override {
    shutdown_wanted_ = true;
    if (sending_.empty()) ShutdownSendOf(stream_.next_layer());
  }

  void ResetOnClose() override { ResetOnCloseOf(stream_.next_layer()); }
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
    failed_ = ec;
    sending_.clear();
    const OnWritable done = std::exchange(on_writable_, nullptr);
    if (done) done(ec);
    if (shutdown_wanted_ && sending_.empty()) {
      ShutdownSendOf(stream_.next_layer());
    }
  }

  std::shared_ptr<asio::ssl::context> context_;
  asio::ssl::stream<Tcp::socket> stream_;
  bool open_ = false;
  std::string sending_;  ///< On its way; empty: more can be written.
  OnWritable on_writable_;
  asio::error_code failed_;
  bool shutdown_wanted_ = false;
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
