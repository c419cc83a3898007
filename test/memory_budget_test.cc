#include "yuccapick/memory_budget.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <vector>

namespace yuccapick {
namespace {

constexpr std::size_t kLimit = 1'000'000;
constexpr std::size_t kSmall = 10'000;
constexpr std::size_t kLarge = 200'000;

TEST_CASE("Large requests leave room for small ones") {
  const auto budget = std::make_shared<MemoryBudget>(kLimit);
  std::vector<MemoryShare> shares;
  for (int i = 0; i < 10; ++i) {
    shares.emplace_back(budget);
    CHECK(shares.back().Resize(kLarge) == (i < 3));
  }
  CHECK(budget->used() == 3 * kLarge);
  CHECK(budget->refused() == 7);
  MemoryShare small(budget);
  CHECK(small.Resize(kSmall));
}

TEST_CASE("A request that ends returns its share") {
  const auto budget = std::make_shared<MemoryBudget>(kLimit);
  {
    MemoryShare share(budget);
    CHECK(share.Resize(kLarge));
    MemoryShare moved = std::move(share);
    CHECK(budget->used() == kLarge);
    CHECK(moved.bytes() == kLarge);
  }
  CHECK(budget->used() == 0);
}

TEST_CASE("A request that finds no room to grow keeps what it has") {
  const auto budget = std::make_shared<MemoryBudget>(kLimit);
  MemoryShare share(budget);
  CHECK(share.Resize(kSmall));
  CHECK_FALSE(share.Resize(2 * kLimit));
  CHECK(share.bytes() == kSmall);
  CHECK(budget->used() == kSmall);
}

TEST_CASE("Without a limit every request finds room") {
  const auto budget = std::make_shared<MemoryBudget>(0);
  MemoryShare share(budget);
  CHECK(share.Resize(100 * kLimit));
  MemoryShare unbound;
  CHECK(unbound.Resize(100 * kLimit));
}

TEST_CASE("The budget never exceeds its limit, and is empty at the end") {
  rc::prop("for any order of requests", [] {
    const auto budget = std::make_shared<MemoryBudget>(kLimit);
    {
      std::vector<MemoryShare> shares;
      for (int i = 0; i < 8; ++i) shares.emplace_back(budget);
      const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 600'000)));
      std::size_t held = 0;
      for (const auto& [i, bytes] : steps) {
        shares[static_cast<std::size_t>(i)].Resize(
            static_cast<std::size_t>(bytes));
        held = 0;
        for (const MemoryShare& it : shares) held += it.bytes();
        RC_ASSERT(budget->used() == held);
        RC_ASSERT(held <= kLimit);
      }
    }
    RC_ASSERT(budget->used() == 0U);
  });
}

}  // namespace
}  // namespace yuccapick
