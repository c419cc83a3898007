#include <catch2/catch.hpp>
#include <string>

#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

constexpr char kRoutes[] = R"([
 {"name":"look","host":"crew.example","prefix":"/look/","kind":"idempotent",
  "timeoutMs":3000,"targetLatencyMs":300,"service":"app","maxAttempts":2}])";
constexpr std::size_t kDepth = 40'000;

std::string OddEntry(const std::string& address, const std::string& slots,
                     const std::string& models) {
  return R"({"service":"app","address":")" + address +
         R"(","zone":"here","version":"v1","slots":)" + slots +
         R"(,"state":"ready","models":)" + models + "}";
}

TEST_CASE("Odd entries leave a gateway and its other upstreams in service") {
  GatewayFixture fixture;
  FakeUpstream sound(
      fixture.loop, "up-1",
      [&sound](FakeUpstream::Connection& c, const ReceivedRequest& r) {
        sound.Answer(c, r, 200, "yes", "");
      });
  fixture.PutConfig(1, kRoutes);
  fixture.Register(sound, "app");
  fixture.Start();
  fixture.store.Put(
      "servers", "deep",
      OddEntry("127.0.0.1:1", "4",
               std::string(kDepth, '[') + std::string(kDepth, ']')));
  fixture.store.Put("servers", "large", OddEntry("127.0.0.1:1", "1e300", "[]"));
  fixture.store.Put("servers", "port", OddEntry("127.0.0.1:70000", "4", "[]"));
  FakeUpstream later(
      fixture.loop, "up-2",
      [&later](FakeUpstream::Connection& c, const ReceivedRequest& r) {
        later.Answer(c, r, 200, "yes", "");
      });
  fixture.Register(later, "app");
  REQUIRE(fixture.AwaitListed(2));
  for (int i = 0; i < 10; ++i) {
    CHECK(fixture.Ask(CallerRequest("GET", "/look/1"))
              .starts_with("HTTP/1.1 200"));
  }
  CHECK(sound.received().size() + later.received().size() == 10);
}

}  // namespace
}  // namespace yuccapick
