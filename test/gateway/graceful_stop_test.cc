#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>

#include "test/gateway/gateway_fixture.h"
#include "test/gateway/paced_writer.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using Connection = FakeUpstream::Connection;

constexpr milliseconds kGrace{3'000};
constexpr std::size_t kAnswerBytes = 7'900'000;

constexpr char kRoutes[] = R"([
 {"name":"book","host":"crew.example","prefix":"/book/",
  "kind":"non_idempotent","timeoutMs":9000,"targetLatencyMs":400,
  "service":"app","maxAttempts":2},
 {"name":"look","host":"crew.example","prefix":"/look/","kind":"idempotent",
  "timeoutMs":9000,"targetLatencyMs":400,"service":"app","maxAttempts":2},
 {"name":"long","host":"crew.example","prefix":"/long/",
  "kind":"non_idempotent","timeoutMs":9000,"targetLatencyMs":4000,
  "service":"app","maxAttempts":2}])";

/// A gateway that stops while upstreams hold its requests.
struct StoppingGateway {
  StoppingGateway()
      : first(fixture.loop, "first",
              [this](Connection& c, const ReceivedRequest& r) { Hold(c, r); }),
        second(
            fixture.loop, "second",
            [this](Connection& c, const ReceivedRequest& r) { Hold(c, r); }) {
    fixture.settings.bounds.shutdown_grace = kGrace;
    fixture.settings.listen_after_drain = milliseconds(1'000);
    fixture.PutConfig(1, kRoutes);
    fixture.Register(first, "app");
    fixture.Register(second, "app");
    fixture.Start();
    REQUIRE(fixture.AwaitListed(2));
  }

  void Hold(Connection& c, const ReceivedRequest& r) {
    held = c.shared_from_this();
    request = r;
    ++runs;
  }

  std::unique_ptr<FakeCaller> Send(const std::string& bytes) {
    auto caller = std::make_unique<FakeCaller>(
        fixture.loop, fixture.settings.caller_endpoint);
    caller->Send(bytes);
    return caller;
  }

  void Stop() {
    fixture.gateway->Drain([this] { stopped = true; });
  }

  bool AwaitStop() {
    return fixture.RunUntilTrue([this] { return stopped; });
  }

  GatewayFixture fixture;
  std::shared_ptr<Connection> held;
  std::optional<ReceivedRequest> request;
  int runs = 0;
  bool stopped = false;
  FakeUpstream first;
  FakeUpstream second;
};

/// Guards against requests that are cut without an answer when the grace ends.
TEST_CASE("A request that is running when the grace ends gets an answer") {
  const std::string path = GENERATE("/book/1", "/look/1");
  CAPTURE(path);
  StoppingGateway gateway;
  const auto caller = gateway.Send(CallerRequest("POST", path, "", "o"));
  REQUIRE(gateway.fixture.RunUntilTrue([&] { return gateway.runs == 1; }));
  gateway.Stop();
  REQUIRE(gateway.AwaitStop());
  gateway.fixture.Run(milliseconds(50));
  CHECK(caller->input().starts_with("HTTP/1.1 504"));
  CHECK(gateway.held->closed_by_peer);
}

TEST_CASE("A request that is received when the grace ends is refused") {
  StoppingGateway gateway;
  const std::string request = CallerRequest("POST", "/book/1", "", "order");
  const auto caller = gateway.Send(request.substr(0, request.size() - 2));
  gateway.fixture.Run(milliseconds(50));
  gateway.Stop();
  REQUIRE(gateway.AwaitStop());
  gateway.fixture.Run(milliseconds(50));
  CHECK(IsRefusal(caller->input()));
  CHECK(gateway.runs == 0);
}

/// Guards against requests that are taken though they can't end in time.
TEST_CASE("While stopping a request that takes too long is refused unsent") {
  StoppingGateway gateway;
  gateway.Stop();
  CHECK(IsRefusal(
      gateway.fixture.Ask(CallerRequest("POST", "/long/1", "", "o"))));
  CHECK(gateway.runs == 0);
  const auto caller = gateway.Send(CallerRequest("POST", "/book/1", "", "o"));
  CHECK(gateway.fixture.RunUntilTrue([&] { return gateway.runs == 1; }));
}

/// Guards against retries that are sent when they can't end any more.
TEST_CASE("A request that was refused late in the grace isn't sent again") {
  StoppingGateway gateway;
  const auto caller = gateway.Send(CallerRequest("POST", "/book/1", "", "o"));
  REQUIRE(gateway.fixture.RunUntilTrue([&] { return gateway.runs == 1; }));
  gateway.Stop();
  gateway.fixture.Run(milliseconds(1'900));
  gateway.first.Answer(*gateway.held, *gateway.request, 503, "",
                       "X-Not-Executed: full\r\n");
  REQUIRE(gateway.fixture.RunUntilTrue(
      [&caller] { return !caller->input().empty(); }));
  CHECK(IsRefusal(caller->input()));
  CHECK(gateway.runs == 1);
  CHECK_FALSE(gateway.stopped);
}

TEST_CASE("A request that is refused early in the grace is sent again") {
  StoppingGateway gateway;
  const auto caller = gateway.Send(CallerRequest("POST", "/book/1", "", "o"));
  REQUIRE(gateway.fixture.RunUntilTrue([&] { return gateway.runs == 1; }));
  gateway.Stop();
  gateway.first.Answer(*gateway.held, *gateway.request, 503, "",
                       "X-Not-Executed: full\r\n");
  REQUIRE(gateway.fixture.RunUntilTrue([&] { return gateway.runs == 2; }));
  gateway.second.Answer(*gateway.held, *gateway.request, 200, "booked");
  REQUIRE(gateway.AwaitStop());
  CHECK(caller->input().starts_with("HTTP/1.1 200"));
}

/// A caller that reads nothing until it is told to.
struct HesitantCaller {
  HesitantCaller(asio::io_context& loop, const std::string& endpoint)
      : socket(loop) {
    socket.open(asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBytes));
    socket.connect(ParseEndpoint(endpoint));
  }

  void ReadAll() {
    asio::async_read(
        socket, asio::dynamic_buffer(input),
        [this](const asio::error_code&, std::size_t) { closed = true; });
  }

  static constexpr int kReceiveBytes = 100'000;
  asio::ip::tcp::socket socket;
  std::string input;
  bool closed = false;
};

/// Guards against answers that are lost in the buffers of a process that stops.
TEST_CASE("A gateway that stops sends its answers to slow callers first") {
  GatewayFixture fixture;
  PacedWriter writer(fixture.loop, 20'000'000);
  FakeUpstream upstream(
      fixture.loop, "up-1", [&writer](Connection& c, const ReceivedRequest& r) {
        writer.Write(c, fmt::format("HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\n"
                                    "X-Server-Seal: s\r\n"
                                    "Content-Length: {}\r\n\r\n",
                                    r.Field("X-Attempt-Id"), kAnswerBytes) +
                            std::string(kAnswerBytes, 'x'));
      });
  fixture.PutConfig(1, kRoutes);
  fixture.Register(upstream, "app");
  fixture.Start();
  HesitantCaller caller(fixture.loop, fixture.settings.caller_endpoint);
  asio::write(caller.socket,
              asio::buffer(CallerRequest("POST", "/book/1", "", "o")));
  REQUIRE(fixture.RunUntilTrue(
      [&writer] { return writer.written() > kAnswerBytes; }));
  bool stopped = false;
  fixture.gateway->Drain([&stopped] { stopped = true; });
  fixture.Run(milliseconds(700));
  CHECK_FALSE(stopped);
  caller.ReadAll();
  REQUIRE(fixture.RunUntilTrue([&caller] { return caller.closed; }));
  CHECK(caller.input.size() > kAnswerBytes);
  CHECK(fixture.RunUntilTrue([&stopped] { return stopped; }));
}

}  // namespace
}  // namespace yuccapick
