#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using Connection = FakeUpstream::Connection;

constexpr char kRoutes[] = R"([
 {"name":"look","host":"crew.example","prefix":"/look/","kind":"idempotent",
  "timeoutMs":3000,"targetLatencyMs":300,"service":"app","maxAttempts":2},
 {"name":"tell","host":"crew.example","prefix":"/tell/","kind":"streaming",
  "timeoutMs":3000,"targetLatencyMs":300,"gapTargetMs":300,
  "service":"engines","maxAttempts":3,"resumable":true}])";

constexpr char kLeavingField[] = "Server-Leaving: 1\r\n";

/// A gateway that has learned from an answer that an upstream leaves. Another
/// upstream fails all requests.
struct LeavingAndFailing {
  explicit LeavingAndFailing(int leaving_status)
      : leaving(
            fixture.loop, "leaving",
            [this, leaving_status](Connection& c, const ReceivedRequest& r) {
              leaving.Answer(c, r, leaving_status, "", Fields());
            }),
        failing(fixture.loop, "failing",
                [this](Connection& c, const ReceivedRequest& r) {
                  failing.Answer(c, r, 500, "");
                }) {
    fixture.PutConfig(1, kRoutes);
    fixture.Register(leaving, "app");
    fixture.Start();
    REQUIRE(fixture.AwaitListed(1));
    fixture.Ask(CallerRequest("GET", "/look/1"));
    REQUIRE(leaving.received().size() == 1);
    fixture.Register(failing, "app");
    REQUIRE(fixture.AwaitListed(2));
  }

  static std::string Fields() {
    return std::string("X-Not-Executed: full\r\n") + kLeavingField;
  }

  GatewayFixture fixture;
  FakeUpstream leaving;
  FakeUpstream failing;
};

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

TEST_CASE("A retry doesn't go to an upstream that said that it leaves") {
  LeavingAndFailing upstreams(GENERATE(503, 429));
  const std::string request = CallerRequest("GET", "/look/2");
  CHECK(upstreams.fixture.Ask(request).starts_with("HTTP/1.1 500"));
  CHECK(upstreams.failing.received().size() == 1);
  CHECK(upstreams.leaving.received().size() == 1);
}

TEST_CASE("A stream isn't resumed at an upstream that said that it leaves") {
  GatewayFixture fixture;
  FakeUpstream leaving(fixture.loop, "leaving",
                       [&](Connection& c, const ReceivedRequest& r) {
                         leaving.Answer(c, r, 200, "",
                                        std::string(kLeavingField) +
                                            "Content-Type: text/event-stream"
                                            "\r\n");
                       });
  FakeUpstream breaking(fixture.loop, "breaking",
                        [&](Connection& c, const ReceivedRequest& r) {
                          breaking.BeginStream(c, r);
                          c.Write("14\r\nid: 1\ndata: one\n\n\r\n");
                          c.Close();
                        });
  fixture.PutConfig(1, kRoutes);
  fixture.RegisterEngine(leaving, 1);
  fixture.Start();
  REQUIRE(fixture.AwaitListed(1));
  const std::string fields = "X-Model: m\r\nX-Token-Count: 10,10\r\n";
  fixture.Ask(CallerRequest("POST", "/tell/", fields));
  REQUIRE(leaving.received().size() == 1);
  fixture.RegisterEngine(breaking, 1);
  REQUIRE(fixture.AwaitListed(2));
  FakeCaller caller(fixture.loop, fixture.settings.caller_endpoint);
  caller.Send(CallerRequest("POST", "/tell/", fields, "", "id-2"));
  CHECK(fixture.RunUntilTrue([&caller] { return caller.closed(); }));
  CHECK(breaking.received().size() == 1);
  CHECK(leaving.received().size() == 1);
}

}  // namespace yuccapick
