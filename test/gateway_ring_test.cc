#include "yuccapick/gateway_ring.h"

#include <catch2/catch.hpp>
#include <string>

namespace yuccapick {
namespace {

InstanceId Name(int n) { return InstanceId("gateway-" + std::to_string(n)); }

/// @return the ring of gateway `own` of `n`
GatewayRing RingOf(int own, int n) {
  GatewayRing ring(Name(own));
  std::vector<InstanceId> peers;
  for (int i = 0; i < n; ++i) {
    if (i != own) peers.push_back(Name(i));
  }
  ring.SetPeers(peers);
  return ring;
}

}  // namespace

TEST_CASE("All gateways pick the same ones") {
  for (std::uint64_t key = 1; key <= 100; ++key) {
    const std::vector<InstanceId> picked = RingOf(0, 9).Pick(key, 2);
    REQUIRE(picked.size() == 2);
    CHECK(picked[0] != picked[1]);
    for (int own = 1; own < 9; ++own) {
      const GatewayRing ring = RingOf(own, 9);
      CHECK(ring.Pick(key, 2) == picked);
      const bool is_picked = Name(own) == picked[0] || Name(own) == picked[1];
      CHECK(ring.IsOwnPicked(key, 2) == is_picked);
    }
  }
}

TEST_CASE("A gateway without peers picks itself") {
  GatewayRing ring = RingOf(0, 1);
  CHECK(ring.Pick(7, 2) == std::vector<InstanceId>{Name(0)});
  CHECK(ring.IsOwnPicked(7, 1));
  ring.SetPeers({Name(1)});
  CHECK(ring.size() == 2);
  ring.SetPeers({});
  CHECK(ring.size() == 1);
}

}  // namespace yuccapick
