#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using Connection = FakeUpstream::Connection;

constexpr char kRoutes[] = R"([
 {"name":"look","host":"crew.example","prefix":"/look/","kind":"idempotent",
  "timeoutMs":3000,"targetLatencyMs":300,"service":"app","maxAttempts":1},
 {"name":"tell","host":"crew.example","prefix":"/tell/","kind":"streaming",
  "timeoutMs":3000,"targetLatencyMs":300,"gapTargetMs":300,"service":"app",
  "maxAttempts":2,"resumable":false},
 {"name":"book","host":"crew.example","prefix":"/book/",
  "kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,
  "service":"app","maxAttempts":3}])";

/// More than the gateway holds of an answer before it passes it on.
constexpr std::size_t kLongBytes = 400'000;

/// How an upstream tells where its answer ends.
enum class Framing { kLength, kChunked, kClose };

/// An upstream that runs each request and then answers it with one status.
struct RefusingUpstream {
  RefusingUpstream()
      : upstream(
            fixture.loop, "app-1",
            [this](Connection& c, const ReceivedRequest& r) { Answer(c, r); }) {
    fixture.PutConfig(1, kRoutes);
    fixture.RegisterSoftware(upstream, "app", "v1");
    fixture.Start();
    REQUIRE(fixture.AwaitListed(1));
  }

  void Answer(Connection& connection, const ReceivedRequest& request) const {
    const std::string head = fmt::format(
        "HTTP/1.1 {} X\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s\r\n{}", status,
        request.Field("X-Attempt-Id"), fields);
    switch (framing) {
      case Framing::kLength:
        return connection.Write(fmt::format("{}Content-Length: {}\r\n\r\n{}",
                                            head, body.size(), body));
      case Framing::kChunked:
        return connection.Write(fmt::format(
            "{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n", head,
            body.size(), body));
      case Framing::kClose:
        connection.Write(head + "\r\n" + body);
        return connection.Close();
    }
  }

  std::string Ask(const std::string& method, const std::string& path) {
    return fixture.Ask(CallerRequest(method, path, "", "order"));
  }

  GatewayFixture fixture;
  int status = 429;
  std::string fields;
  std::string body = "busy";
  Framing framing = Framing::kLength;
  FakeUpstream upstream;
};

}  // namespace

/// Guards against a booking that its caller sends again though it has run.
TEST_CASE("A refusal by an upstream that may have run a booking isn't passed") {
  RefusingUpstream refusing;
  refusing.status = GENERATE(408, 429, 503);
  refusing.framing =
      GENERATE(Framing::kLength, Framing::kChunked, Framing::kClose);
  CAPTURE(refusing.status);
  const std::string answer = refusing.Ask("POST", "/book/1");
  CHECK(answer.starts_with("HTTP/1.1 502"));
  CHECK(answer.find("busy") == std::string::npos);
  CHECK(refusing.upstream.received().size() == 1);
}

/// Guards against the same by an answer that is passed on before it ends.
TEST_CASE("A long refusal by an upstream that may have run isn't passed on") {
  RefusingUpstream refusing;
  refusing.status = GENERATE(408, 429, 503);
  refusing.framing =
      GENERATE(Framing::kLength, Framing::kChunked, Framing::kClose);
  refusing.body.assign(kLongBytes, 'x');
  CAPTURE(refusing.status);
  const std::string answer = refusing.Ask("POST", "/book/1");
  CHECK(answer.starts_with("HTTP/1.1 502"));
  CHECK(answer.size() < kLongBytes);
  CHECK(refusing.upstream.received().size() == 1);
}

/// Guards against the same for streams that may begin only once.
TEST_CASE("A refusal of a stream that can't be repeated isn't passed on") {
  RefusingUpstream refusing;
  refusing.status = GENERATE(408, 429, 503);
  CHECK(refusing.Ask("POST", "/tell/1").starts_with("HTTP/1.1 502"));
}

/// Guards against a replaced answer from which nothing is learned.
TEST_CASE("The limit in a refusal that isn't passed on is kept") {
  RefusingUpstream refusing;
  refusing.fields = "Server-Limit: 2\r\n";
  CHECK(refusing.Ask("POST", "/book/1").starts_with("HTTP/1.1 502"));
  CHECK(refusing.fixture.HasMetric(refusing.fixture.settings,
                                   "yuccapick_limited_upstreams 1"));
}

/// Guards against a true refusal that becomes an unknown outcome.
TEST_CASE("A refusal that says that nothing ran is told to the caller") {
  RefusingUpstream refusing;
  refusing.fields = "X-Not-Executed: full\r\n";
  CHECK(IsRefusal(refusing.Ask("POST", "/book/1")));
}

/// Guards against an answer that is withheld though it promises nothing.
TEST_CASE("A refusal of what may be repeated is passed on as it is") {
  RefusingUpstream refusing;
  const std::string answer = refusing.Ask("GET", "/look/1");
  CHECK(answer.starts_with("HTTP/1.1 429"));
  CHECK(answer.ends_with("busy"));
}

}  // namespace yuccapick
