#ifndef YUCCAPICK_TEST_SHELL_SCRIPTED_SERVER_H_
#define YUCCAPICK_TEST_SHELL_SCRIPTED_SERVER_H_

/// @file
/// A TCP server on loopback for tests. A script handles each connection's input
/// and may write to the connection and close it.

#include <array>
#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace yuccapick {

constexpr std::chrono::seconds kTestTimeout{20};

/// Runs `loop` until `done` holds.
/// @return false if it did not within `kTestTimeout`
template <typename Condition>
bool RunUntil(asio::io_context& loop, Condition done) {
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  loop.restart();
  while (!done()) {
    if (loop.run_one_until(end) == 0) return done();
  }
  return true;
}

class ScriptedServer {
 public:
  struct Connection : std::enable_shared_from_this<Connection> {
    explicit Connection(asio::ip::tcp::socket s) : socket(std::move(s)) {}

    void Write(const std::string& text) {
      asio::error_code ec;
      asio::write(socket, asio::buffer(text), ec);
    }
    void Close() {
      asio::error_code ec;
      socket.close(ec);
    }
    void Read(const std::function<void(Connection&)>& script) {
      socket.async_read_some(asio::buffer(buf),
                             [self = shared_from_this(), script](
                                 asio::error_code ec, std::size_t n) {
                               self->closed_by_peer = static_cast<bool>(ec);
                               if (ec) return;
                               self->input.append(self->buf.data(), n);
                               script(*self);
                               if (self->socket.is_open()) self->Read(script);
                             });
    }

    asio::ip::tcp::socket socket;
    std::array<char, 4096> buf{};
    std::string input;
    bool closed_by_peer = false;
  };

  ScriptedServer(asio::io_context& loop,
                 std::function<void(Connection&)> script)
      : acceptor_(loop, {asio::ip::address_v4::loopback(), 0}),
        script_(std::move(script)) {
    Accept();
  }

  /// Closes the listener and all connections.
  void Stop() {
    asio::error_code ec;
    acceptor_.close(ec);
    for (const auto& connection : connections) connection->Close();
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  std::string url(const std::string& path) const {
    return "http://127.0.0.1:" + std::to_string(port()) + path;
  }

  std::vector<std::shared_ptr<Connection>> connections;

 private:
  void Accept() {
    acceptor_.async_accept(
        [this](asio::error_code ec, asio::ip::tcp::socket s) {
          if (ec) return;
          connections.push_back(std::make_shared<Connection>(std::move(s)));
          connections.back()->Read(script_);
          Accept();
        });
  }

  asio::ip::tcp::acceptor acceptor_;
  std::function<void(Connection&)> script_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_SHELL_SCRIPTED_SERVER_H_
