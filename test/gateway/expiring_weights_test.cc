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

constexpr char kPlainRoute[] = R"([
 {"name":"sum","host":"crew.example","prefix":"/sum/","kind":"idempotent",
  "timeoutMs":4000,"targetLatencyMs":3000,"service":"engines",
  "maxAttempts":2}])";

/// A gateway whose only engine answers nothing.
struct SilentEngine {
  explicit SilentEngine(const std::string& routes)
      : silent(fixture.loop, "silent",
               [](Connection&, const ReceivedRequest&) {}) {
    fixture.settings.bounds.stale_weights_limit = kStaleWeightsLimit;
    fixture.store.RunClock();
    fixture.PutConfig(1, routes);
    fixture.RegisterEngine(silent, 1);
    fixture.Start();
    REQUIRE(fixture.AwaitListed(1));
  }

  /// Sends a prompt, and sets newer weights while it waits at the engine.
  /// @return the caller's input once the engine's weights are too old
  std::string SendAndLetWeightsExpire(const std::string& path) {
    FakeCaller caller(fixture.loop, fixture.settings.caller_endpoint);
    caller.Send(
        CallerRequest("POST", path, "X-Model: m\r\nX-Token-Count: 10,10\r\n"));
    REQUIRE(
        fixture.RunUntilTrue([&] { return silent.received().size() == 1; }));
    fixture.Run(milliseconds(100));
    fixture.PutTargetWeights(2);
    fixture.Run(kStaleWeightsLimit);
    return caller.input();
  }

  bool GivenUp() { return silent.server().connections.front()->closed_by_peer; }

  GatewayFixture fixture;
  FakeUpstream silent;
};

TEST_CASE("A request ends before weights expire that were current when sent") {
  const bool resumable = GENERATE(false, true);
  INFO("resumable " << resumable);
  SilentEngine engine(Routes(resumable));
  const std::string input = engine.SendAndLetWeightsExpire("/tell/");
  // An answer that begins from now on has weights that are too old.
  CHECK(engine.GivenUp());
  CHECK(input.starts_with("HTTP/1.1 502"));
}

/// Guards against prompts outside of streams that begin on expired weights.
TEST_CASE("A prompt that may be repeated isn't left to begin on old weights") {
  SilentEngine engine(kPlainRoute);
  const std::string input = engine.SendAndLetWeightsExpire("/sum/");
  CHECK(engine.GivenUp());
  CHECK(input.starts_with("HTTP/1.1 502"));
}

}  // namespace
}  // namespace yuccapick
