#include <catch2/catch.hpp>

#include "platform/names.h"
#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using Connection = FakeUpstream::Connection;

constexpr char kRoutes[] = R"([
 {"name":"look","host":"crew.example","prefix":"/look/","kind":"idempotent",
  "timeoutMs":3000,"targetLatencyMs":300,"service":"app","maxAttempts":2},
 {"name":"tell","host":"crew.example","prefix":"/tell/","kind":"streaming",
  "timeoutMs":3000,"targetLatencyMs":300,"gapTargetMs":300,
  "service":"engines","maxAttempts":3,"resumable":true}])";

/// Time after the removal of its row at which an upstream must get no requests.
constexpr milliseconds kDrainTimeout{2'000};
constexpr milliseconds kOutage{1'300};

/// A gateway with two upstreams of one service.
struct TwoUpstreams {
  TwoUpstreams()
      : first(fixture.loop, "first",
              [this](Connection& c, const ReceivedRequest& r) {
                first.Answer(c, r, 200, "yes", "");
              }),
        second(fixture.loop, "second",
               [this](Connection& c, const ReceivedRequest& r) {
                 second.Answer(c, r, 200, "yes", "");
               }) {
    fixture.store.RunClock();
    fixture.PutConfig(1, kRoutes);
    fixture.Register(first, "app");
    fixture.Register(second, "app");
    fixture.Start();
    REQUIRE(fixture.AwaitListed(2));
  }

  GatewayFixture fixture;
  FakeUpstream first;
  FakeUpstream second;
};

}  // namespace

TEST_CASE("An upstream removed just after an outage gets no late requests") {
  TwoUpstreams upstreams;
  GatewayFixture& fixture = upstreams.fixture;
  fixture.store.set_up(false);
  fixture.Run(kOutage);
  fixture.store.set_up(true);
  fixture.Run(milliseconds(1'000));
  const auto removed_at = std::chrono::steady_clock::now();
  fixture.store.Remove(platform::kServers, "first");
  REQUIRE(fixture.AwaitListed(1));
  CHECK(std::chrono::steady_clock::now() - removed_at < kDrainTimeout);
}

TEST_CASE("A leaving mark holds for a run whose entry comes later") {
  GatewayFixture fixture;
  FakeUpstream engine(fixture.loop, "engine",
                      [&](Connection& c, const ReceivedRequest& r) {
                        engine.Answer(c, r, 200, "",
                                      "Server-Leaving: 1\r\n"
                                      "Content-Type: text/event-stream\r\n");
                      });
  fixture.store.RunClock();
  fixture.PutConfig(1, kRoutes);
  fixture.RegisterEngine(engine, 1, 1);
  fixture.Start();
  REQUIRE(fixture.AwaitListed(1));
  const std::string fields = "X-Model: m\r\nX-Token-Count: 10,10\r\n";
  // The gateway doesn't learn of the second run before its answer.
  fixture.store.set_silent(true);
  fixture.RegisterEngine(engine, 1, 2);
  fixture.Ask(CallerRequest("POST", "/tell/", fields));
  REQUIRE(engine.received().size() == 1);
  fixture.store.set_silent(false);
  fixture.Run(milliseconds(1'500));
  fixture.Ask(CallerRequest("POST", "/tell/", fields, "", "id-2"));
  CHECK(engine.received().size() == 1);
}

TEST_CASE("An upstream whose entry becomes unreadable gets no requests") {
  TwoUpstreams upstreams;
  GatewayFixture& fixture = upstreams.fixture;
  fixture.store.Put(platform::kServers, "first", R"({"state":"resting"})");
  fixture.Run(milliseconds(500));
  for (int i = 0; i < 20; ++i) fixture.Ask(CallerRequest("GET", "/look/1"));
  CHECK(upstreams.first.received().empty());
  CHECK(upstreams.second.received().size() == 20);
}

}  // namespace yuccapick
