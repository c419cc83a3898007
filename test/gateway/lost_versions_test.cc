#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>

#include "test/gateway/software_versions.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kUntilListed{300};
/// Callers ask for their streams this often.
constexpr milliseconds kAskInterval{200};
/// After the store's return and the gateways' start all streams go on.
constexpr milliseconds kUntilResumed{4'000};

enum class Generations { kNamed, kNotNamed };

/// Upstreams of a second version join after the copy was made from which the
/// store comes back when all gateways end.
struct LostVersion {
  explicit LostVersion(Generations named = Generations::kNamed)
      : generations(named) {
    FakeStore& store = fleet.fixture.store;
    store.RunClock();
    if (generations == Generations::kNamed) store.set_generation(1);
    fleet.AwaitTimed("app/v1");
    // The second version joins some seconds after the first.
    store.set_time(milliseconds(5'000));
    copy = store.MakeCopy();
    fleet.ListV2();
    fleet.RunEnding(kUntilListed);
    fleet.BeginStreams();
  }

  /// The store comes back from its copy, and another gateway starts.
  void Strike() {
    fleet.Kill();
    fleet.fixture.store.Restore(copy);
    if (generations == Generations::kNotNamed) {
      fleet.fixture.store.set_generation(0);
    }
    fleet.fixture.Start();
    started_at = std::chrono::steady_clock::now();
  }

  void CheckOrigin(int n, const std::string& attempt) {
    CHECK(fleet.v1.HasResumed(attempt) == fleet.v1.HasBegun(StreamName(n)));
    CHECK(fleet.v2.HasResumed(attempt) == fleet.v2.HasBegun(StreamName(n)));
  }

  /// Resumes all streams, again until they go on.
  /// @param until time since the start
  void ResumeUntil(milliseconds until) {
    while (std::chrono::steady_clock::now() - started_at < until) {
      for (int n = 0; n < kStreams; ++n) {
        if (resumed.contains(n)) continue;
        const std::string attempt = fmt::format("again-{}", ++attempts);
        const std::string answer =
            fleet.fixture.Ask(ResumedStream(attempt, StreamName(n)));
        if (!HasRestOfStream(answer)) continue;
        resumed.insert(n);
        CheckOrigin(n, attempt);
      }
      if (resumed.size() == kStreams) return;
      fleet.fixture.Run(kAskInterval);
    }
  }

  void CheckAllGoOn() {
    ResumeUntil(kUntilResumed);
    CHECK(resumed.size() == kStreams);
  }

  Generations generations;
  TwoVersionsUntilKill fleet;
  FakeStore::Copy copy;
  std::chrono::steady_clock::time_point started_at;
  std::set<int> resumed;
  int attempts = 0;
};

/// Guards against streams that go on at the version that is left, as nothing
/// tells of the other any more.
TEST_CASE(
    "A version whose upstreams are lost with the gateways joins nothing") {
  LostVersion lost;
  lost.Strike();
  lost.CheckAllGoOn();
}

/// Guards against the same until the upstreams have registered again.
TEST_CASE("A version whose upstreams register late joins nothing") {
  LostVersion lost;
  lost.Strike();
  lost.ResumeUntil(milliseconds(3'000));
  lost.fleet.Register(lost.fleet.v2);
  lost.CheckAllGoOn();
}

/// Guards against streams that go on at another version since the store, which
/// has come back from an older copy, lacks the one that began them.
TEST_CASE("After a power loss a copy that lacks a version misleads nobody") {
  LostVersion lost;
  lost.Strike();
  lost.fleet.fixture.Run(milliseconds(1'600));
  lost.fleet.Register(lost.fleet.v2);
  lost.CheckAllGoOn();
}

/// Guards against the same where no upstream lost power.
TEST_CASE("A version that joined and left within a copy's age joins nothing") {
  LostVersion lost;
  FakeStore& store = lost.fleet.fixture.store;
  for (const StreamUpstream* it :
       {&lost.fleet.v2.first, &lost.fleet.v2.second}) {
    store.Remove("servers", it->fake.id());
  }
  lost.fleet.RunEnding(milliseconds(200));
  lost.Strike();
  lost.CheckAllGoOn();
}

/// Guards against a return that no answer of the store tells.
TEST_CASE("A return from a copy joins nothing if no generation is named") {
  LostVersion lost(Generations::kNotNamed);
  lost.Strike();
  lost.CheckAllGoOn();
}

/// Guards against a second kill before anything was learned again.
TEST_CASE("A version that is lost joins nothing after two kills in a row") {
  LostVersion lost;
  lost.Strike();
  lost.fleet.fixture.Run(milliseconds(300));
  lost.fleet.fixture.gateway.reset();
  lost.fleet.fixture.Start();
  lost.CheckAllGoOn();
}

/// Guards against a gateway that knows the version, but not its age.
TEST_CASE("A gateway that lives on takes the version for a young one") {
  LostVersion lost;
  lost.fleet.fixture.store.Restore(lost.copy);
  lost.fleet.fixture.Start();
  lost.started_at = std::chrono::steady_clock::now();
  lost.CheckAllGoOn();
}

/// Guards against streams of a service that is younger than the copy: another
/// version of it may have come and gone.
TEST_CASE("No unknown stream of a service that the copy lacks is resumed") {
  TwoVersionsUntilKill fleet;
  FakeStore& store = fleet.fixture.store;
  store.RunClock();
  store.set_generation(1);
  fleet.AwaitTimed("app/v1");
  REQUIRE(fleet.ending->RunUntilTrue(
      [&] { return store.Has(kSoftwareTable, "generation"); }));
  FakeStore::Copy copy = store.MakeCopy();
  copy.tables["yuccapick-software"].erase("app/v1");
  copy.tables["servers"].clear();
  fleet.BeginStreams();
  fleet.Kill();
  store.Restore(copy);
  fleet.Register(fleet.v1);
  fleet.fixture.Start();
  fleet.fixture.Run(milliseconds(3'000));
  const std::size_t received = fleet.v1.ReceivedCount();
  CHECK(IsRefusal(fleet.fixture.Ask(ResumedStream("id-2", StreamName(0)))));
  CHECK(fleet.v1.ReceivedCount() == received);
}

/// Guards against streams of a young version that stay away from their
/// upstreams for good.
TEST_CASE("A second version begins streams once its row is old enough") {
  TwoVersionsUntilKill fleet;
  FakeStore& store = fleet.fixture.store;
  store.RunClock();
  fleet.AwaitTimed("app/v1");
  store.set_time(milliseconds(3'000));
  fleet.ListV2();
  fleet.AwaitTimed("app/v2");
  fleet.BeginStreams();
  CHECK(fleet.v2.ReceivedCount() == 0);
  store.set_time(milliseconds(20'000));
  REQUIRE(fleet.ending->RunUntilTrue([&] {
    FakeCaller caller(fleet.fixture.loop,
                      fleet.ending->settings().caller_endpoint);
    caller.Send(NewStream(fmt::format("later-{}", fleet.callers.size())));
    REQUIRE(fleet.ending->RunUntilTrue(
        [&caller] { return Contains(caller.input(), Event(2)); }));
    return fleet.v2.ReceivedCount() > 0;
  }));
}

/// Guards against refusals while only a young version serves.
TEST_CASE("A young version begins streams when the older one has left") {
  TwoVersionsUntilKill fleet;
  FakeStore& store = fleet.fixture.store;
  store.RunClock();
  fleet.AwaitTimed("app/v1");
  fleet.ListV2();
  for (const StreamUpstream* it : {&fleet.v1.first, &fleet.v1.second}) {
    store.Remove("servers", it->fake.id());
  }
  fleet.RunEnding(kUntilListed);
  fleet.BeginStreams();
  CHECK(fleet.v1.ReceivedCount() == 0);
  CHECK(fleet.v2.HasBegun(StreamName(0)));
}

}  // namespace
}  // namespace yuccapick
