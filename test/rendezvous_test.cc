#include "yuccapick/rendezvous.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

namespace yuccapick {
namespace {

std::vector<std::uint64_t> Nodes(std::size_t count) {
  std::vector<std::uint64_t> nodes;
  for (std::size_t n = 0; n < count; ++n) {
    nodes.push_back(RendezvousNodeHash("engine-" + std::to_string(n)));
  }
  return nodes;
}

TEST_CASE("Homes do not depend on the order in which nodes are known") {
  rc::prop("a shuffled list gives the same homes", [](std::uint64_t key) {
    const auto nodes = Nodes(*rc::gen::inRange<std::size_t>(1, 40));
    auto reversed = nodes;
    std::reverse(reversed.begin(), reversed.end());
    const auto a = RendezvousHomes(key, nodes, 3);
    const auto b = RendezvousHomes(key, reversed, 3);
    RC_ASSERT(a.size() == std::min<std::size_t>(3, nodes.size()));
    for (std::size_t n = 0; n < a.size(); ++n) {
      RC_ASSERT(nodes[a[n]] == reversed[b[n]]);
    }
  });
}

TEST_CASE("Only the keys of a removed node move") {
  rc::prop("other homes stay", [](std::uint64_t key) {
    auto nodes = Nodes(18);
    const auto before = RendezvousHomes(key, nodes, 2);
    const std::uint64_t home = nodes[before[0]];
    const std::uint64_t next = nodes[before[1]];
    const auto removed = *rc::gen::inRange<std::size_t>(0, nodes.size());
    const std::uint64_t gone = nodes[removed];
    nodes.erase(nodes.begin() + static_cast<std::ptrdiff_t>(removed));
    const auto after = RendezvousHomes(key, nodes, 1);
    RC_ASSERT(nodes[after[0]] == (gone == home ? next : home));
  });
}

TEST_CASE("Homes spread over the nodes") {
  const auto nodes = Nodes(18);
  std::vector<int> keys(nodes.size(), 0);
  for (std::uint64_t key = 0; key < 18'000; ++key) {
    ++keys[RendezvousHomes(key, nodes, 1)[0]];
  }
  const auto [least, most] = std::minmax_element(keys.begin(), keys.end());
  CHECK(*least > 800);
  CHECK(*most < 1200);
}

}  // namespace
}  // namespace yuccapick
