#include "gateway/cache_watch.h"

#include <catch2/catch.hpp>

#include "test/shell/scripted_server.h"

namespace yuccapick {
namespace {

/// A gateway's state with a KV store that refuses connections.
struct RefusingKvStoreFixture {
  RefusingKvStoreFixture()
      : state(loop, {}), calls(loop, {}), watch(state, calls) {
    GatewayService store;
    store.id = ServiceId("keep");
    store.kv_store_endpoint = "127.0.0.1:1";
    store.kv_store_watchers = 12;
    state.config = std::make_shared<const GatewayConfig>(
        ConfigVersion(1), std::vector<GatewayRoute>(),
        std::vector<GatewayService>{store}, std::vector<GatewayTeam>(),
        CallerLimits());
  }

  asio::io_context loop;
  GatewayState state;
  CallClient calls;
  CacheWatch watch;
};

TEST_CASE("A watched KV store that refuses connections becomes unusable") {
  RefusingKvStoreFixture fixture;
  fixture.watch.OnTick(fixture.state.Now());
  CHECK(RunUntil(fixture.loop, [&] { return !fixture.state.kv_store_usable; }));
}

TEST_CASE("A gateway that stops watching the KV store forgets its failure") {
  RefusingKvStoreFixture fixture;
  fixture.watch.OnTick(fixture.state.Now());
  REQUIRE(
      RunUntil(fixture.loop, [&] { return !fixture.state.kv_store_usable; }));
  fixture.state.SetGatewayCount(38);
  fixture.watch.OnTick(fixture.state.Now());
  CHECK(fixture.state.kv_store_usable);
}

TEST_CASE("A gateway that does not watch the KV store follows peers' reports") {
  RefusingKvStoreFixture fixture;
  fixture.state.SetGatewayCount(38);
  fixture.state.peers_lost_kv_store = true;
  fixture.watch.OnTick(fixture.state.Now());
  CHECK_FALSE(fixture.state.kv_store_usable);
  fixture.state.peers_lost_kv_store = false;
  fixture.watch.OnTick(fixture.state.Now());
  CHECK(fixture.state.kv_store_usable);
}

}  // namespace
}  // namespace yuccapick
