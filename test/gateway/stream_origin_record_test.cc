#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "test/gateway/software_versions.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr char kOriginTable[] = "yuccapick-streams";
/// Origins are saved within this time.
constexpr milliseconds kSavingTime{600};

constexpr char kSplitRoutes[] = R"([
 {"name":"tell","host":"crew.example","prefix":"/tell/","kind":"streaming",
  "timeoutMs":20000,"targetLatencyMs":8000,"gapTargetMs":8000,
  "split":[{"service":"app","weight":1},{"service":"other","weight":1}],
  "maxAttempts":2,"resumable":true}])";

/// Guards against the loss of all streams of a mixed service with the
/// gateways' memory.
TEST_CASE("Streams of two versions go on after all gateways were killed") {
  TwoVersionsUntilKill fleet;
  fleet.ListV2();
  fleet.BeginStreams();
  fleet.RunEnding(kSavingTime);
  fleet.Kill();
  fleet.fixture.Start();
  fleet.CheckAllGoOn();
}

/// Guards against the same loss when the second kill comes before the gateways
/// of the first start have learned anything.
TEST_CASE("Streams of two versions go on after two kills in a row") {
  TwoVersionsUntilKill fleet;
  fleet.ListV2();
  fleet.BeginStreams();
  fleet.RunEnding(kSavingTime);
  fleet.Kill();
  fleet.fixture.Start();
  fleet.fixture.gateway.reset();
  fleet.fixture.Start();
  fleet.CheckAllGoOn();
}

/// Guards against refusals at a gateway that started after the streams, while
/// another one that knows them goes on.
TEST_CASE("A gateway that starts later resumes the streams of its peers") {
  TwoVersionsUntilKill fleet;
  fleet.ListV2();
  fleet.BeginStreams();
  fleet.RunEnding(kSavingTime);
  fleet.fixture.Start();
  fleet.CheckAllGoOn();
}

/// Guards against the loss of streams that began before their service had a
/// second version.
TEST_CASE(
    "Streams of the only version go on after a second joined and a kill") {
  TwoVersionsUntilKill fleet;
  fleet.BeginStreams();
  fleet.ListV2();
  fleet.RunEnding(kSavingTime);
  fleet.Kill();
  fleet.fixture.Start();
  fleet.CheckAllGoOn();
  CHECK(fleet.v2.ReceivedCount() == 0);
}

/// Guards against the loss of origins that the store has lost.
TEST_CASE("Origins are saved again after the store came back from a copy") {
  TwoVersionsUntilKill fleet;
  fleet.ListV2();
  const FakeStore::Copy copy = fleet.fixture.store.MakeCopy();
  fleet.BeginStreams();
  fleet.RunEnding(kSavingTime);
  REQUIRE(fleet.fixture.store.RowCount(kOriginTable) > 0);
  fleet.fixture.store.Restore(copy);
  REQUIRE(fleet.fixture.store.RowCount(kOriginTable) == 0);
  REQUIRE(fleet.ending->RunUntilTrue(
      [&] { return fleet.fixture.store.RowCount(kOriginTable) > 0; }));
  fleet.Kill();
  fleet.fixture.Start();
  fleet.CheckAllGoOn();
}

/// Guards against the loss of origins whose write got no answer.
TEST_CASE("Origins that the store refused are saved later") {
  TwoVersionsUntilKill fleet;
  fleet.ListV2();
  fleet.fixture.store.RefuseWrites(kOriginTable, 3);
  fleet.BeginStreams();
  fleet.RunEnding(kSavingTime * 3);
  fleet.Kill();
  fleet.fixture.Start();
  fleet.CheckAllGoOn();
}

/// Guards against the loss of streams of a route with several services, each
/// of which has one version.
TEST_CASE("Streams of a split route go on after all gateways were killed") {
  GatewayFixture fixture;
  UpstreamPair left(fixture.loop, "left");
  UpstreamPair right(fixture.loop, "right");
  fixture.PutConfig(1, kSplitRoutes);
  for (const StreamUpstream* it : {&left.first, &left.second}) {
    fixture.RegisterSoftware(it->fake, "app", "v1");
  }
  for (const StreamUpstream* it : {&right.first, &right.second}) {
    fixture.RegisterSoftware(it->fake, "other", "v1");
  }
  std::optional<EndingGateway> ending(std::in_place, fixture);
  REQUIRE(ending->RunUntilTrue([&] {
    return fixture.store.Has(kSoftwareTable, "app/v1") &&
           fixture.store.Has(kSoftwareTable, "other/v1");
  }));
  std::vector<std::unique_ptr<FakeCaller>> callers;
  for (int n = 0; n < kStreams; ++n) {
    callers.push_back(std::make_unique<FakeCaller>(
        fixture.loop, ending->settings().caller_endpoint));
    callers.back()->Send(NewStream(StreamName(n)));
    REQUIRE(ending->RunUntilTrue(
        [&] { return Contains(callers.back()->input(), Event(2)); }));
  }
  const auto saved_at = std::chrono::steady_clock::now() + kSavingTime;
  REQUIRE(ending->RunUntilTrue(
      [&] { return std::chrono::steady_clock::now() >= saved_at; }));
  ending->Unregister();
  ending.reset();
  fixture.Start();
  for (int n = 0; n < kStreams; ++n) {
    const std::string attempt = fmt::format("again-{}", n);
    CHECK(HasRestOfStream(fixture.Ask(ResumedStream(attempt, StreamName(n)))));
    CHECK(left.HasResumed(attempt) == left.HasBegun(StreamName(n)));
  }
}

/// Guards against callers that are sent round in circles.
TEST_CASE("A stream whose origin is lost is told so") {
  TwoSoftwareVersions versions;
  versions.ListSecondOfV1();
  versions.ListV2();
  int attempts = 1;
  const auto resume = [&] {
    return versions.fixture.Ask(
        ResumedStream(fmt::format("id-{}", ++attempts), "id-1"));
  };
  CHECK(IsRefusal(resume()));
  CHECK(IsRefusal(resume()));
  std::string answer;
  REQUIRE(versions.fixture.RunUntilTrue([&] {
    answer = resume();
    return !IsRefusal(answer);
  }));
  CHECK(answer.starts_with("HTTP/1.1 410"));
  CHECK(versions.fixture.HasMetric(versions.fixture.settings,
                                   "yuccapick_lost_stream_origins 1"));
  CHECK(versions.v1.ReceivedCount() == 0);
  CHECK(versions.v2.ReceivedCount() == 0);
}

/// Guards against a stream that is called lost while the gateways that know it
/// have not saved it again.
TEST_CASE("No stream is lost just after the store came back from a copy") {
  TwoVersionsUntilKill fleet;
  fleet.ListV2();
  FakeStore& store = fleet.fixture.store;
  store.RunClock();
  store.Restore(store.MakeCopy());
  fleet.Kill();
  fleet.fixture.Start();
  const auto settled_at =
      std::chrono::steady_clock::now() + milliseconds(1'900);
  int attempts = 0;
  while (std::chrono::steady_clock::now() < settled_at) {
    const std::string attempt = fmt::format("again-{}", ++attempts);
    CHECK(IsRefusal(fleet.fixture.Ask(ResumedStream(attempt, "unknown"))));
    fleet.fixture.Run(milliseconds(100));
  }
  CHECK(attempts > 1);
}

/// Guards against a time limit of the configuration that isn't taken over.
TEST_CASE("Origins are kept for the time limit of the longest stream") {
  GatewayFixture fixture;
  StreamUpstream upstream(fixture.loop, "up");
  std::string routes = kStreamRoutes;
  routes.replace(routes.find("20000"), 5, "90000");
  fixture.PutConfig(1, routes);
  fixture.RegisterSoftware(upstream.fake, "app", "v1");
  fixture.Start();
  CHECK(fixture.HasMetric(fixture.settings,
                          "yuccapick_stream_origin_lifetime_ms 90000"));
}

/// Guards against writes where any gateway could tell the origin.
TEST_CASE("Origins of a service with one version are not saved") {
  TwoVersionsUntilKill fleet;
  fleet.BeginStreams();
  fleet.RunEnding(kSavingTime);
  CHECK(fleet.fixture.store.RowCount(kOriginTable) == 0);
}

}  // namespace
}  // namespace yuccapick
