#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>

#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;

/// Takes two seconds over a slow link.
constexpr std::size_t kConfigBytes = 600'000;
/// How soon a configuration must be in force.
constexpr milliseconds kChangeLimit{4'000};
constexpr int kManyPeers = 20;
constexpr int kRequestsAtOnce = 12;
/// Row versions and a configuration that are higher than all in the tests.
constexpr char kKnowsAll[] = "Known-Tables: 0,9999,0,9999,9999\r\n";

/// @return routes of `kConfigBytes` or more, one of them for `path`
std::string ManyRoutes(const std::string& path) {
  Json routes = Json::array();
  std::size_t bytes = 0;
  while (bytes < kConfigBytes) {
    const Json route{{"name", fmt::format("route-{}", routes.size())},
                     {"host", "crew.example"},
                     {"prefix", fmt::format("/other-{}/", routes.size())},
                     {"kind", "idempotent"},
                     {"timeoutMs", 3'000},
                     {"targetLatencyMs", 300},
                     {"service", "app"},
                     {"maxAttempts", 2}};
    bytes += route.dump().size();
    routes.push_back(route);
  }
  routes.back()["prefix"] = path;
  return routes.dump();
}

/// An upstream that serves everything, in a store.
struct LargeConfig {
  LargeConfig()
      : upstream(fixture.loop, "up",
                 [this](FakeUpstream::Connection& c, const ReceivedRequest& r) {
                   upstream.Answer(c, r, 200, "yes", "");
                 }) {
    fixture.store.RunClock();
    fixture.Register(upstream, "app");
  }

  bool Serves(const std::string& path) {
    return fixture.Ask(CallerRequest("GET", path)).starts_with("HTTP/1.1 200");
  }
  /// @return false if `path` isn't served within `limit`
  bool ServesWithin(const std::string& path, milliseconds limit) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
      if (Serves(path)) return true;
      fixture.Run(milliseconds(20));
    }
    return false;
  }

  std::unique_ptr<FakeCaller> AskForTables(const std::string& fields,
                                           int requests = 1) {
    const GatewaySettings& settings = fixture.settings;
    auto peer = std::make_unique<FakeCaller>(
        fixture.loop, fmt::format("{}:{}", settings.ip, settings.peer_port));
    for (int i = 0; i < requests; ++i) {
      peer->Send("GET /tables HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n");
    }
    return peer;
  }

  GatewayFixture fixture;
  FakeUpstream upstream;
};

std::size_t ContentLength(const std::string& answer) {
  const std::string name = "Content-Length: ";
  const std::size_t at = answer.find(name);
  if (at == std::string::npos) return 0;
  return std::stoul(answer.substr(at + name.size()));
}

TEST_CASE("A gateway behind a slow link starts with a large configuration") {
  LargeConfig large;
  large.fixture.PutConfig(1, ManyRoutes("/look/"));
  large.fixture.settings.table_endpoint = large.fixture.store.slow_endpoint();
  large.fixture.Start();
  CHECK(large.Serves("/look/1"));
}

TEST_CASE("A large configuration is in force in time behind a slow link") {
  LargeConfig large;
  large.fixture.PutConfig(1, "[]");
  large.fixture.settings.table_endpoint = large.fixture.store.slow_endpoint();
  large.fixture.Start();
  large.fixture.settings.table_endpoint = large.fixture.store.endpoint();
  large.fixture.StartPeer();
  large.fixture.PutConfig(2, ManyRoutes("/look/"));
  CHECK(large.ServesWithin("/look/1", kChangeLimit));
}

TEST_CASE("A gateway keeps nothing of tables that its peers didn't take") {
  LargeConfig large;
  large.fixture.PutConfig(1, ManyRoutes("/look/"));
  large.fixture.Start();
  const GatewaySettings& settings = large.fixture.settings;
  for (int i = 0; i < kManyPeers; ++i) {
    const auto peer = large.AskForTables("");
    REQUIRE(
        large.fixture.RunUntilTrue([&peer] { return !peer->input().empty(); }));
  }
  CHECK(large.fixture.RunUntilTrue([&] {
    return large.fixture.HasMetric(settings,
                                   "yuccapick_peer_table_sessions 0") &&
           large.fixture.HasMetric(settings,
                                   "yuccapick_peer_table_bytes_unsent 0");
  }));
}

TEST_CASE("A peer gets only those rows of the tables that it lacks") {
  LargeConfig large;
  large.fixture.PutConfig(1, ManyRoutes("/look/"));
  large.fixture.Start();
  const auto knows_nothing = large.AskForTables("");
  const auto knows_all = large.AskForTables(kKnowsAll);
  REQUIRE(large.fixture.RunUntilTrue([&] {
    return ContentLength(knows_nothing->input()) > 0 &&
           ContentLength(knows_all->input()) > 0;
  }));
  CHECK(ContentLength(knows_nothing->input()) > kConfigBytes);
  CHECK(ContentLength(knows_nothing->input()) < 2 * kConfigBytes);
  CHECK(ContentLength(knows_all->input()) < kConfigBytes / 100);
}

TEST_CASE("Peers that take no tables don't make a gateway keep many") {
  LargeConfig large;
  large.fixture.PutConfig(1, ManyRoutes("/look/"));
  large.fixture.Start();
  std::vector<std::unique_ptr<FakeCaller>> peers;
  for (int i = 0; i < kManyPeers; ++i) {
    peers.push_back(large.AskForTables("", kRequestsAtOnce));
  }
  CHECK(large.fixture.RunUntilTrue([&] {
    return !large.fixture.HasMetric(large.fixture.settings,
                                    "yuccapick_peer_table_requests_refused 0");
  }));
}

}  // namespace
}  // namespace yuccapick
