#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using Connection = FakeUpstream::Connection;

constexpr char kRoutes[] = R"([
 {"name":"book","host":"crew.example","prefix":"/book/",
  "kind":"non_idempotent","timeoutMs":9000,"targetLatencyMs":300,
  "service":"app","maxAttempts":2}])";
constexpr std::size_t kMemoryBytes = 1'000'000;
constexpr std::size_t kBodyBytes = 200'000;
/// Bodies of all requests may take six tenths of the memory, large ones three
/// quarters of that.
constexpr std::size_t kLargeRequests = 2;

/// A gateway with little memory whose upstream holds its requests.
struct SmallGateway {
  SmallGateway()
      : upstream(fixture.loop, "up-1",
                 [this](Connection& c, const ReceivedRequest& r) {
                   held.emplace_back(c.shared_from_this(), r);
                 }) {
    fixture.settings.memory_bytes = kMemoryBytes;
    fixture.PutConfig(1, kRoutes);
    fixture.Register(upstream, "app");
    fixture.Start();
    REQUIRE(fixture.AwaitListed(1));
  }

  std::string Large() {
    return CallerRequest("POST", "/book/1", "", std::string(kBodyBytes, 'x'),
                         fmt::format("id-{}", ++requests));
  }

  void Send(const std::string& request) {
    callers.push_back(std::make_unique<FakeCaller>(
        fixture.loop, fixture.settings.caller_endpoint));
    callers.back()->Send(request);
  }

  GatewayFixture fixture;
  int requests = 0;
  std::vector<std::pair<std::shared_ptr<Connection>, ReceivedRequest>> held;
  std::vector<std::unique_ptr<FakeCaller>> callers;
  FakeUpstream upstream;
};

/// Guards against a burst of long requests that takes more than the memory.
TEST_CASE("Requests without room in the memory are refused, others served") {
  SmallGateway gateway;
  GatewayFixture& fixture = gateway.fixture;
  for (std::size_t i = 0; i < kLargeRequests; ++i) {
    gateway.Send(gateway.Large());
    REQUIRE(fixture.RunUntilTrue([&] { return gateway.held.size() == i + 1; }));
    CHECK(gateway.held.back().second.body.size() == kBodyBytes);
  }
  CHECK(IsRefusal(fixture.Ask(gateway.Large())));
  CHECK(gateway.held.size() == kLargeRequests);
  gateway.Send(CallerRequest("POST", "/book/1", "", "short", "id-short"));
  REQUIRE(fixture.RunUntilTrue(
      [&] { return gateway.held.size() == kLargeRequests + 1; }));
  const auto& [connection, request] = gateway.held.front();
  gateway.upstream.Answer(*connection, request, 200, "booked");
  REQUIRE(fixture.RunUntilTrue(
      [&] { return !gateway.callers.front()->input().empty(); }));
  gateway.Send(gateway.Large());
  CHECK(fixture.RunUntilTrue(
      [&] { return gateway.held.size() == kLargeRequests + 2; }));
}

TEST_CASE("A body in chunks is refused when the memory has no more room") {
  SmallGateway gateway;
  const std::string chunk(50'000, 'x');
  gateway.Send(
      "POST /book/1 HTTP/1.1\r\nHost: crew.example\r\nX-Attempt-Id: id-c\r\n"
      "X-Key: key-moor\r\nTransfer-Encoding: chunked\r\n\r\n");
  FakeCaller& caller = *gateway.callers.back();
  for (int i = 0; i < 20 && caller.input().empty(); ++i) {
    caller.Send(fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk));
    gateway.fixture.Run(std::chrono::milliseconds(5));
  }
  CHECK(gateway.fixture.RunUntilTrue(
      [&caller] { return !caller.input().empty(); }));
  CHECK(IsRefusal(caller.input()));
  CHECK(gateway.held.empty());
}

}  // namespace
}  // namespace yuccapick
