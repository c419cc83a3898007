#include "test/gateway/endless_server.h"

#include <array>
#include <optional>
#include <utility>

#include "test/shell/scripted_server.h"

namespace yuccapick {

struct EndlessServer::Connection : std::enable_shared_from_this<Connection> {
  Connection(asio::ip::tcp::socket s, Script answer_script,
             std::shared_ptr<std::size_t> count)
      : socket(std::move(s)),
        script(std::move(answer_script)),
        answers(std::move(count)) {}

  void Read() {
    socket.async_read_some(
        asio::buffer(buf),
        [self = shared_from_this()](asio::error_code ec, std::size_t n) {
          if (ec) return;
          self->input.append(self->buf.data(), n);
          const std::optional<ReceivedRequest> request =
              TakeRequest(self->input);
          if (!request) return self->Read();
          ++*self->answers;
          self->answer = self->script(*request);
          self->Write(self->answer.begin);
        });
  }
  void Write(const std::string& text) {
    asio::async_write(
        socket, asio::buffer(text),
        [self = shared_from_this()](asio::error_code ec, std::size_t) {
          if (!ec) self->Write(self->answer.piece);
        });
  }

  asio::ip::tcp::socket socket;
  Script script;
  std::shared_ptr<std::size_t> answers;
  std::array<char, 4096> buf{};
  std::string input;
  EndlessAnswer answer;
};

EndlessServer::EndlessServer(asio::io_context& loop, Script script)
    : script_(std::move(script)),
      acceptor_(loop, {asio::ip::address_v4::loopback(), 0}) {
  Accept();
}

std::string EndlessServer::endpoint() const {
  return LoopbackEndpoint(acceptor_.local_endpoint().port());
}

void EndlessServer::Accept() {
  acceptor_.async_accept([this](asio::error_code ec, asio::ip::tcp::socket s) {
    if (ec) return;
    std::make_shared<Connection>(std::move(s), script_, answers_)->Read();
    Accept();
  });
}

}  // namespace yuccapick
