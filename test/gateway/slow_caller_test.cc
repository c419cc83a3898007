#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "gateway/http_connection.h"
#include "gateway/ingress_server.h"
#include "test/shell/scripted_server.h"
#include "test/shell/test_address.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kAnswerBytes = 7'000'000;
constexpr std::size_t kReadBytes = 150'000;
constexpr milliseconds kReadInterval{30};
constexpr milliseconds kIdleTimeout{400};
constexpr milliseconds kCheckInterval{20};

/// A server that answers every request with `kAnswerBytes`.
struct LargeAnswerServer : IngressHandler {
  LargeAnswerServer()
      : endpoint(TestHost() + ":" + std::to_string(NextTestPort())),
        timer(loop),
        server(loop, *this) {
    REQUIRE(server.Open(endpoint).ok());
    CheckTimeouts();
  }

  std::shared_ptr<PendingRequest> OnRequest(
      IngressRequest /*request*/,
      std::shared_ptr<IngressSession> session) override {
    session->Respond(200, {}, std::string(kAnswerBytes, 'x'));
    return nullptr;
  }
  std::string OnBadRequest(int /*status*/, std::string_view reason) override {
    return std::string(reason);
  }
  CallerLimits limits() const override {
    CallerLimits limits;
    limits.idle_timeout = kIdleTimeout;
    return limits;
  }

  void CheckTimeouts() {
    server.CheckTimeouts(std::chrono::steady_clock::now());
    timer.expires_after(kCheckInterval);
    timer.async_wait([this](const asio::error_code& ec) {
      if (!ec) CheckTimeouts();
    });
  }

  asio::io_context loop;
  std::string endpoint;
  asio::steady_timer timer;
  IngressServer server;
};

/// A caller that reads a little now and then.
struct SlowCaller {
  explicit SlowCaller(LargeAnswerServer& server)
      : socket(server.loop), timer(server.loop), buf(kReadBytes, ' ') {
    socket.open(asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(kReadBytes));
    socket.connect(ParseEndpoint(server.endpoint));
    asio::write(socket,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")));
  }

  void Read() {
    timer.expires_after(kReadInterval);
    timer.async_wait([this](const asio::error_code&) {
      socket.async_read_some(asio::buffer(buf),
                             [this](const asio::error_code& ec, std::size_t n) {
                               received += n;
                               ended = static_cast<bool>(ec);
                               if (!ended && received < kAnswerBytes) Read();
                             });
    });
  }

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  std::string buf;
  std::size_t received = 0;
  bool ended = false;
};

TEST_CASE("A caller that takes an answer slowly gets all of it") {
  LargeAnswerServer server;
  SlowCaller caller(server);
  caller.Read();
  REQUIRE(RunUntil(server.loop, [&] {
    return caller.ended || caller.received >= kAnswerBytes;
  }));
  CHECK(caller.received >= kAnswerBytes);
}

TEST_CASE("A caller that takes nothing of its answer is closed") {
  LargeAnswerServer server;
  SlowCaller caller(server);
  REQUIRE(RunUntil(server.loop,
                   [&] { return server.server.session_count() == 1; }));
  CHECK(RunUntil(server.loop,
                 [&] { return server.server.session_count() == 0; }));
}

}  // namespace
}  // namespace yuccapick
