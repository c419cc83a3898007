#include <catch2/catch.hpp>
#include <memory>

#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using Connection = FakeUpstream::Connection;

constexpr char kConfig[] = R"({"version":1,
 "routes":[{"name":"tell","host":"crew.example","prefix":"/tell/",
  "kind":"streaming","timeoutMs":8000,"targetLatencyMs":2000,
  "gapTargetMs":2000,"service":"engines","maxAttempts":2,"resumable":true}],
 "services":[{"name":"engines","maxConns":100,
  "engine":{"slots":4,"kvCapacityTokens":1000}}],
 "tenants":[{"name":"moor","apiKeys":["key-moor"]}]})";
/// Two of them don't fit into the engine's memory.
constexpr char kLargePrompt[] = "X-Model: m\r\nX-Token-Count: 500,100\r\n";

/// A gateway with one engine, which answers when it is told to.
struct OneBusyEngine {
  OneBusyEngine()
      : engine(fixture.loop, "engine",
               [this](Connection& c, const ReceivedRequest& r) {
                 if (!busy) return Finish(c, r);
                 connection = c.shared_from_this();
                 request = r;
               }) {
    fixture.store.Put("op", "config", kConfig);
    fixture.RegisterEngine(engine, 1);
    fixture.Start();
    REQUIRE(fixture.AwaitListed(1));
  }

  void Finish(Connection& c, const ReceivedRequest& r) const {
    engine.Answer(c, r, 200, "id: 1\ndata: x\n\n",
                  "Content-Type: text/event-stream\r\n");
  }
  void FinishFirst() {
    busy = false;
    Finish(*connection, request);
  }

  GatewayFixture fixture;
  bool busy = true;
  std::shared_ptr<Connection> connection;
  ReceivedRequest request;
  FakeUpstream engine;
};

std::string LargeRequest(const std::string& id) {
  return CallerRequest("POST", "/tell/", kLargePrompt, "", id);
}

TEST_CASE("A request waits until its only engine has room") {
  OneBusyEngine one;
  GatewayFixture& fixture = one.fixture;
  FakeCaller first(fixture.loop, fixture.settings.caller_endpoint);
  first.Send(LargeRequest("id-1"));
  REQUIRE(fixture.RunUntilTrue([&] { return one.connection != nullptr; }));
  FakeCaller second(fixture.loop, fixture.settings.caller_endpoint);
  second.Send(LargeRequest("id-2"));
  REQUIRE(fixture.RunUntilTrue([&] {
    return fixture.HasMetric(fixture.settings,
                             "yuccapick_requests_waited_for_room 1") ||
           !second.input().empty();
  }));
  one.FinishFirst();
  REQUIRE(fixture.RunUntilTrue([&] { return !second.input().empty(); }));
  CHECK(second.input().starts_with("HTTP/1.1 200"));
  CHECK(one.engine.received().size() == 2);
}

TEST_CASE("A request waits for room rather than go to a broken engine") {
  OneBusyEngine one;
  GatewayFixture& fixture = one.fixture;
  std::unique_ptr<FakeUpstream> broken = std::make_unique<FakeUpstream>(
      fixture.loop, "broken",
      [](Connection& c, const ReceivedRequest&) { c.Close(); });
  fixture.store.Remove("servers", one.engine.id());
  fixture.RegisterEngine(*broken, 1);
  REQUIRE(fixture.AwaitListed(1));
  broken->server().Stop();
  // Each failure doubles the time for which the engine is paused.
  for (int i = 0; i < 5; ++i) {
    fixture.Ask(LargeRequest("broken-" + std::to_string(i)));
  }
  fixture.RegisterEngine(one.engine, 1);
  REQUIRE(fixture.AwaitListed(2));
  FakeCaller first(fixture.loop, fixture.settings.caller_endpoint);
  first.Send(LargeRequest("id-1"));
  REQUIRE(fixture.RunUntilTrue([&] { return one.connection != nullptr; }));
  FakeCaller second(fixture.loop, fixture.settings.caller_endpoint);
  second.Send(LargeRequest("id-2"));
  REQUIRE(fixture.RunUntilTrue([&] {
    return fixture.HasMetric(fixture.settings,
                             "yuccapick_requests_waited_for_room 1") ||
           one.engine.received().size() == 2;
  }));
  CHECK(one.engine.received().size() == 1);
  one.FinishFirst();
  REQUIRE(fixture.RunUntilTrue([&] { return !second.input().empty(); }));
  CHECK(second.input().starts_with("HTTP/1.1 200"));
}

TEST_CASE("A request that can't get room in time is refused") {
  OneBusyEngine one;
  GatewayFixture& fixture = one.fixture;
  FakeCaller first(fixture.loop, fixture.settings.caller_endpoint);
  first.Send(LargeRequest("id-1"));
  REQUIRE(fixture.RunUntilTrue([&] { return one.connection != nullptr; }));
  CHECK(IsRefusal(fixture.Ask(LargeRequest("id-2"))));
  CHECK(fixture.HasMetric(fixture.settings,
                          "yuccapick_requests_waited_for_room 1"));
  CHECK(one.engine.received().size() == 1);
  one.FinishFirst();
  REQUIRE(fixture.RunUntilTrue([&] { return !first.input().empty(); }));
}

}  // namespace
}  // namespace yuccapick
