#include "gateway/target_set_times.h"

#include <catch2/catch.hpp>
#include <cmath>

#include "gateway/store_writers.h"
#include "platform/names.h"
#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

constexpr char kTable[] = "yuccapick-weights";
constexpr char kRoutes[] = R"([{"name":"look","host":"h","prefix":"/",
 "kind":"idempotent","timeoutMs":1000,"service":"app"}])";

TEST_CASE("With any number of gateways, at least one writes a target's time") {
  for (const std::size_t n : {1U, 2U, 7U, 8U, 13U, 38U, 100U, 660U}) {
    const double nobody =
        std::pow(1.0 - StoreWriterShare(n), static_cast<double>(n));
    CHECK(nobody < 1e-5);
  }
  // With many gateways, only a few write.
  CHECK(StoreWriterShare(660) * 660 < 20);
}

TEST_CASE("A target's time that the store refuses is written again") {
  GatewayFixture fixture;
  FakeUpstream upstream(
      fixture.loop, "up-1",
      [](FakeUpstream::Connection&, const ReceivedRequest&) {});
  fixture.PutConfig(1, kRoutes);
  fixture.Register(upstream, "app");
  fixture.Start();
  fixture.store.RefuseWrites(kTable, 2);
  const std::string key = std::string(platform::kVersionKeyPrefix) + "m";
  fixture.store.Put("op", key, R"({"model":"m","version":2})");
  CHECK(fixture.RunUntilTrue([&] { return fixture.store.Has(kTable, "m/2"); }));
}

}  // namespace
}  // namespace yuccapick
