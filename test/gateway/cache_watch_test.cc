#include "gateway/cache_watch.h"

#include <catch2/catch.hpp>

#include "test/shell/scripted_server.h"

namespace yuccapick {
namespace {

/// A gateway's state before a KV store that refuses connections.
struct StoreThatRefuses {
  StoreThatRefuses() : state(loop, {}), calls(loop, {}), watch(state, calls) {
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

TEST_CASE("A KV store that refuses is not used while it is watched") {
  StoreThatRefuses world;
  world.watch.OnTick(world.state.Now());
  CHECK(RunUntil(world.loop, [&] { return !world.state.kv_store_usable; }));
}

TEST_CASE("A gateway that stops watching does not keep the last failure") {
  StoreThatRefuses world;
  world.watch.OnTick(world.state.Now());
  REQUIRE(RunUntil(world.loop, [&] { return !world.state.kv_store_usable; }));
  world.state.SetGatewayCount(38);
  world.watch.OnTick(world.state.Now());
  CHECK(world.state.kv_store_usable);
}

TEST_CASE("A gateway that does not watch believes its peers") {
  StoreThatRefuses world;
  world.state.SetGatewayCount(38);
  world.state.peers_lost_kv_store = true;
  world.watch.OnTick(world.state.Now());
  CHECK_FALSE(world.state.kv_store_usable);
  world.state.peers_lost_kv_store = false;
  world.watch.OnTick(world.state.Now());
  CHECK(world.state.kv_store_usable);
}

}  // namespace
}  // namespace yuccapick
