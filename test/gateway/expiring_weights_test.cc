#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>

#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using Connection = FakeUpstream::Connection;

constexpr milliseconds kStaleWeightsLimit{1'000};

/// @param resumable whether the stream may be repeated
std::string Routes(bool resumable) {
  return fmt::format(R"([
 {{"name":"tell","host":"crew.example","prefix":"/tell/","kind":"streaming",
  "timeoutMs":4000,"targetLatencyMs":300,"gapTargetMs":300,
  "service":"engines","maxAttempts":2,"resumable":{}}}])",
                     resumable);
}

TEST_CASE("A request ends before weights expire that were current when sent") {
  const bool resumable = GENERATE(false, true);
  INFO("resumable " << resumable);
  GatewayFixture fixture;
  FakeUpstream silent(fixture.loop, "silent",
                      [](Connection&, const ReceivedRequest&) {});
  fixture.settings.bounds.stale_weights_limit = kStaleWeightsLimit;
  fixture.store.RunClock();
  fixture.PutConfig(1, Routes(resumable));
  fixture.RegisterEngine(silent, 1);
  fixture.Start();
  REQUIRE(fixture.AwaitListed(1));
  FakeCaller caller(fixture.loop, fixture.settings.caller_endpoint);
  caller.Send(CallerRequest("POST", "/tell/",
                            "X-Model: m\r\nX-Token-Count: 10,10\r\n"));
  REQUIRE(fixture.RunUntilTrue([&] { return silent.received().size() == 1; }));
  fixture.Run(milliseconds(100));
  fixture.PutTargetWeights(2);
  fixture.Run(kStaleWeightsLimit);
  // An answer that begins from now on has weights that are too old.
  CHECK(silent.server().connections.front()->closed_by_peer);
  CHECK(caller.input().starts_with("HTTP/1.1 502"));
}

}  // namespace
}  // namespace yuccapick
