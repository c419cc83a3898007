#include <catch2/catch.hpp>
#include <string>

#include "standin/prefix_cache.h"

namespace yuccapick::standin {
namespace {

using std::chrono::milliseconds;

PrefixCache MakeCache(std::uint64_t capacity, milliseconds idle) {
  return PrefixCache(
      {.capacity_blocks = capacity, .block_tokens = 1, .idle_limit = idle});
}

TEST_CASE("An engine caches whole blocks of one salt from the start") {
  PrefixCache cache = MakeCache(8, milliseconds(0));
  cache.Store(cache.Blocks(1, "aaaabbbbcc"), "r1", {});
  CHECK(cache.CachedTokens(cache.Blocks(1, "aaaabbbbzzzz")) == 2);
  CHECK(cache.CachedTokens(cache.Blocks(1, "zzzzbbbb")) == 0);
  CHECK(cache.CachedTokens(cache.Blocks(2, "aaaabbbb")) == 0);
  const auto events = cache.TakeEvents();
  REQUIRE(events.size() == 2);
  CHECK(events[1].request == "r1");
  CHECK(events[1].end_token == 2);
}

TEST_CASE("A full cache evicts the least recently used block") {
  PrefixCache cache = MakeCache(2, milliseconds(0));
  cache.Store(cache.Blocks(1, "aaaa"), "r1", {});
  cache.Store(cache.Blocks(1, "bbbb"), "r2", {});
  cache.Store(cache.Blocks(1, "aaaa"), "r3", {});
  cache.Store(cache.Blocks(1, "cccc"), "r4", {});
  CHECK(cache.CachedTokens(cache.Blocks(1, "aaaa")) == 1);
  CHECK(cache.CachedTokens(cache.Blocks(1, "bbbb")) == 0);
  CHECK(cache.TakeEvents().back().kind == "evicted");
}

TEST_CASE("Blocks that were idle too long are evicted") {
  PrefixCache cache = MakeCache(8, milliseconds(100));
  const Clock::time_point start;
  cache.Store(cache.Blocks(1, "aaaa"), "r1", start);
  cache.Store(cache.Blocks(1, "bbbb"), "r2", start + milliseconds(60));
  cache.EvictIdle(start + milliseconds(100));
  CHECK(cache.CachedTokens(cache.Blocks(1, "aaaa")) == 0);
  CHECK(cache.CachedTokens(cache.Blocks(1, "bbbb")) == 1);
}

}  // namespace
}  // namespace yuccapick::standin
