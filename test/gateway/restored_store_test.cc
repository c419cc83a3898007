#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "platform/names.h"
#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using Connection = FakeUpstream::Connection;

constexpr char kGatewayTable[] = "yuccapick-gateways";
constexpr char kSetTimesTable[] = "yuccapick-weights";

/// Routes with the given prefixes, all of the service "app".
std::string Routes(const std::vector<std::string>& prefixes) {
  std::string routes;
  for (const std::string& prefix : prefixes) {
    if (!routes.empty()) routes += ",";
    routes += R"({"name":"r)" + std::to_string(routes.size()) +
              R"(","host":"crew.example","prefix":")" + prefix +
              R"(","kind":"idempotent","timeoutMs":3000,"service":"app"})";
  }
  return "[" + routes + "]";
}

/// A gateway with one upstream, and a store that names its generation.
struct RestoredStore {
  RestoredStore()
      : upstream(fixture.loop, "up-1",
                 [this](Connection& c, const ReceivedRequest& r) {
                   upstream.Answer(c, r, 200, "ok");
                 }) {
    fixture.store.set_generation(1);
    fixture.PutConfig(1, Routes({"/a/"}));
    fixture.Register(upstream, "app");
    fixture.Start();
  }

  bool Served(const std::string& path) {
    return fixture.Ask(CallerRequest("GET", path)).starts_with("HTTP/1.1 200");
  }
  bool AwaitServed(const std::string& path) {
    return fixture.RunUntilTrue([&] { return Served(path); });
  }
  bool AwaitMetric(const std::string& line) {
    return fixture.RunUntilTrue(
        [&] { return fixture.HasMetric(fixture.settings, line); });
  }

  GatewayFixture fixture;
  FakeUpstream upstream;
};

TEST_CASE(
    "Configurations after two restorations of the store come into force") {
  RestoredStore test;
  FakeStore& store = test.fixture.store;
  REQUIRE(test.Served("/a/"));
  for (std::uint64_t round = 1; round <= 2; ++round) {
    const std::string lost = "/lost" + std::to_string(round) + "/";
    const std::string next = "/next" + std::to_string(round) + "/";
    const FakeStore::Copy copy = store.MakeCopy();
    for (int i = 0; i < 20; ++i) store.Put("status", "x", "written since");
    test.fixture.PutConfig(round * 10, Routes({"/a/", lost}));
    REQUIRE(test.AwaitServed(lost));
    store.Restore(copy);
    // The lost version stays in force until the operator has written.
    REQUIRE(test.AwaitMetric("yuccapick_store_generation " +
                             std::to_string(round + 1)));
    CHECK(test.Served(lost));
    test.fixture.PutConfig(round * 10 + 5, Routes({"/a/", next}));
    CHECK(test.AwaitServed(next));
    CHECK_FALSE(test.Served(lost));
  }
}

TEST_CASE("Upstreams whose rows are missing from the copy stay in use") {
  RestoredStore test;
  FakeStore& store = test.fixture.store;
  const FakeStore::Copy copy = store.MakeCopy();
  FakeUpstream second(test.fixture.loop, "up-2",
                      [](Connection&, const ReceivedRequest&) {});
  test.fixture.Register(second, "app");
  REQUIRE(test.fixture.AwaitListed(2));
  store.Restore(copy);
  REQUIRE(test.AwaitMetric("yuccapick_store_tables_restored 2"));
  CHECK(test.fixture.HasMetric(test.fixture.settings,
                               "yuccapick_upstreams_listed 2"));
  test.fixture.Register(second, "app");
  CHECK(test.fixture.AwaitListed(2));
}

TEST_CASE("An upstream that left does not come back with the copy") {
  RestoredStore test;
  FakeStore& store = test.fixture.store;
  FakeUpstream second(test.fixture.loop, "up-2",
                      [&second](Connection& c, const ReceivedRequest& r) {
                        second.Answer(c, r, 200, "second");
                      });
  test.fixture.Register(second, "app");
  REQUIRE(test.fixture.AwaitListed(2));
  const FakeStore::Copy copy = store.MakeCopy();
  test.fixture.Register(second, "app", "draining");
  store.Remove("servers", "up-2");
  REQUIRE(test.fixture.AwaitListed(1));
  store.Restore(copy);
  REQUIRE(test.AwaitMetric("yuccapick_store_tables_restored 2"));
  const std::size_t before = second.received().size();
  for (int i = 0; i < 20; ++i) REQUIRE(test.Served("/a/"));
  CHECK(second.received().size() == before);
}

TEST_CASE("Rows of a gateway that the copy lacks are written again") {
  RestoredStore test;
  FakeStore& store = test.fixture.store;
  const FakeStore::Copy copy = store.MakeCopy();
  test.fixture.PutTargetWeights(2);
  REQUIRE(test.fixture.RunUntilTrue([&] {
    return store.Has(kGatewayTable, "gateway-1") &&
           store.Has(kSetTimesTable, "m/2");
  }));
  FakeStore::Copy older = copy;
  older.tables.erase(kGatewayTable);
  store.Restore(older);
  CHECK_FALSE(store.Has(kGatewayTable, "gateway-1"));
  CHECK(test.fixture.RunUntilTrue([&] {
    return store.Has(kGatewayTable, "gateway-1") &&
           store.Has(kSetTimesTable, "m/2");
  }));
}

TEST_CASE("Answers without a sound generation change nothing") {
  RestoredStore test;
  FakeStore& store = test.fixture.store;
  std::string text;
  SECTION("Missing") {}
  SECTION("Not a number") { text = "seven"; }
  SECTION("Negative") { text = "-1"; }
  SECTION("Fallen") { text = "0"; }
  store.set_generation_text(text);
  test.fixture.PutConfig(2, Routes({"/b/"}));
  REQUIRE(test.fixture.RunUntilTrue([&] {
    return !test.fixture.HasMetric(test.fixture.settings,
                                   "yuccapick_store_answers_unsound 0");
  }));
  CHECK(test.Served("/a/"));
  CHECK(test.fixture.HasMetric(test.fixture.settings,
                               "yuccapick_store_generation 1"));
  store.set_generation_text(std::nullopt);
  CHECK(test.AwaitServed("/b/"));
}

TEST_CASE("A gateway that starts takes the configuration that the copy lacks") {
  RestoredStore test;
  FakeStore& store = test.fixture.store;
  test.fixture.StartPeer();
  const FakeStore::Copy copy = store.MakeCopy();
  test.fixture.PutConfig(7, Routes({"/new/"}));
  REQUIRE(test.AwaitServed("/new/"));
  store.Restore(copy);
  REQUIRE(test.AwaitMetric("yuccapick_store_generation 2"));
  test.fixture.StartLate();
  CHECK(test.fixture.RunUntilTrue([&] {
    return test.fixture.AskLate(CallerRequest("GET", "/new/"))
        .starts_with("HTTP/1.1 200");
  }));
  CHECK(test.fixture.AskLate(CallerRequest("GET", "/a/"))
            .starts_with("HTTP/1.1 404"));
}

}  // namespace
}  // namespace yuccapick
