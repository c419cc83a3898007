#include "test/gateway/abrupt_server.h"

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "test/shell/scripted_server.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kResetDelay{300};

}  // namespace

struct AbruptServer::Connection : std::enable_shared_from_this<Connection> {
  Connection(asio::ip::tcp::socket s, const AbruptServer& server)
      : socket(std::move(s)),
        timer(socket.get_executor()),
        read_bytes(server.read_bytes_),
        end(server.end_),
        script(server.script_),
        answers(server.answers_) {}

  void Read() {
    socket.async_read_some(
        asio::buffer(buf),
        [self = shared_from_this()](asio::error_code ec, std::size_t n) {
          if (ec || self->answered) return;
          self->input.append(self->buf.data(), n);
          self->OnInput();
        });
  }
  void OnInput() {
    const std::optional<ReceivedRequest> request = Take();
    if (!request) return Read();
    answered = true;
    ++*answers;
    asio::error_code ignored;  // The peer may have closed.
    asio::write(socket, asio::buffer(script(*request)), ignored);
    End();
  }
  /// @return the request as far as it is to be read; nullopt if more is
  std::optional<ReceivedRequest> Take() {
    if (read_bytes == kWholeRequest) return TakeRequest(input);
    const std::size_t head_end = input.find("\r\n\r\n");
    if (head_end == std::string::npos || input.size() < read_bytes) {
      return std::nullopt;
    }
    return ReceivedRequest{input.substr(0, head_end), input.substr(head_end)};
  }
  void End() {
    asio::error_code ignored;  // The peer may have closed.
    const auto send = asio::ip::tcp::socket::shutdown_send;
    if (end == ConnectionEnd::kNone) return Hold();
    if (end == ConnectionEnd::kReset) return Reset();
    socket.shutdown(send, ignored);
    if (end == ConnectionEnd::kFinAndReset) return Reset();
    if (end == ConnectionEnd::kFin) return Drain();
    Hold();
  }
  /// Keeps the connection for a while, and resets it if that is its end.
  void Hold() {
    const bool resets = end == ConnectionEnd::kFinThenReset;
    timer.expires_after(resets ? kResetDelay : kTestTimeout);
    timer.async_wait([self = shared_from_this()](asio::error_code ec) {
      if (!ec) self->Reset();
    });
  }
  void Drain() {
    socket.async_read_some(
        asio::buffer(buf),
        [self = shared_from_this()](asio::error_code ec, std::size_t) {
          if (!ec) self->Drain();
        });
  }
  void Reset() {
    asio::error_code ignored;  // The peer may have closed.
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  std::size_t read_bytes;
  ConnectionEnd end;
  Script script;
  std::shared_ptr<std::size_t> answers;
  std::array<char, 4096> buf{};
  std::string input;
  bool answered = false;
};

AbruptServer::AbruptServer(asio::io_context& loop, std::size_t read_bytes,
                           ConnectionEnd end, Script script)
    : read_bytes_(read_bytes),
      end_(end),
      script_(std::move(script)),
      acceptor_(loop, {asio::ip::address_v4::loopback(), 0}) {
  Accept();
}

std::string AbruptServer::endpoint() const {
  return LoopbackEndpoint(acceptor_.local_endpoint().port());
}

void AbruptServer::Accept() {
  acceptor_.async_accept([this](asio::error_code ec, asio::ip::tcp::socket s) {
    if (ec) return;
    std::make_shared<Connection>(std::move(s), *this)->Read();
    Accept();
  });
}

}  // namespace yuccapick
