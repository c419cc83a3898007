#ifndef YUCCAPICK_TEST_SHELL_SILENT_RELAY_H_
#define YUCCAPICK_TEST_SHELL_SILENT_RELAY_H_

/// @file
/// Relays connections to a server on loopback. Its open connections can fall
/// silent for good while new ones work.

#include <array>
#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace yuccapick {

class SilentRelay {
 public:
  SilentRelay(asio::io_context& loop, std::uint16_t target)
      : loop_(loop),
        target_(target),
        acceptor_(loop, {asio::ip::address_v4::loopback(), 0}) {
    Accept();
  }
  ~SilentRelay() {
    for (const auto& it : connections_) {
      asio::error_code ec;
      it->near.close(ec);
      it->far.close(ec);
    }
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  std::size_t accepted() const { return connections_.size(); }
  /// From now on the open connections carry nothing.
  void SilenceOpen() {
    for (const auto& it : connections_) it->silent = true;
  }

 private:
  using Socket = asio::ip::tcp::socket;

  struct Connection : std::enable_shared_from_this<Connection> {
    explicit Connection(Socket s, asio::io_context& loop)
        : near(std::move(s)), far(loop) {}

    void Copy(Socket& from, Socket& to, std::array<char, 4096>& buf) {
      from.async_read_some(asio::buffer(buf),
                           [self = shared_from_this(), &from, &to, &buf](
                               asio::error_code ec, std::size_t n) {
                             if (self->silent) return;
                             if (ec) return to.close(ec), void();
                             asio::write(to, asio::buffer(buf.data(), n), ec);
                             self->Copy(from, to, buf);
                           });
    }

    Socket near;
    Socket far;
    bool silent = false;
    std::array<char, 4096> near_buf{};
    std::array<char, 4096> far_buf{};
  };

  void Accept() {
    acceptor_.async_accept([this](asio::error_code ec, Socket s) {
      if (ec) return;
      auto connection = std::make_shared<Connection>(std::move(s), loop_);
      connection->far.connect({asio::ip::address_v4::loopback(), target_}, ec);
      connections_.push_back(connection);
      connection->Copy(connection->near, connection->far, connection->near_buf);
      connection->Copy(connection->far, connection->near, connection->far_buf);
      Accept();
    });
  }

  asio::io_context& loop_;
  std::uint16_t target_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<Connection>> connections_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_SHELL_SILENT_RELAY_H_
