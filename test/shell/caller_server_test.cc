#include "shell/caller_server.h"

#include <asio/ssl.hpp>
#include <catch2/catch.hpp>
#include <optional>

#include "test/shell/scripted_server.h"
#include "test/shell/test_address.h"
#include "test/shell/test_certificate.h"

namespace yuccapick {
namespace {

using Tcp = asio::ip::tcp;
using TlsClient = asio::ssl::stream<Tcp::socket>;

/// Records calls for the test to answer.
struct RecordingHandler : CallerHandler {
  void OnCall(std::uint64_t call_id, HttpCall call,
              std::shared_ptr<CallerExchange> exchange) override {
    ids.push_back(call_id);
    calls.push_back(std::move(call));
    exchanges.push_back(std::move(exchange));
  }
  void OnCallerDisconnected(std::uint64_t call_id) override {
    disconnected.push_back(call_id);
  }

  std::vector<std::uint64_t> ids;
  std::vector<HttpCall> calls;
  std::vector<std::shared_ptr<CallerExchange>> exchanges;
  std::vector<std::uint64_t> disconnected;
};

RouterSettings TestSettings() {
  RouterSettings settings;
  settings.listen = {TestHost(), NextTestPort()};
  settings.max_body_bytes = 1'000;
  return settings;
}

Tcp::endpoint EndpointOf(const RouterSettings& settings) {
  return {asio::ip::make_address(settings.listen.host), settings.listen.port};
}

/// A caller server with its event loop, settings and handler.
struct ServerFixture {
  explicit ServerFixture(const TlsSettings& tls = {}) {
    server = CallerServer::Create(loop, settings, tls, handler);
    REQUIRE(server->Open().ok());
  }
  ~ServerFixture() {
    server->Close();
    loop.restart();
    loop.poll();
  }

  Tcp::socket Connect() {
    Tcp::socket socket(loop);
    socket.connect(EndpointOf(settings));
    return socket;
  }

  /// Reads until the server closes the connection.
  template <typename Stream>
  std::string ReadAll(Stream& stream) {
    std::string answer;
    std::optional<asio::error_code> end;
    asio::async_read(
        stream, asio::dynamic_buffer(answer),
        [&end](const asio::error_code& ec, std::size_t /*n*/) { end = ec; });
    RunUntil(loop, [&end] { return end.has_value(); });
    return answer;
  }

  std::string Exchange(const std::string& request) {
    Tcp::socket socket = Connect();
    asio::write(socket, asio::buffer(request));
    return ReadAll(socket);
  }

  asio::io_context loop;
  RouterSettings settings = TestSettings();
  RecordingHandler handler;
  std::unique_ptr<CallerServer> server;
};

TEST_CASE(
    "A call with an unknown HTTP version is rejected with an error body") {
  ServerFixture world;
  const std::string answer =
      world.Exchange("GET /v1/models HTTP/9.9\r\nAuthorization: x\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 400 "));
  CHECK(answer.find(R"("execution":"not_run")") != std::string::npos);
  CHECK(world.handler.calls.empty());
}

TEST_CASE("A body far over the limit is rejected unread") {
  ServerFixture world;
  const std::string answer = world.Exchange(
      "POST /v1/completions HTTP/1.1\r\nContent-Length: 4001\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 413 "));
  CHECK(answer.find(R"("execution":"not_run")") != std::string::npos);
}

TEST_CASE("Header names are lowercased and the response is sent in parts") {
  ServerFixture world;
  Tcp::socket socket = world.Connect();
  asio::write(socket, asio::buffer(std::string(
                          "POST /v1/completions HTTP/1.1\r\nX-Team: A\r\n"
                          "Connection: close\r\nContent-Length: 2\r\n\r\n{}")));
  RunUntil(world.loop, [&] { return !world.handler.calls.empty(); });
  CHECK(world.handler.calls[0].HeaderValue("x-team") == "A");
  CHECK(world.handler.calls[0].body == "{}");
  CallerExchange& exchange = *world.handler.exchanges[0];
  exchange.Begin(200, {{"content-type", "text/event-stream"}});
  exchange.Send("data: 1\n\n");
  exchange.Finish();
  const std::string answer = world.ReadAll(socket);
  CHECK(answer.find("9\r\ndata: 1\n\n\r\n0\r\n\r\n") != std::string::npos);
  CHECK(world.handler.disconnected.empty());
}

TEST_CASE("A caller that disconnects before its answer is reported once") {
  ServerFixture world;
  Tcp::socket socket = world.Connect();
  asio::write(socket,
              asio::buffer(std::string("GET /v1/models HTTP/1.1\r\n\r\n")));
  RunUntil(world.loop, [&] { return !world.handler.calls.empty(); });
  socket.close();
  RunUntil(world.loop, [&] { return !world.handler.disconnected.empty(); });
  CHECK(world.handler.disconnected == world.handler.ids);
  // Responding after the caller disconnected has no effect.
  world.handler.exchanges[0]->Respond(200, {}, "late");
  CHECK(world.handler.exchanges[0]->UnsentBytes() == 0);
}

TEST_CASE("An aborted response has no end-of-body marker") {
  ServerFixture world;
  Tcp::socket socket = world.Connect();
  asio::write(socket,
              asio::buffer(std::string("GET /v1/models HTTP/1.1\r\n\r\n")));
  RunUntil(world.loop, [&] { return !world.handler.calls.empty(); });
  world.handler.exchanges[0]->Begin(200, {});
  world.handler.exchanges[0]->Send("half");
  world.handler.exchanges[0]->Abort();
  const std::string answer = world.ReadAll(socket);
  CHECK(answer.find("half") != std::string::npos);
  CHECK(answer.find("0\r\n\r\n") == std::string::npos);
  CHECK(world.handler.disconnected.empty());
}

TEST_CASE("Connections over the limit are served once others have ended") {
  asio::io_context loop;
  RecordingHandler handler;
  RouterSettings settings = TestSettings();
  settings.max_connections = 1;
  const auto server = CallerServer::Create(loop, settings, {}, handler);
  REQUIRE(server->Open().ok());
  const Tcp::endpoint address = EndpointOf(settings);
  const std::string request = "GET /v1/models HTTP/1.1\r\n\r\n";
  Tcp::socket first(loop);
  first.connect(address);
  asio::write(first, asio::buffer(request));
  Tcp::socket second(loop);
  second.connect(address);
  asio::write(second, asio::buffer(request));
  RunUntil(loop, [&] { return !handler.calls.empty(); });
  CHECK(handler.calls.size() == 1);
  first.close();
  RunUntil(loop, [&] { return handler.calls.size() == 2; });
  CHECK(handler.calls.size() == 2);
  server->Close();
}

/// Guards against answers that are lost in the buffers of a process that stops.
TEST_CASE("A server that stops writes its answers first") {
  constexpr std::size_t kAnswerBytes = 12'000'000;
  ServerFixture world;
  Tcp::socket socket = world.Connect();
  asio::write(socket, asio::buffer(std::string("GET /a HTTP/1.1\r\n\r\n")));
  RunUntil(world.loop, [&] { return !world.handler.calls.empty(); });
  world.handler.exchanges[0]->Respond(200, {}, std::string(kAnswerBytes, 'x'));
  bool closed = false;
  SECTION("until they are written") {
    world.server->CloseWhenWritten(kTestTimeout, [&closed] { closed = true; });
    CHECK_FALSE(closed);
    CHECK(world.ReadAll(socket).size() > kAnswerBytes);
    CHECK(RunUntil(world.loop, [&closed] { return closed; }));
  }
  SECTION("but no longer than its time limit") {
    world.server->CloseWhenWritten(std::chrono::milliseconds(50),
                                   [&closed] { closed = true; });
    CHECK(RunUntil(world.loop, [&closed] { return closed; }));
  }
}

TEST_CASE("A large response arrives complete over TLS") {
  const TestCertificate certificate("router");
  ServerFixture world(certificate.SettingsTrusting(certificate));
  asio::ssl::context context(asio::ssl::context::tls_client);
  TlsClient client(world.Connect(), context);
  std::optional<asio::error_code> open;
  client.async_handshake(asio::ssl::stream_base::client,
                         [&open](const asio::error_code& ec) { open = ec; });
  RunUntil(world.loop, [&open] { return open.has_value(); });
  REQUIRE_FALSE(*open);
  const std::string request =
      "GET /v1/models HTTP/1.1\r\nConnection: close\r\n\r\n";
  asio::write(client, asio::buffer(request));
  RunUntil(world.loop, [&] { return !world.handler.calls.empty(); });
  const std::string body(300'000, 'b');
  world.handler.exchanges[0]->Respond(200, {}, body);
  const std::string answer = world.ReadAll(client);
  CHECK(answer.starts_with("HTTP/1.1 200 "));
  CHECK(answer.ends_with(body));
}

}  // namespace
}  // namespace yuccapick
