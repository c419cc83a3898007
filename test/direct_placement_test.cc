#include "yuccapick/direct_placement.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <deque>
#include <map>

#include "yuccapick/rendezvous.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
const FailureDomain kHere("here");
const FailureDomain kThere("there");
constexpr std::uint64_t kCapacity = 106'560;

/// Identical engines and all the state that placement reads.
class Fleet {
 public:
  explicit Fleet(int engines) {
    for (int i = 0; i < engines; ++i) {
      UpstreamEntry entry;
      entry.id = UpstreamId("engine-" + std::to_string(i));
      entry.endpoint = "10.0.0." + std::to_string(i) + ":80";
      entry.domain = kHere;
      entry.slots = 64;
      entries.push_back(entry);
    }
    for (const UpstreamEntry& entry : entries) {
      fleet.candidates.push_back({&entry, "v1", false, false});
    }
    fleet.kv_capacity_tokens = kCapacity;
    fleet.kv_store_endpoint = "10.0.1.1:80";
  }

  std::optional<DirectPlacementDecision> Choose(
      const PlacementQuery& query) const {
    return DirectPlacement(kHere, {}).Choose(query, fleet, directory, load,
                                             health, now);
  }

  std::deque<UpstreamEntry> entries;
  PlacementFleet fleet;
  PartDirectory directory;
  UpstreamLoad load{milliseconds(1'000)};
  UpstreamHealth health;
  TimePoint now = kStart;
};

PlacementQuery Query(const std::string& document) {
  PlacementQuery query;
  query.parts = {{"guide", 2'500}, {document, 3'800}, {"own", 2'900}};
  query.prompt_tokens = 9'200;
  query.output_tokens = 10;
  query.body_bytes = 18'000;
  return query;
}

TEST_CASE("Processes without cache information agree on a prefix's home") {
  Fleet one(6);
  Fleet two(6);
  for (const char* document : {"x", "y", "z"}) {
    CHECK(one.Choose(Query(document))->upstream ==
          two.Choose(Query(document))->upstream);
  }
}

TEST_CASE("A request goes to the engine that caches its shared parts") {
  Fleet fleet(6);
  const UpstreamId& holder = fleet.entries[4].id;
  fleet.directory.OnUsed(SharedChain("v1", Query("x").parts), holder, kStart);
  const auto choice = fleet.Choose(Query("x"));
  CHECK(choice->upstream == holder);
  CHECK(choice->expected_cached_tokens == 6'300);
  CHECK(choice->import_from.empty());
}

TEST_CASE("Parts are imported to another engine when their holder is busy") {
  Fleet fleet(2);
  const UpstreamEntry& holder = fleet.entries[0];
  fleet.directory.OnUsed(SharedChain("v1", Query("x").parts), holder.id,
                         kStart);
  fleet.load.Begin(holder.id, {12, 60'000, 40'000});
  const auto choice = fleet.Choose(Query("x"));
  CHECK(choice->upstream == fleet.entries[1].id);
  CHECK(choice->import_from == holder.endpoint);
  CHECK(choice->missing_tokens == 2'900);
}

TEST_CASE("The KV store serves parts that no engine holds") {
  Fleet fleet(3);
  const PartChain chain = SharedChain("v1", Query("x").parts);
  CHECK(fleet.Choose(Query("x"))->export_to == fleet.fleet.kv_store_endpoint);
  fleet.directory.OnExported(chain, fleet.fleet.kv_store_endpoint, kStart);
  const auto choice = fleet.Choose(Query("x"));
  CHECK(choice->import_from == fleet.fleet.kv_store_endpoint);
  CHECK(choice->export_to.empty());
}

TEST_CASE("A request with a new document imports the cached guide") {
  Fleet fleet(6);
  const UpstreamEntry& holder = fleet.entries[2];
  const PartChain cached = SharedChain("v1", Query("x").parts);
  SECTION("from an engine") {
    fleet.directory.OnUsed(cached, holder.id, kStart);
    // With this queue at the holder another engine is cheaper.
    fleet.load.Begin(holder.id, {12, 60'000, 40'000});
    CHECK(fleet.Choose(Query("y"))->import_from == holder.endpoint);
  }
  SECTION("from the KV store") {
    fleet.directory.OnExported(cached, fleet.fleet.kv_store_endpoint, kStart);
    const auto choice = fleet.Choose(Query("y"));
    CHECK(choice->import_from == fleet.fleet.kv_store_endpoint);
    CHECK(choice->export_to == fleet.fleet.kv_store_endpoint);
  }
  const auto choice = fleet.Choose(Query("y"));
  CHECK(choice->expected_cached_tokens == 2'500);
  CHECK(choice->missing_tokens == 6'700);
}

TEST_CASE(
    "Requests with new documents go where their guide is being computed") {
  Fleet fleet(6);
  const UpstreamId& computing = fleet.entries[2].id;
  fleet.directory.OnSent(SharedChain("v1", Query("x").parts), computing,
                         kStart);
  for (const char* document : {"y", "z", "w"}) {
    CHECK(fleet.Choose(Query(document))->upstream == computing);
  }
}

TEST_CASE("Parts computed with other weights are not imported") {
  Fleet fleet(2);
  fleet.directory.OnUsed(SharedChain("v1", Query("x").parts),
                         fleet.entries[0].id, kStart);
  for (PlacementCandidate& it : fleet.fleet.candidates) it.cache_scope = "v2";
  const auto choice = fleet.Choose(Query("x"));
  CHECK(choice->import_from.empty());
  CHECK(choice->cache_scope == "v2");
}

TEST_CASE("Engines that load weights, failed or were tried are avoided") {
  Fleet fleet(3);
  fleet.fleet.candidates[0].loading = true;
  fleet.health.OnUnreachable(fleet.entries[1].id, kStart);
  CHECK(fleet.Choose(Query("x"))->upstream == fleet.entries[2].id);
  PlacementQuery tried = Query("x");
  for (const UpstreamEntry& entry : fleet.entries) {
    tried.tried.push_back(entry.id);
  }
  CHECK_FALSE(fleet.Choose(tried).has_value());
}

TEST_CASE(
    "An engine that is held back gets no request but serves as a source") {
  Fleet fleet(2);
  PartDirectory& directory = fleet.directory;
  directory.OnUsed(SharedChain("v1", Query("x").parts), fleet.entries[0].id,
                   kStart);
  REQUIRE(fleet.Choose(Query("x"))->upstream == fleet.entries[0].id);
  fleet.fleet.candidates[0].limited = true;
  fleet.fleet.candidates[0].held_back = true;
  const auto choice = fleet.Choose(Query("x"));
  REQUIRE(choice.has_value());
  CHECK(choice->upstream == fleet.entries[1].id);
  CHECK(choice->import_from == fleet.entries[0].endpoint);
}

TEST_CASE("An engine with a limit is no home, and used if others are busy") {
  Fleet fleet(4);
  for (PlacementCandidate& it : fleet.fleet.candidates) {
    it.limited = it.upstream == &fleet.entries[2];
  }
  for (int i = 0; i < 50; ++i) {
    const auto choice = fleet.Choose(Query("doc-" + std::to_string(i)));
    CHECK(choice->upstream != fleet.entries[2].id);
  }
  for (const int busy : {0, 1, 3}) {
    fleet.load.Begin(fleet.entries[static_cast<std::size_t>(busy)].id,
                     {60, kCapacity, 90'000});
  }
  CHECK(fleet.Choose(Query("x"))->upstream == fleet.entries[2].id);
}

TEST_CASE(
    "Plain requests stay in their failure domain while it has free slots") {
  Fleet fleet(2);
  fleet.fleet.kv_capacity_tokens = 0;
  fleet.fleet.kv_store_endpoint.clear();
  fleet.entries[0].domain = kThere;
  for (UpstreamEntry& entry : fleet.entries) entry.slots = 6;
  PlacementQuery query;
  query.body_bytes = 600;
  CHECK(fleet.Choose(query)->upstream == fleet.entries[1].id);
  fleet.load.Begin(fleet.entries[1].id, {6, 0, 0});
  CHECK(fleet.Choose(query)->upstream == fleet.entries[0].id);
}

TEST_CASE("A burst on one hot prefix spreads over all engines") {
  Fleet fleet(6);
  std::map<UpstreamId, int> placed;
  for (int i = 0; i < 120; ++i) {
    PlacementQuery query = Query("hot");
    query.random = RendezvousNodeHash(std::to_string(i));
    const auto choice = fleet.Choose(query);
    const PartChain chain = SharedChain("v1", query.parts);
    fleet.directory.OnUsed(chain, choice->upstream, fleet.now);
    fleet.load.Begin(choice->upstream, {1, 6'000, choice->missing_tokens});
    ++placed[choice->upstream];
  }
  CHECK(placed.size() == 6);
  for (const auto& [upstream, n] : placed) CHECK(n <= 30);
}

TEST_CASE("Choosing twice in one state gives the same untried candidate") {
  rc::prop("valid and repeatable", [] {
    Fleet fleet(*rc::gen::inRange(1, 8));
    PlacementQuery query = Query(*rc::gen::element<std::string>("a", "b"));
    for (const UpstreamEntry& entry : fleet.entries) {
      if (*rc::gen::arbitrary<bool>()) query.tried.push_back(entry.id);
      if (*rc::gen::arbitrary<bool>()) {
        fleet.load.Begin(entry.id, {3, *rc::gen::inRange(0U, 90'000U), 900});
      }
    }
    const auto choice = fleet.Choose(query);
    RC_ASSERT(choice.has_value() ==
              (query.tried.size() < fleet.entries.size()));
    if (!choice) return;
    RC_ASSERT(std::find(query.tried.begin(), query.tried.end(),
                        choice->upstream) == query.tried.end());
    RC_ASSERT(fleet.Choose(query)->upstream == choice->upstream);
  });
}

/// A fleet as many gateways see it at the same moment: one engine has just
/// become idle, the others run some requests.
struct FleetWithIdleEngine {
  static constexpr int kEngines = 60;
  static constexpr int kGateways = 33;

  FleetWithIdleEngine() : fleet(kEngines), idle(fleet.entries[17].id) {
    for (const UpstreamEntry& entry : fleet.entries) {
      if (entry.id != idle) fleet.load.Begin(entry.id, {6, 30'000, 4'000});
    }
  }

  /// Lets each gateway place `n` requests before it learns of the others'.
  /// @return requests placed, by engine
  std::map<UpstreamId, int> Place(PlacementQuery query, int n) const {
    std::map<UpstreamId, int> placed;
    for (int i = 0; i < kGateways * n; ++i) {
      query.random = RendezvousNodeHash(std::to_string(i));
      ++placed[fleet.Choose(query)->upstream];
    }
    return placed;
  }

  Fleet fleet;
  UpstreamId idle;
};

TEST_CASE("Gateways with equally old knowledge don't all choose one engine") {
  const FleetWithIdleEngine many;
  PlacementQuery query;
  query.prompt_tokens = 800;
  query.output_tokens = 50;
  const auto placed = many.Place(query, 4);
  CHECK(placed.size() > FleetWithIdleEngine::kEngines / 2);
  for (const auto& [upstream, n] : placed) {
    CHECK(n <= FleetWithIdleEngine::kGateways);
  }
  // An idle engine still gets more than the others.
  CHECK(placed.at(many.idle) >= 4);
}

TEST_CASE("A document's holder is compared though it isn't drawn") {
  FleetWithIdleEngine many;
  const UpstreamId& holder = many.fleet.entries[40].id;
  many.fleet.directory.OnUsed(SharedChain("v1", Query("x").parts), holder,
                              kStart);
  const auto placed = many.Place(Query("x"), 4);
  CHECK(placed.at(holder) > 3 * FleetWithIdleEngine::kGateways);
}

TEST_CASE("Parts move from a busy holder sooner if engines are slow") {
  const auto upstream_at = [](double tokens_per_ms) {
    Fleet fleet(2);
    fleet.fleet.prefill_tokens_per_ms = tokens_per_ms;
    const UpstreamEntry& holder = fleet.entries[0];
    fleet.directory.OnUsed(SharedChain("v1", Query("x").parts), holder.id,
                           kStart);
    fleet.load.Begin(holder.id, {2, 0, 2'000});
    return fleet.Choose(Query("x"))->upstream;
  };
  CHECK(upstream_at(30.0) == UpstreamId("engine-1"));
  CHECK(upstream_at(400.0) == UpstreamId("engine-0"));
}

TEST_CASE("Engines that load, are paused or were tried are not drawn") {
  Fleet fleet(12);
  PlacementQuery query;
  query.prompt_tokens = 800;
  for (int i = 0; i < 9; ++i) {
    fleet.fleet.candidates[static_cast<std::size_t>(i)].loading = true;
  }
  fleet.health.OnUnreachable(fleet.entries[9].id, kStart);
  query.tried = {fleet.entries[10].id};
  for (std::uint64_t i = 0; i < 50; ++i) {
    query.random = i;
    CHECK(fleet.Choose(query)->upstream == fleet.entries[11].id);
  }
}

TEST_CASE("If no engine can take a request now all are compared") {
  Fleet fleet(6);
  PlacementQuery query;
  query.prompt_tokens = 800;
  for (PlacementCandidate& it : fleet.fleet.candidates) it.loading = true;
  CHECK(fleet.Choose(query).has_value());
}

}  // namespace
}  // namespace yuccapick
