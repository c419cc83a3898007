#include "gateway/call_client.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "test/gateway/received_request.h"
#include "test/shell/scripted_server.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{100};
constexpr milliseconds kStallTimeout{150};
constexpr milliseconds kMaxReceivingTime{600};
constexpr milliseconds kWriteInterval{20};
constexpr std::size_t kMaxBodyBytes = 10'000;

/// A server that writes `text` again and again, and a client with low limits.
struct EndlessAnswer {
  explicit EndlessAnswer(std::string written)
      : text(std::move(written)),
        timer(loop),
        server(loop, [this](ScriptedServer::Connection& c) { OnInput(c); }),
        calls(loop, Options()) {}

  static CallClientOptions Options() {
    CallClientOptions options;
    options.stall_timeout = kStallTimeout;
    options.max_receiving_time = kMaxReceivingTime;
    options.max_body_bytes = kMaxBodyBytes;
    return options;
  }

  void OnInput(ScriptedServer::Connection& c) {
    if (!TakeRequest(c.input)) return;
    c.Write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
    connection = c.shared_from_this();
    WriteAgain();
  }

  void WriteAgain() {
    timer.expires_after(kWriteInterval);
    timer.async_wait([this](const asio::error_code& ec) {
      if (ec || connection->closed_by_peer) return;
      connection->Write(text);
      WriteAgain();
    });
  }

  CallHandle Call() {
    const std::string endpoint = LoopbackEndpoint(server.port());
    return calls.Call(endpoint, "GET / HTTP/1.1\r\nHost: x\r\n\r\n", kTimeout,
                      [this](const absl::StatusOr<CallAnswer>& answer,
                             const CallProgress& progress) {
                        status = answer.status();
                        received = progress.body_bytes;
                      });
  }

  absl::Status Run() {
    Call();
    REQUIRE(RunUntil(loop, [this] { return status.has_value(); }));
    return *status;
  }

  asio::io_context loop;
  std::string text;
  asio::steady_timer timer;
  std::shared_ptr<ScriptedServer::Connection> connection;
  ScriptedServer server;
  CallClient calls;
  std::optional<absl::Status> status;
  std::size_t received = 0;
};

TEST_CASE("An answer with more bytes than the limit is given up") {
  EndlessAnswer endless(std::string(3'000, 'x'));
  CHECK(absl::IsResourceExhausted(endless.Run()));
  CHECK(endless.received > kMaxBodyBytes);
}

TEST_CASE("An answer that arrives in single bytes without end is given up") {
  EndlessAnswer endless("x");
  const auto began_at = std::chrono::steady_clock::now();
  CHECK(absl::IsDeadlineExceeded(endless.Run()));
  CHECK(std::chrono::steady_clock::now() - began_at >= kMaxReceivingTime);
}

TEST_CASE("An answer of which nothing more arrives is given up") {
  EndlessAnswer endless("");
  const absl::Status status = endless.Run();
  CHECK(absl::IsDeadlineExceeded(status));
  CHECK(std::string(status.message()).find("after 0 bytes") !=
        std::string::npos);
}

/// A server that answers its n-th request with the number n, and writes the
/// answer to the request before once more first.
struct RepeatingServer {
  RepeatingServer()
      : server(loop,
               [this](ScriptedServer::Connection& c) {
                 if (!TakeRequest(c.input)) return;
                 ++requests;
                 if (c.closed_by_peer) return;
                 if (&c == last) c.Write(Answer(requests - 1));
                 last = &c;
                 c.Write(Answer(requests));
               }),
        calls(loop, {}) {}

  static std::string Answer(int n) {
    return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(n);
  }

  std::string Call(ConnectionUse use) {
    std::optional<std::string> body;
    calls.Call(
        LoopbackEndpoint(server.port()), "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        kTimeout,
        [&body](const absl::StatusOr<CallAnswer>& answer, const CallProgress&) {
          body = answer.ok() ? answer->body : "";
        },
        {use});
    REQUIRE(RunUntil(loop, [&body] { return body.has_value(); }));
    return *body;
  }

  asio::io_context loop;
  int requests = 0;
  const ScriptedServer::Connection* last = nullptr;
  ScriptedServer server;
  CallClient calls;
};

/// Guards against orders and reports that get the answer to an earlier one.
TEST_CASE("A call on its own connection never gets an earlier call's answer") {
  RepeatingServer repeating;
  CHECK(repeating.Call(ConnectionUse::kOwn) == "1");
  CHECK(repeating.Call(ConnectionUse::kOwn) == "2");
  CHECK(repeating.Call(ConnectionUse::kOwn) == "3");
  CHECK(repeating.server.connections.size() == 3);
}

TEST_CASE("A cancelled call closes its connection and isn't answered") {
  EndlessAnswer endless("x");
  const CallHandle call = endless.Call();
  REQUIRE(RunUntil(endless.loop, [&] { return call.IsArriving(); }));
  call.Cancel();
  CHECK(RunUntil(endless.loop,
                 [&] { return endless.connection->closed_by_peer; }));
  CHECK_FALSE(endless.status.has_value());
  CHECK_FALSE(call.IsArriving());
}

}  // namespace
}  // namespace yuccapick
