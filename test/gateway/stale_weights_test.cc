#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "test/gateway/ending_gateway.h"
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
  "service":"engines","maxAttempts":2,"resumable":true}])";

constexpr milliseconds kStaleWeightsLimit{8'000};
/// Shorter than `kOutage`, which is longer than what counts as an outage.
constexpr milliseconds kShortWeightsLimit{2'000};
constexpr milliseconds kOutage{3'500};
constexpr milliseconds kHeartbeatInterval{100};
constexpr char kSetTimesTable[] = "yuccapick-weights";

/// A gateway with one engine that has the weights 1 and one with the weights 2,
/// which is full.
struct OldAndFullEngine {
  OldAndFullEngine()
      : old(fixture.loop, "old",
            [this](Connection& c, const ReceivedRequest& r) {
              old.Answer(c, r, 200, "", "Content-Type: text/event-stream\r\n");
            }),
        full(fixture.loop, "full",
             [this](Connection& c, const ReceivedRequest& r) {
               full.Answer(c, r, 503, "", "X-Not-Executed: full\r\n");
             }) {
    fixture.settings.bounds.stale_weights_limit = kStaleWeightsLimit;
    fixture.PutConfig(1, kRoutes);
    fixture.RegisterEngine(old, 1);
    fixture.RegisterEngine(full, 2);
    fixture.Start();
  }

  GatewayFixture fixture;
  FakeUpstream old;
  FakeUpstream full;
};

/// A gateway whose only engine has the weights 1.
struct OldEngine {
  OldEngine()
      : old(fixture.loop, "old",
            [this](Connection& c, const ReceivedRequest& r) {
              old.Answer(c, r, 200, "", "Content-Type: text/event-stream\r\n");
            }) {
    fixture.settings.bounds.stale_weights_limit = kStaleWeightsLimit;
    fixture.PutConfig(1, kRoutes);
    fixture.RegisterEngine(old, 1);
    fixture.Start();
  }

  GatewayFixture fixture;
  FakeUpstream old;
};

/// Runs until the lease's row has been written `n` times. Then the gateway's
/// row is taken out.
void RunUntilLeaseWritten(EndingGateway& gateway, GatewayFixture& fixture,
                          int n) {
  std::uint64_t last = 0;
  REQUIRE(gateway.RunUntilTrue([&] {
    const std::uint64_t version =
        fixture.store.VersionOf("yuccapick-lease", "rollout");
    if (version != last) --n;
    last = version;
    return n <= 0;
  }));
  gateway.Unregister();
}

/// An engine with the weights 1, for gateways that start later.
struct EngineWithoutGateway {
  EngineWithoutGateway()
      : old(fixture.loop, "old",
            [this](Connection& c, const ReceivedRequest& r) {
              old.Answer(c, r, 200, "", "Content-Type: text/event-stream\r\n");
            }) {
    fixture.settings.bounds.stale_weights_limit = kStaleWeightsLimit;
    fixture.PutConfig(1, kRoutes);
    fixture.RegisterEngine(old, 1);
  }

  GatewayFixture fixture;
  FakeUpstream old;
};

/// Waits until the gateway has a newer configuration, from a later answer of
/// the store.
void AwaitNewConfig(GatewayFixture& fixture) {
  fixture.PutConfig(2, std::string(R"([{"name":"new","host":"crew.example",
      "prefix":"/new/","kind":"idempotent","timeoutMs":3000,"service":"app"},)") +
                           (kRoutes + 1));
  REQUIRE(fixture.RunUntilTrue([&fixture] {
    return !fixture.Ask(CallerRequest("GET", "/new/"))
                .starts_with("HTTP/1.1 404");
  }));
}

const std::string kStreamRequest =
    CallerRequest("POST", "/tell/", "X-Model: m\r\nX-Token-Count: 10,10\r\n");

std::string AskForStream(GatewayFixture& fixture) {
  return fixture.Ask(kStreamRequest);
}

/// Two gateways that reach the store at different addresses. Their only engine
/// has the weights 1, the target is 2.
struct OldEngineOfTwoGateways {
  OldEngineOfTwoGateways()
      : old(fixture.loop, "old",
            [this](Connection& c, const ReceivedRequest& r) {
              old.Answer(c, r, 200, "", "Content-Type: text/event-stream\r\n");
            }) {
    fixture.settings.bounds.stale_weights_limit = kShortWeightsLimit;
    fixture.store.RunClock();
    fixture.PutConfig(1, kRoutes);
    fixture.RegisterEngine(old, 1);
    const std::string store = fixture.settings.table_endpoint;
    fixture.settings.table_endpoint = fixture.store.other_endpoint();
    fixture.Start();
    fixture.settings.table_endpoint = store;
    fixture.StartPeer();
    REQUIRE(fixture.AwaitListed(1));
    fixture.PutTargetWeights(2);
    AwaitNewConfig(fixture);
  }

  GatewayFixture fixture;
  FakeUpstream old;
};

TEST_CASE(
    "Engines get requests until their weights were replaced too long ago") {
  OldAndFullEngine engines;
  engines.fixture.PutTargetWeights(2);
  AwaitNewConfig(engines.fixture);
  CHECK(AskForStream(engines.fixture).starts_with("HTTP/1.1 200"));
  CHECK(engines.old.received().size() == 1);
}

TEST_CASE("A gateway that learns late of target weights knows their age") {
  OldAndFullEngine engines;
  engines.fixture.PutTargetWeights(2);
  engines.fixture.store.set_time(milliseconds(1'000) + kStaleWeightsLimit);
  AwaitNewConfig(engines.fixture);
  CHECK(IsRefusal(AskForStream(engines.fixture)));
  CHECK(engines.old.received().empty());
}

TEST_CASE("A gateway whose first answers waited to be read knows the age") {
  OldAndFullEngine engines;
  // The answer with this row ends the poll, so the next one brings the target.
  engines.fixture.PutConfig(1, kRoutes);
  engines.fixture.PutTargetWeights(2);
  engines.fixture.store.set_time(milliseconds(1'000) + kStaleWeightsLimit);
  AwaitNewConfig(engines.fixture);
  CHECK(AskForStream(engines.fixture).starts_with("HTTP/1.1 503"));
  CHECK(engines.old.received().empty());
}

TEST_CASE("No engine gets requests if all weights were replaced too long ago") {
  OldEngine engine;
  engine.fixture.PutTargetWeights(2);
  // The gateway was in touch with the store for longer than the limit, too.
  engine.fixture.store.set_time(milliseconds(2'000) + kStaleWeightsLimit);
  AwaitNewConfig(engine.fixture);
  CHECK(IsRefusal(AskForStream(engine.fixture)));
  CHECK(engine.old.received().empty());
}

TEST_CASE("An outage that swallowed all polls counts as an outage") {
  OldEngine engine;
  GatewayFixture& fixture = engine.fixture;
  fixture.store.RunClock();
  fixture.SilenceStore(milliseconds(3'000));
  fixture.PutTargetWeights(2);
  fixture.store.set_time(milliseconds(2'000) + kStaleWeightsLimit);
  AwaitNewConfig(fixture);
  // The outage left no time to replace the weights.
  CHECK(AskForStream(fixture).starts_with("HTTP/1.1 200"));
}

TEST_CASE("A gateway that starts later knows that weights are too old") {
  OldEngine engine;
  engine.fixture.PutTargetWeights(2);
  REQUIRE(engine.fixture.RunUntilTrue(
      [&engine] { return engine.fixture.store.Has(kSetTimesTable, "m/2"); }));
  engine.fixture.store.set_time(milliseconds(2'000) + kStaleWeightsLimit);
  engine.fixture.StartLate();
  REQUIRE(engine.fixture.AwaitListed(1));
  const std::string answer = engine.fixture.AskLate(CallerRequest(
      "POST", "/tell/", "X-Model: m\r\nX-Token-Count: 10,10\r\n"));
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(engine.old.received().empty());
}

TEST_CASE("A gateway knows the age of weights set after all others had ended") {
  EngineWithoutGateway engine;
  EndingGateway ending(engine.fixture);
  RunUntilLeaseWritten(ending, engine.fixture, 2);
  engine.fixture.PutTargetWeights(2);
  engine.fixture.store.set_time(milliseconds(1'000) + kStaleWeightsLimit);
  engine.fixture.Start();
  REQUIRE(engine.fixture.AwaitListed(1));
  // The weights would be too old in any case after longer waiting.
  const auto end = std::chrono::steady_clock::now() + kStaleWeightsLimit / 4;
  engine.fixture.RunUntilTrue([&engine, end] {
    return engine.fixture.store.Has(kSetTimesTable, "m/2") ||
           std::chrono::steady_clock::now() >= end;
  });
  CHECK(IsRefusal(AskForStream(engine.fixture)));
  CHECK(engine.old.received().empty());
}

TEST_CASE("A request that waits at an engine ends before its weights expire") {
  GatewayFixture fixture;
  FakeUpstream silent(fixture.loop, "silent",
                      [](Connection&, const ReceivedRequest&) {});
  fixture.settings.bounds.stale_weights_limit = milliseconds(1'000);
  fixture.PutConfig(1, kRoutes);
  fixture.RegisterEngine(silent, 1);
  fixture.Start();
  REQUIRE(fixture.AwaitListed(1));
  fixture.PutTargetWeights(2);
  AwaitNewConfig(fixture);
  // The gateway's time limit would end it with 504.
  CHECK(AskForStream(fixture).starts_with("HTTP/1.1 502"));
  REQUIRE(silent.received().size() == 1);
  CHECK(silent.server().connections.front()->closed_by_peer);
}

/// Lets an upstream of another service write its row again and again.
void RunWithHeartbeats(GatewayFixture& fixture, milliseconds duration) {
  for (auto left = duration; left.count() > 0; left -= kHeartbeatInterval) {
    fixture.store.Put("servers", "heartbeat", std::to_string(left.count()));
    fixture.Run(kHeartbeatInterval);
  }
}

TEST_CASE("A gateway that alone lost the store sends to no overdue engine") {
  OldEngineOfTwoGateways engine;
  GatewayFixture& fixture = engine.fixture;
  fixture.store.set_other_up(false);
  RunWithHeartbeats(fixture, kOutage);
  CHECK(IsRefusal(AskForStream(fixture)));
  CHECK(engine.old.received().empty());
}

TEST_CASE("A gateway that alone had an outage sends to no overdue engine") {
  OldEngineOfTwoGateways engine;
  GatewayFixture& fixture = engine.fixture;
  fixture.store.set_other_up(false);
  RunWithHeartbeats(fixture, kOutage);
  fixture.store.set_other_up(true);
  REQUIRE(fixture.RunUntilTrue([&fixture] {
    return fixture.HasMetric(fixture.settings, "yuccapick_store_in_touch 1");
  }));
  CHECK(IsRefusal(AskForStream(fixture)));
  CHECK(engine.old.received().empty());
}

TEST_CASE("Gateways that all lost the store send to overdue engines") {
  OldEngineOfTwoGateways engine;
  engine.fixture.store.set_up(false);
  engine.fixture.Run(kOutage);
  CHECK(AskForStream(engine.fixture).starts_with("HTTP/1.1 200"));
  CHECK(engine.fixture.AskPeer(kStreamRequest).starts_with("HTTP/1.1 200"));
}

TEST_CASE("Row times that can't be read count as none") {
  EngineWithoutGateway engine;
  engine.fixture.store.Put("yuccapick-lease", "rollout-row-times",
                           GENERATE("[", "{}", R"({"savedAfterMs":"x"})",
                                    R"({"savedAfterMs":9000000,"times":[]})",
                                    R"({"savedAfterMs":1,"times":[[1]]})",
                                    R"({"savedAfterMs":1,"times":[[99,1]]})"));
  engine.fixture.PutTargetWeights(2);
  engine.fixture.Start();
  REQUIRE(engine.fixture.AwaitListed(1));
  CHECK(AskForStream(engine.fixture).starts_with("HTTP/1.1 200"));
}

}  // namespace
}  // namespace yuccapick
