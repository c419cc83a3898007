#include "gateway/cache_watch.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "test/gateway/received_request.h"
#include "test/shell/scripted_server.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// How long a sound KV store may say nothing.
constexpr milliseconds kSilence{1'000};
constexpr milliseconds kTick{100};

GatewayConfigPtr ConfigWithKvStore(const std::string& endpoint) {
  GatewayService store;
  store.id = ServiceId("keep");
  store.kv_store_endpoint = endpoint;
  store.kv_store_watchers = 12;
  return std::make_shared<const GatewayConfig>(
      ConfigVersion(1), std::vector<GatewayRoute>(),
      std::vector<GatewayService>{store}, AccessControl::kNone,
      std::vector<GatewayTeam>(), CallerLimits());
}

/// A gateway's state with a KV store that refuses connections.
struct RefusingKvStoreFixture {
  RefusingKvStoreFixture()
      : state(loop, {}), calls(loop, {}), watch(state, calls) {
    state.config = ConfigWithKvStore("127.0.0.1:1");
  }

  KvStoreState& store_state() { return state.kv_stores["127.0.0.1:1"]; }

  asio::io_context loop;
  GatewayState state;
  CallClient calls;
  CacheWatch watch;
};

/// A gateway's state with a KV store that has no news and may fall silent.
struct SilentKvStoreFixture {
  SilentKvStoreFixture()
      : tick(loop),
        store(loop, [this](ScriptedServer::Connection& c) { OnInput(c); }),
        state(loop, {}),
        calls(loop, {}),
        watch(state, calls) {
    state.config = ConfigWithKvStore(LoopbackEndpoint(store.port()));
    Tick();
  }

  void OnInput(ScriptedServer::Connection& c) {
    const auto request = TakeRequest(c.input);
    if (!request || silent) return;
    const milliseconds wait(std::stoi(request->Field("Wait-Ms")));
    timers.push_back(std::make_unique<asio::steady_timer>(loop, wait));
    timers.back()->async_wait([this, c = c.shared_from_this()](auto ec) {
      if (ec || silent) return;
      const std::string body =
          R"({"bootEpoch":1,"next":0,"lost":false,"events":[]})";
      c->Write("HTTP/1.1 200 X\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n" + body);
      ++answers;
    });
  }

  KvStoreState& store_state() {
    return state.kv_stores[LoopbackEndpoint(store.port())];
  }

  void Tick() {
    watch.OnTick(state.Now());
    if (!store_state().usable) ++ticks_lost;
    tick.expires_after(kTick);
    tick.async_wait([this](asio::error_code ec) {
      if (!ec) Tick();
    });
  }

  void RunFor(milliseconds duration) {
    const auto end = state.Now() + duration;
    RunUntil(loop, [&] { return state.Now() >= end; });
  }

  asio::io_context loop;
  std::vector<std::unique_ptr<asio::steady_timer>> timers;
  asio::steady_timer tick;
  bool silent = false;
  int answers = 0;
  int ticks_lost = 0;  ///< On which the KV store counted as unusable.
  ScriptedServer store;
  GatewayState state;
  CallClient calls;
  CacheWatch watch;
};

TEST_CASE("A KV store that was silent for a second stays in use") {
  SilentKvStoreFixture fixture;
  REQUIRE(RunUntil(fixture.loop, [&] { return fixture.answers == 1; }));
  fixture.silent = true;
  fixture.RunFor(kSilence);
  fixture.silent = false;
  const int answers = fixture.answers;
  REQUIRE(
      RunUntil(fixture.loop, [&] { return fixture.answers > answers + 1; }));
  CHECK(fixture.ticks_lost == 0);
}

TEST_CASE("A KV store that stays silent becomes unusable until it answers") {
  SilentKvStoreFixture fixture;
  REQUIRE(RunUntil(fixture.loop, [&] { return fixture.answers == 1; }));
  fixture.silent = true;
  REQUIRE(
      RunUntil(fixture.loop, [&] { return !fixture.store_state().usable; }));
  fixture.silent = false;
  const TimePoint spoke_at = fixture.state.Now();
  REQUIRE(RunUntil(fixture.loop, [&] { return fixture.store_state().usable; }));
  // The next check is due, and the answer to it arrives, within this time.
  CHECK(fixture.state.Now() - spoke_at < milliseconds(1'200));
}

TEST_CASE("A watched KV store that refuses connections becomes unusable") {
  RefusingKvStoreFixture fixture;
  fixture.watch.OnTick(fixture.state.Now());
  CHECK(RunUntil(fixture.loop, [&] { return !fixture.store_state().usable; }));
}

TEST_CASE("A gateway that stops watching the KV store forgets its failure") {
  RefusingKvStoreFixture fixture;
  fixture.watch.OnTick(fixture.state.Now());
  REQUIRE(
      RunUntil(fixture.loop, [&] { return !fixture.store_state().usable; }));
  fixture.state.SetGatewayCount(38);
  fixture.watch.OnTick(fixture.state.Now());
  CHECK(fixture.store_state().usable);
}

TEST_CASE("A gateway that does not watch the KV store follows peers' reports") {
  RefusingKvStoreFixture fixture;
  fixture.state.SetGatewayCount(38);
  fixture.store_state().lost_by_peers = true;
  fixture.watch.OnTick(fixture.state.Now());
  CHECK_FALSE(fixture.store_state().usable);
  fixture.store_state().lost_by_peers = false;
  fixture.watch.OnTick(fixture.state.Now());
  CHECK(fixture.store_state().usable);
}

/// A KV store that keeps a part and drops it again. Then it writes its first
/// answer once more.
struct RepeatingKvStoreFixture {
  RepeatingKvStoreFixture()
      : tick(loop),
        store(loop, [this](ScriptedServer::Connection& c) { OnInput(c); }),
        state(loop, {}),
        calls(loop, {}),
        watch(state, calls) {
    state.config = ConfigWithKvStore(LoopbackEndpoint(store.port()));
    Tick();
  }

  static std::string Answer(int next, const std::string& event) {
    const std::string body = R"({"bootEpoch":1,"next":)" +
                             std::to_string(next) +
                             R"(,"lost":false,"events":[)" + event + "]}";
    return "HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  }

  void OnInput(ScriptedServer::Connection& c) {
    if (!TakeRequest(c.input)) return;
    const std::string kept = Answer(1, R"([1,"+","s","aa",800,"m"])");
    switch (++polls) {
      case 1:
        return c.Write(kept);
      case 2:
        return c.Write(Answer(2, R"([2,"-","s","aa",0,"m"])"));
      case 3:
        return c.Write(kept);
      default:
        return;
    }
  }

  void Tick() {
    watch.OnTick(state.Now());
    tick.expires_after(kTick);
    tick.async_wait([this](asio::error_code ec) {
      if (!ec) Tick();
    });
  }

  bool RunUntilPolls(int n) {
    return RunUntil(loop, [this, n] { return polls == n; });
  }

  std::uint32_t TokensInStore() {
    const PartChain chain{{PartHash("s", "aa"), 800}};
    return state.parts.TokensInStore(chain, LoopbackEndpoint(store.port()),
                                     state.Now());
  }

  asio::io_context loop;
  asio::steady_timer tick;
  int polls = 0;
  ScriptedServer store;
  GatewayState state;
  CallClient calls;
  CacheWatch watch;
};

/// Guards against a late copy of an earlier answer that is taken for news.
TEST_CASE("Cache events that were seen before are not applied again") {
  RepeatingKvStoreFixture fixture;
  REQUIRE(fixture.RunUntilPolls(2));
  CHECK(fixture.TokensInStore() == 800);
  REQUIRE(fixture.RunUntilPolls(4));
  CHECK(fixture.TokensInStore() == 0);
}

}  // namespace
}  // namespace yuccapick
