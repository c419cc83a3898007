#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "gateway/call_client.h"
#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr char kRoutes[] = R"([
 {"name":"look","host":"crew.example","prefix":"/look/","kind":"idempotent",
  "timeoutMs":4000,"targetLatencyMs":300,"service":"app","maxAttempts":2},
 {"name":"book","host":"crew.example","prefix":"/book/",
  "kind":"non_idempotent","timeoutMs":4000,"targetLatencyMs":300,
  "service":"app","maxAttempts":2}])";

/// Long before the time limit of a route.
constexpr milliseconds kSoon{1'500};

/// An upstream in trouble: it answers with a status line as the test says.
struct OddUpstream {
  OddUpstream()
      : upstream(fixture.loop, "odd",
                 [this](FakeUpstream::Connection& c, const ReceivedRequest& r) {
                   c.Write(fmt::format(
                       "HTTP/1.1 {} X\r\nX-Attempt-Id: {}\r\n"
                       "X-Server-Seal: s\r\nContent-Length: 3\r\n\r\nodd",
                       status, r.Field("X-Attempt-Id")));
                 }) {
    fixture.PutConfig(1, kRoutes);
    fixture.RegisterSoftware(upstream, "app", "v1");
    fixture.Start();
    REQUIRE(fixture.AwaitListed(1));
  }

  GatewayFixture fixture;
  std::string status;
  FakeUpstream upstream;
};

}  // namespace

/// Guards against bytes that are no answer being passed on as one.
TEST_CASE("An answer whose status HTTP doesn't have is an upstream's failure") {
  const std::string status =
      GENERATE("000", "001", "099", "600", "999", "1000", "20", "-20", "101");
  CAPTURE(status);
  OddUpstream odd;
  odd.status = status;
  const auto sent_at = steady_clock::now();
  const std::string answer =
      odd.fixture.Ask(CallerRequest("POST", "/book/1", "", "o"));
  CHECK(answer.starts_with("HTTP/1.1 502"));
  CHECK(answer.find("odd") == std::string::npos);
  CHECK(steady_clock::now() - sent_at < kSoon);
  CHECK(odd.upstream.received().size() == 1);
}

/// Guards against a request that is given up though a sound upstream is there.
TEST_CASE(
    "A request that may be repeated survives a status HTTP doesn't have") {
  const std::string status = GENERATE("000", "600", "101");
  CAPTURE(status);
  OddUpstream odd;
  odd.status = status;
  FakeUpstream sound(
      odd.fixture.loop, "sound",
      [&sound](FakeUpstream::Connection& c, const ReceivedRequest& r) {
        sound.Answer(c, r, 200, "good");
      });
  odd.fixture.RegisterSoftware(sound, "app", "v1");
  REQUIRE(odd.fixture.AwaitListed(2));
  for (int i = 0; i < 4; ++i) {
    const std::string answer = odd.fixture.Ask(
        CallerRequest("GET", "/look/1", "", "", fmt::format("id-{}", i)));
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with("good"));
  }
}

/// Guards against a stricter rule than HTTP's: what isn't known counts as the
/// first status of its class, and an interim answer is followed by another.
TEST_CASE("Statuses that HTTP may have are passed on, interim ones skipped") {
  OddUpstream odd;
  odd.status = GENERATE("299", "499", "599");
  CHECK(odd.fixture.Ask(CallerRequest("POST", "/book/1", "", "o"))
            .starts_with("HTTP/1.1 " + odd.status));

  odd.status = GENERATE("102", "103", "199") +
               std::string(" Early\r\nLink: a\r\n\r\nHTTP/1.1 200");
  CHECK(odd.fixture.Ask(CallerRequest("POST", "/book/1", "", "o", "id-2"))
            .starts_with("HTTP/1.1 200"));
}

/// Guards against a call that counts as done, or as known to be refused.
TEST_CASE("A call that is answered with a status HTTP doesn't have fails") {
  const std::string status = GENERATE("000", "099", "600", "999", "101");
  CAPTURE(status);
  asio::io_context loop;
  ScriptedServer server(loop, [&status](ScriptedServer::Connection& c) {
    if (!TakeRequest(c.input)) return;
    c.Write("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n");
  });
  CallClient calls(loop, {});
  std::optional<absl::Status> outcome;
  calls.Call(LoopbackEndpoint(server.port()),
             "GET / HTTP/1.1\r\nHost: h\r\n\r\n", milliseconds(3'000),
             [&outcome](const absl::StatusOr<CallAnswer>& answer,
                        const CallProgress&) { outcome = answer.status(); });
  REQUIRE(RunUntil(loop, [&outcome] { return outcome.has_value(); }));
  CHECK(absl::IsUnknown(*outcome));
}

}  // namespace yuccapick
