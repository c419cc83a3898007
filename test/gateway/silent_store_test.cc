#include <catch2/catch.hpp>

#include "platform/names.h"
#include "test/gateway/gateway_fixture.h"
#include "yuccapick/table_freshness.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using Connection = FakeUpstream::Connection;

constexpr char kOldRoutes[] = R"([
 {"name":"look","host":"crew.example","prefix":"/look/","kind":"idempotent",
  "timeoutMs":3000,"targetLatencyMs":300,"service":"app","maxAttempts":2}])";
constexpr char kNewRoutes[] = R"([
 {"name":"look","host":"crew.example","prefix":"/look/","kind":"idempotent",
  "timeoutMs":3000,"targetLatencyMs":300,"service":"app","maxAttempts":2},
 {"name":"new","host":"crew.example","prefix":"/new/","kind":"idempotent",
  "timeoutMs":3000,"targetLatencyMs":300,"service":"app","maxAttempts":2}])";
constexpr char kSetTimesTable[] = "yuccapick-weights";
constexpr char kKnownPath[] = "/look/1";
constexpr char kNewPath[] = "/new/1";

constexpr milliseconds kSilence{300};
constexpr milliseconds kAskInterval{20};
/// Time after its acknowledgement at which a change must be in force.
constexpr milliseconds kChangeLimit{2'000};

/// A gateway with one upstream, and a store whose clock runs.
struct ServedApp {
  ServedApp()
      : upstream(fixture.loop, "up",
                 [this](Connection& c, const ReceivedRequest& r) {
                   upstream.Answer(c, r, 200, "yes", "");
                 }) {
    fixture.store.RunClock();
    fixture.PutConfig(1, kOldRoutes);
    fixture.Register(upstream, "app");
    fixture.Start();
    REQUIRE(fixture.AwaitListed(1));
  }

  bool Answers(const std::string& path, const std::string& status) {
    return fixture.Ask(CallerRequest("GET", path))
        .starts_with("HTTP/1.1 " + status);
  }
  bool PeerAnswers(const std::string& path, const std::string& status) {
    return fixture.AskPeer(CallerRequest("GET", path))
        .starts_with("HTTP/1.1 " + status);
  }

  GatewayFixture fixture;
  FakeUpstream upstream;
};

/// @return how long it takes until `done` holds, at most `kTestTimeout`
milliseconds TimeUntil(GatewayFixture& fixture,
                       const std::function<bool()>& done) {
  const auto from = std::chrono::steady_clock::now();
  while (!done()) {
    REQUIRE(std::chrono::steady_clock::now() - from < kTestTimeout);
    fixture.Run(kAskInterval);
  }
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - from);
}

}  // namespace

TEST_CASE("A configuration after a short silence of the store is in force") {
  ServedApp app;
  app.fixture.SilenceStore(kSilence);
  app.fixture.PutConfig(2, kNewRoutes);
  CHECK(TimeUntil(app.fixture, [&] { return app.Answers(kNewPath, "200"); }) <
        kChangeLimit);
}

TEST_CASE("A configuration after a silence that took a check is in force") {
  ServedApp app;
  app.fixture.SilenceStore(milliseconds(700));
  app.fixture.PutConfig(2, kNewRoutes);
  CHECK(TimeUntil(app.fixture, [&] { return app.Answers(kNewPath, "200"); }) <
        kChangeLimit);
}

TEST_CASE("A key removed after a short silence of the store is refused") {
  ServedApp app;
  REQUIRE(app.Answers(kKnownPath, "200"));
  app.fixture.SilenceStore(kSilence);
  app.fixture.PutConfig(2, kOldRoutes, "another-key");
  CHECK(TimeUntil(app.fixture, [&] { return app.Answers(kKnownPath, "401"); }) <
        kChangeLimit);
}

TEST_CASE("An upstream that leaves after a short silence gets no requests") {
  ServedApp app;
  app.fixture.SilenceStore(kSilence);
  app.fixture.Register(app.upstream, "app", "draining");
  CHECK(TimeUntil(app.fixture, [&] { return app.Answers(kKnownPath, "503"); }) <
        kChangeLimit);
}

TEST_CASE("Target weights set after a short silence of the store are known") {
  ServedApp app;
  app.fixture.SilenceStore(kSilence);
  app.fixture.PutTargetWeights(2);
  CHECK(TimeUntil(app.fixture, [&] {
          return app.fixture.store.Has(kSetTimesTable, "m/2");
        }) < kChangeLimit);
}

TEST_CASE("Gateways that lost all polls have a configuration in force") {
  ServedApp app;
  app.fixture.StartPeer();
  app.fixture.SilenceStore(kSilence);
  app.fixture.PutConfig(2, kNewRoutes);
  CHECK(TimeUntil(app.fixture, [&] {
          return app.Answers(kNewPath, "200") &&
                 app.PeerAnswers(kNewPath, "200");
        }) < kChangeLimit);
}

TEST_CASE("Polls that a silence swallowed are opened again") {
  ServedApp app;
  app.fixture.SilenceStore(kSilence);
  app.fixture.PutConfig(2, kNewRoutes);
  REQUIRE(
      app.fixture.RunUntilTrue([&] { return app.Answers(kNewPath, "200"); }));
  CHECK(TimeUntil(app.fixture, [&] {
          return app.fixture.store.HasPoll(platform::kOperator);
        }) < kChangeLimit);
  app.fixture.PutConfig(3, kOldRoutes);
  CHECK(TimeUntil(app.fixture, [&] { return app.Answers(kNewPath, "404"); }) <
        kChangeLimit);
}

TEST_CASE("Unknown routes are refused with 503 while the store is silent") {
  ServedApp app;
  CHECK(app.Answers(kNewPath, "404"));
  app.fixture.SilenceStore(kConfirmationMaxAge + kAskInterval);
  CHECK(app.Answers(kNewPath, "503"));
  CHECK(app.Answers(kKnownPath, "200"));
  CHECK(TimeUntil(app.fixture, [&] { return app.Answers(kNewPath, "404"); }) <
        kChangeLimit);
}

TEST_CASE("A gateway that started after a removal fetches no peer's tables") {
  ServedApp app;
  app.fixture.store.Put("servers", "gone", "no entry");
  app.fixture.store.Remove("servers", "gone");
  app.fixture.StartPeer();
  app.fixture.Run(milliseconds(1'000));
  CHECK(app.fixture.PeerHasMetric("yuccapick_tables_from_peers 0"));
}

TEST_CASE("Gateways that hear of each other's checks share them") {
  ServedApp app;
  app.fixture.StartPeer();
  app.fixture.Run(milliseconds(1'000));
  const std::size_t before = app.fixture.store.checks();
  app.fixture.Run(milliseconds(3'000));
  CHECK(app.fixture.store.checks() - before <= 20);
}

}  // namespace yuccapick
