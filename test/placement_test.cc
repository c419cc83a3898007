#include "yuccapick/placement.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kPieceBytes = 16'000;

CacheScope Scope(const std::string& team, const std::string& weights = "w1") {
  return {TeamId(team), ModelId("fen-3b"), AdapterId(), WeightVersion(weights)};
}

UpstreamInfo Engine(int n, std::uint64_t state = 1) {
  UpstreamInfo info;
  info.id = UpstreamId("engine-" + std::to_string(n));
  info.domain = FailureDomain("d" + std::to_string(n % 3));
  info.agent_incarnation = Incarnation(state);
  info.engine_incarnation = Incarnation(state);
  info.loaded = {
      {ModelId("fen-3b"), AdapterId(), WeightVersion("w1")},
      {ModelId("fen-3b"), AdapterId(), WeightVersion("w2")},
  };
  return info;
}

PlacementRequest Request(const CacheScope& scope, const std::string& document) {
  PlacementRequest request;
  request.scope = scope;
  const std::vector<std::string> levels = {
      std::string(kPieceBytes, 't'), std::string(kPieceBytes, 's') + document,
      "question"};
  request.pieces = SplitPrefix(scope, levels, kPieceBytes);
  request.prompt_bytes = request.pieces.back().end_byte;
  return request;
}

/// A placement that knows `engines` engines, and its fake clock.
struct Fixture {
  explicit Fixture(int engines, std::uint64_t seed = 1)
      : placement({FailureDomain("d0"), Region(), seed}) {
    for (int n = 0; n < engines; ++n) placement.ApplyUpstream(Engine(n), now);
  }

  PlacementDecision Send(const PlacementRequest& request) {
    const auto decision = placement.Choose(request, now);
    REQUIRE(decision.has_value());
    const AttemptId attempt("a" + std::to_string(++attempts));
    placement.OnDispatched(attempt, request, *decision, now);
    now += milliseconds(100);
    placement.OnFirstToken(attempt, now);
    now += milliseconds(100);
    placement.OnFinished(attempt, std::nullopt, now);
    now += milliseconds(5'000);
    return *decision;
  }

  Placement placement;
  TimePoint now{std::chrono::hours(1)};
  int attempts = 0;
};

int NumberOf(const UpstreamId& id) {
  return std::stoi(id.value.substr(std::string("engine-").size()));
}

TEST_CASE("Nothing is chosen while no engine can answer") {
  Fixture fixture(3);
  auto request = Request(Scope("t", "w9"), "doc");
  CHECK_FALSE(fixture.placement.Choose(request, fixture.now).has_value());
}

TEST_CASE("Routers without a word exchanged choose the same home") {
  rc::prop("two fresh routers agree", [] {
    const auto document = *rc::gen::nonEmpty<std::string>();
    Fixture a(18, 1);
    Fixture b(18, 2);
    const auto request = Request(Scope("t"), document);
    RC_ASSERT(a.placement.Choose(request, a.now)->upstream ==
              b.placement.Choose(request, b.now)->upstream);
  });
}

TEST_CASE("A prefix that was sent is expected in the cache of its engine") {
  Fixture fixture(18);
  const auto request = Request(Scope("t"), "doc");
  const auto first = fixture.Send(request);
  CHECK(first.expected_cached_tokens == 0);
  const auto second = fixture.Send(request);
  CHECK(second.upstream == first.upstream);
  CHECK(second.expected_cached_tokens > 7'000);
}

TEST_CASE("Nothing cached is expected of another life of the engine") {
  Fixture fixture(18);
  const auto request = Request(Scope("t"), "doc");
  const auto first = fixture.Send(request);
  fixture.placement.ApplyUpstream(Engine(NumberOf(first.upstream), 2),
                                  fixture.now);
  const auto second = fixture.placement.Choose(request, fixture.now);
  CHECK(second->expected_cached_tokens == 0);
}

TEST_CASE("A late report of a former life is ignored") {
  Fixture fixture(1);
  const auto request = Request(Scope("t"), "doc");
  fixture.placement.ApplyUpstream(Engine(0, 2), fixture.now);
  AgentReport late;
  late.upstream = Engine(0, 1);
  late.digest = {{request.pieces.back().chain_hash, 9'000, milliseconds(0)}};
  fixture.placement.ApplyReport(late, fixture.now);
  const auto decision = fixture.placement.Choose(request, fixture.now);
  CHECK(decision->expected_cached_tokens == 0);
  CHECK(decision->engine_incarnation == Incarnation(2));
}

TEST_CASE("Nothing cached is expected across teams or weight versions") {
  Fixture fixture(18);
  fixture.Send(Request(Scope("t"), "doc"));
  for (const CacheScope& scope : {Scope("u"), Scope("t", "w2")}) {
    const auto decision =
        fixture.placement.Choose(Request(scope, "doc"), fixture.now);
    CHECK(decision->expected_cached_tokens == 0);
  }
}

TEST_CASE("An excluded or leaving engine is not chosen") {
  Fixture fixture(2);
  auto request = Request(Scope("t"), "doc");
  const auto first = fixture.Send(request);
  request.excluded = {first.upstream};
  CHECK(fixture.placement.Choose(request, fixture.now)->upstream !=
        first.upstream);
  request.excluded.clear();
  UpstreamInfo leaving = Engine(NumberOf(first.upstream));
  leaving.state = UpstreamState::kLeaving;
  fixture.placement.ApplyUpstream(leaving, fixture.now);
  CHECK(fixture.placement.Choose(request, fixture.now)->upstream !=
        first.upstream);
}

}  // namespace
}  // namespace yuccapick
