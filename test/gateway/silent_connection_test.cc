#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gateway/call_client.h"
#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using Connection = ScriptedServer::Connection;
using std::chrono::milliseconds;

constexpr std::size_t kConnections = 3;
constexpr milliseconds kCallTimeout{300};
/// A caller that leaves has waited longer than a gateway does before it takes
/// an upstream for silent.
constexpr milliseconds kCallerPatience{800};

constexpr char kRoutes[] = R"([
 {"name":"book","host":"crew.example","prefix":"/book/",
  "kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,
  "service":"app","maxAttempts":1},
 {"name":"brief","host":"crew.example","prefix":"/brief/",
  "kind":"non_idempotent","timeoutMs":700,"targetLatencyMs":300,
  "service":"app","maxAttempts":1}])";

/// Tells connections that fell silent for good from newer ones.
class SilencedConnections {
 public:
  void Silence(const ScriptedServer& server) {
    for (const auto& it : server.connections) silent_.insert(it.get());
  }
  bool Contains(const Connection& connection) const {
    return silent_.contains(&connection);
  }

 private:
  std::set<const Connection*> silent_;
};

/// Calls to a server that answers when `kConnections` calls have come.
struct CallFixture {
  CallFixture()
      : server(loop, [this](Connection& c) { OnInput(c); }), calls(loop, {}) {}

  void OnInput(Connection& c) {
    if (!TakeRequest(c.input) || silenced.Contains(c)) return;
    waiting.push_back(c.shared_from_this());
    if (!warm && waiting.size() < kConnections) return;
    warm = true;
    for (const auto& it : std::exchange(waiting, {})) {
      it->Write("HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
    }
  }

  void Start(std::optional<absl::Status>& result) {
    calls.Call(LoopbackEndpoint(server.port()),
               "GET / HTTP/1.1\r\nHost: x\r\n\r\n", kCallTimeout,
               [&result](const absl::StatusOr<CallAnswer>& answer,
                         const CallProgress& /*progress*/) {
                 result = answer.status();
               });
  }

  absl::Status Call() {
    std::optional<absl::Status> result;
    Start(result);
    REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
    return *result;
  }

  void OpenConnections() {
    std::vector<std::optional<absl::Status>> results(kConnections);
    for (auto& result : results) Start(result);
    REQUIRE(RunUntil(loop, [&] {
      return std::all_of(results.begin(), results.end(),
                         [](const auto& it) { return it.has_value(); });
    }));
    REQUIRE(server.connections.size() == kConnections);
  }

  std::size_t CountOpen() const {
    return static_cast<std::size_t>(
        std::count_if(server.connections.begin(), server.connections.end(),
                      [](const auto& it) { return !it->closed_by_peer; }));
  }

  asio::io_context loop;
  SilencedConnections silenced;
  std::vector<std::shared_ptr<Connection>> waiting;
  bool warm = false;
  ScriptedServer server;
  CallClient calls;
};

/// A gateway with one upstream and `kConnections` idle connections to it.
struct GatewayWithIdleConnections {
  GatewayWithIdleConnections()
      : upstream(fixture.loop, "up-1",
                 [this](Connection& c, const ReceivedRequest& r) {
                   OnRequest(c, r);
                 }) {
    fixture.PutConfig(1, kRoutes);
    fixture.Register(upstream, "app");
    fixture.Start();
    REQUIRE(fixture.AwaitListed(1));
    OpenConnections();
  }

  void OnRequest(Connection& c, const ReceivedRequest& r) {
    if (silenced.Contains(c)) return;
    waiting.emplace_back(c.shared_from_this(), r);
    if (!warm && waiting.size() < kConnections) return;
    warm = true;
    for (const auto& [connection, request] : std::exchange(waiting, {})) {
      upstream.Answer(*connection, request, 200, "good");
    }
  }

  void OpenConnections() {
    std::vector<std::unique_ptr<FakeCaller>> callers;
    for (std::size_t i = 0; i < kConnections; ++i) {
      callers.push_back(std::make_unique<FakeCaller>(
          fixture.loop, fixture.settings.caller_endpoint));
      callers.back()->Send(CallerRequest("POST", "/book/1", "", "x",
                                         "warm-" + std::to_string(i)));
    }
    REQUIRE(fixture.RunUntilTrue([&] {
      return std::all_of(callers.begin(), callers.end(), [](const auto& it) {
        return it->input().ends_with("good");
      });
    }));
  }

  GatewayFixture fixture;
  SilencedConnections silenced;
  std::vector<std::pair<std::shared_ptr<Connection>, ReceivedRequest>> waiting;
  bool warm = false;
  FakeUpstream upstream;
};

TEST_CASE("After one call on a silent connection the next gets a new one") {
  CallFixture fixture;
  fixture.OpenConnections();
  fixture.silenced.Silence(fixture.server);
  CHECK(absl::IsDeadlineExceeded(fixture.Call()));
  CHECK(fixture.Call().ok());
}

TEST_CASE("Connections on which calls timed out are closed") {
  CallFixture fixture;
  fixture.OpenConnections();
  fixture.silenced.Silence(fixture.server);
  for (int i = 0; i < 4; ++i) static_cast<void>(fixture.Call());
  CHECK(RunUntil(fixture.loop, [&] { return fixture.CountOpen() <= 1; }));
}

TEST_CASE("A call that times out leaves connections that answered since") {
  CallFixture fixture;
  fixture.OpenConnections();
  fixture.silenced.Silence(fixture.server);
  std::optional<absl::Status> lost;
  fixture.Start(lost);
  // The other idle connections are silent, too, and take one call each.
  std::vector<std::optional<absl::Status>> more(kConnections);
  for (auto& result : more) fixture.Start(result);
  REQUIRE(RunUntil(fixture.loop, [&] {
    return lost && std::all_of(more.begin(), more.end(),
                               [](const auto& it) { return it.has_value(); });
  }));
  const std::size_t before = fixture.server.connections.size();
  CHECK(fixture.Call().ok());
  CHECK(fixture.server.connections.size() == before);
}

TEST_CASE("After one request on a silent connection the next is answered") {
  GatewayWithIdleConnections gateway;
  gateway.silenced.Silence(gateway.upstream.server());
  const std::string lost =
      gateway.fixture.Ask(CallerRequest("POST", "/brief/1", "", "x", "id-1"));
  CHECK(lost.starts_with("HTTP/1.1 504"));
  const std::string next =
      gateway.fixture.Ask(CallerRequest("POST", "/brief/2", "", "x", "id-2"));
  CHECK(next.starts_with("HTTP/1.1 200"));
}

TEST_CASE("After a caller gave up on a silent connection the next is new") {
  GatewayWithIdleConnections gateway;
  gateway.silenced.Silence(gateway.upstream.server());
  {
    FakeCaller caller(gateway.fixture.loop,
                      gateway.fixture.settings.caller_endpoint);
    caller.Send(CallerRequest("POST", "/book/1", "", "x", "id-1"));
    gateway.fixture.loop.run_for(kCallerPatience);
  }
  const std::string next =
      gateway.fixture.Ask(CallerRequest("POST", "/brief/2", "", "x", "id-2"));
  CHECK(next.starts_with("HTTP/1.1 200"));
}

}  // namespace
}  // namespace yuccapick
