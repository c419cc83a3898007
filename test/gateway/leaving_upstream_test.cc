#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using Connection = FakeUpstream::Connection;

constexpr char kRoutes[] = R"([
 {"name":"look","host":"crew.example","prefix":"/look/","kind":"idempotent",
  "timeoutMs":3000,"targetLatencyMs":300,"service":"app","maxAttempts":2}])";

}  // namespace

TEST_CASE("An upstream whose answer says that it leaves gets no new requests") {
  GatewayFixture fixture;
  bool leaving = true;
  FakeUpstream upstream(
      fixture.loop, "up", [&](Connection& c, const ReceivedRequest& r) {
        upstream.Answer(c, r, 200, "yes",
                        leaving ? "Server-Leaving: 1\r\n" : "");
      });
  fixture.PutConfig(1, kRoutes);
  fixture.Register(upstream, "app");
  fixture.Start();
  fixture.StartPeer();
  REQUIRE(fixture.AwaitListed(1));
  const std::string request = CallerRequest("GET", "/look/1");
  CHECK(fixture.Ask(request).starts_with("HTTP/1.1 200"));
  CHECK(fixture.Ask(request).starts_with("HTTP/1.1 503"));
  CHECK(upstream.received().size() == 1);
  // The other gateway learns it, too.
  leaving = false;
  CHECK(fixture.RunUntilTrue(
      [&] { return fixture.AskPeer(request).starts_with("HTTP/1.1 503"); }));
}

}  // namespace yuccapick
