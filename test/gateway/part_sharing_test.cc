#include "gateway/part_sharing.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <string>

#include "test/gateway/ending_gateway.h"
#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using Connection = FakeUpstream::Connection;

constexpr char kRoutes[] = R"([
 {"name":"tell","host":"crew.example","prefix":"/tell/","kind":"streaming",
  "timeoutMs":3000,"targetLatencyMs":300,"gapTargetMs":300,
  "service":"engines","maxAttempts":2,"resumable":true},
 {"name":"sum","host":"crew.example","prefix":"/sum/","kind":"idempotent",
  "timeoutMs":3000,"targetLatencyMs":300,"service":"engines",
  "maxAttempts":2}])";
constexpr char kOneEvent[] = "id: 1\ndata: x\n\n";
constexpr int kDocuments = 12;

/// An engine that answers each stream with one event.
struct StreamEngine {
  StreamEngine(asio::io_context& loop, const std::string& id)
      : fake(loop, id, [this](Connection& c, const ReceivedRequest& r) {
          fake.Answer(c, r, 200, kOneEvent,
                      "Content-Type: text/event-stream\r\n");
        }) {}

  FakeUpstream fake;
};

std::string Prompt(const std::string& path, int document,
                   const std::string& id) {
  return CallerRequest(
      "POST", path,
      fmt::format("X-Model: m\r\nX-Token-Count: 7000,10\r\n"
                  "X-Prompt-Prefix: a1:2500,b{:x}:3800,c{}:700\r\n",
                  document, id),
      "", id);
}

std::string Stream(int document, const std::string& id) {
  return Prompt("/tell/", document, id);
}

/// Two gateways of which neither is allowed to watch the engines' caches.
struct TwoGateways {
  TwoGateways() : first(fixture.loop, "first"), second(fixture.loop, "second") {
    fixture.settings.max_holders_wait = kTestTimeout;
    fixture.PutConfig(1, kRoutes);
    fixture.RegisterEngine(first.fake, 1);
    fixture.Start();
    fixture.StartPeer();
    REQUIRE(fixture.RunUntilTrue([this] {
      return fixture.HasMetric(fixture.settings, "yuccapick_part_owners 2") &&
             fixture.HasMetric(fixture.peer_settings,
                               "yuccapick_part_owners 2");
    }));
  }

  GatewayFixture fixture;
  StreamEngine first;
  StreamEngine second;
};

TEST_CASE("A gateway sends a prompt to the engine that another one has used") {
  const std::string path = GENERATE("/tell/", "/sum/");
  CAPTURE(path);
  TwoGateways gateways;
  GatewayFixture& fixture = gateways.fixture;
  for (int i = 0; i < kDocuments; ++i) {
    fixture.Ask(Prompt(path, i, fmt::format("1{:x}", i)));
  }
  // Updates are collected for some milliseconds.
  fixture.Run(milliseconds(100));
  fixture.RegisterEngine(gateways.second.fake, 1);
  REQUIRE(fixture.AwaitListed(2));
  for (int i = 0; i < kDocuments; ++i) {
    CHECK(fixture.AskPeer(Prompt(path, i, fmt::format("2{:x}", i)))
              .starts_with("HTTP/1.1 200"));
  }
  CHECK(gateways.second.fake.received().empty());
  CHECK(gateways.first.fake.received().size() ==
        static_cast<std::size_t>(2 * kDocuments));
}

TEST_CASE("What engines with replaced weights hold is known to all gateways") {
  TwoGateways gateways;
  GatewayFixture& fixture = gateways.fixture;
  for (int i = 0; i < kDocuments; ++i) {
    fixture.Ask(Stream(i, fmt::format("1{:x}", i)));
  }
  fixture.Run(milliseconds(100));
  fixture.RegisterEngine(gateways.second.fake, 2);
  REQUIRE(fixture.AwaitListed(2));
  for (int i = 0; i < kDocuments; ++i) {
    fixture.AskPeer(Stream(i, fmt::format("2{:x}", i)));
  }
  CHECK(gateways.second.fake.received().empty());
}

/// A gateway whose only peer has ended without notice.
struct GatewayWithEndedPeer {
  GatewayWithEndedPeer() : engine(fixture.loop, "first") {
    fixture.PutConfig(1, kRoutes);
    fixture.RegisterEngine(engine.fake, 1);
    EndingGateway ending(fixture);
    fixture.Start();
    REQUIRE(ending.RunUntilTrue([this] {
      return fixture.HasMetric(fixture.settings, "yuccapick_part_owners 2");
    }));
  }

  GatewayFixture fixture;
  StreamEngine engine;
};

TEST_CASE("A request whose parts' owner has ended is sent shortly") {
  GatewayWithEndedPeer gateway;
  const TimePoint begun_at = std::chrono::steady_clock::now();
  for (int i = 0; i < kDocuments; ++i) {
    CHECK(gateway.fixture.Ask(Stream(i, fmt::format("1{:x}", i)))
              .starts_with("HTTP/1.1 200"));
  }
  CHECK(std::chrono::steady_clock::now() - begun_at <
        kDocuments * milliseconds(100));
  CHECK(gateway.engine.fake.received().size() == kDocuments);
}

TEST_CASE("A caller that leaves before its request is sent ends the request") {
  GatewayWithEndedPeer gateway;
  GatewayFixture& fixture = gateway.fixture;
  for (int i = 0; i < kDocuments; ++i) {
    FakeCaller caller(fixture.loop, fixture.settings.caller_endpoint);
    caller.Send(Stream(i, fmt::format("1{:x}", i)));
    fixture.loop.run_one_for(milliseconds(5));
  }
  REQUIRE(fixture.RunUntilTrue([&fixture] {
    return fixture.HasMetric(fixture.settings,
                             "yuccapick_requests_under_way 0");
  }));
}

}  // namespace
}  // namespace yuccapick
