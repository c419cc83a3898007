#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>

#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using Connection = FakeUpstream::Connection;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr char kRoutes[] = R"([
 {"name":"look","host":"crew.example","prefix":"/look/","kind":"idempotent",
  "timeoutMs":3000,"targetLatencyMs":300,"service":"app","maxAttempts":2},
 {"name":"tell","host":"crew.example","prefix":"/tell/","kind":"streaming",
  "timeoutMs":3000,"targetLatencyMs":300,"gapTargetMs":300,
  "service":"engines","maxAttempts":3,"resumable":true}])";

/// Requests that may reach an upstream within its pause.
constexpr std::size_t kTolerated = 2;

/// A gateway with one upstream that rejects all requests and asks for a pause.
struct BusyUpstream {
  explicit BusyUpstream(const std::string& retry_after)
      : busy(fixture.loop, "busy",
             [this, retry_after](Connection& c, const ReceivedRequest& r) {
               busy.Answer(c, r, 503, "",
                           "X-Not-Executed: full\r\nRetry-After: " +
                               retry_after + "\r\n");
             }) {
    fixture.PutConfig(1, kRoutes);
    fixture.Register(busy, "app");
    fixture.Start();
    REQUIRE(fixture.AwaitListed(1));
  }

  std::string Ask() {
    return fixture.Ask(CallerRequest("GET", "/look/1", "", "",
                                     fmt::format("id-{}", ++requests)));
  }

  GatewayFixture fixture;
  FakeUpstream busy;
  int requests = 0;
};

}  // namespace

TEST_CASE("An upstream that asks for a pause gets no requests until it ends") {
  BusyUpstream upstream("1");
  upstream.Ask();
  const auto end = steady_clock::now() + milliseconds(900);
  const std::size_t received = upstream.busy.received().size();
  while (steady_clock::now() < end) {
    const std::string answer = upstream.Ask();
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Retry-After: ") != std::string::npos);
  }
  CHECK(upstream.busy.received().size() <= received + kTolerated);
  CHECK(upstream.fixture.RunUntilTrue([&] {
    upstream.Ask();
    return upstream.busy.received().size() > received;
  }));
}

TEST_CASE(
    "An engine that asks for a pause gets no reports or orders meanwhile") {
  GatewayFixture fixture;
  FakeUpstream engine(
      fixture.loop, "engine", [&](Connection& c, const ReceivedRequest& r) {
        engine.Answer(c, r, 503, "",
                      "X-Not-Executed: full\r\nRetry-After: 3\r\n");
      });
  fixture.settings.bounds.lease_handover_gap = milliseconds(100);
  fixture.PutConfig(1, kRoutes);
  fixture.RegisterEngine(engine, 1);
  fixture.PutTargetWeights(2);
  fixture.Start();
  REQUIRE(fixture.RunUntilTrue([&] { return engine.rollout_calls() > 0; }));
  fixture.Ask(CallerRequest("POST", "/tell/",
                            "X-Model: m\r\nX-Token-Count: 10,10\r\n"));
  REQUIRE(engine.received().size() == 1);
  fixture.Run(milliseconds(500));
  const std::size_t before = engine.rollout_calls();
  fixture.Run(milliseconds(2'200));
  CHECK(engine.rollout_calls() == before);
  CHECK(fixture.RunUntilTrue([&] { return engine.rollout_calls() > before; }));
}

TEST_CASE("A pause that can't be read is none") {
  for (const char* text : {"soon", "-3", "nan", ""}) {
    BusyUpstream upstream(text);
    upstream.Ask();
    upstream.Ask();
    CHECK(upstream.busy.received().size() == 2);
  }
}

}  // namespace yuccapick
