#include "yuccapick/prefix.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

CacheScope Scope(const std::string& team, const std::string& weights = "w1") {
  return {TeamId(team), ModelId("fen-3b"), AdapterId(), WeightVersion(weights)};
}

TEST_CASE("Pieces end at level ends and at the longest piece") {
  const auto pieces =
      SplitPrefix(Scope("a"), {"0123456789", "", "abc"}, /*piece_bytes=*/4);
  REQUIRE(pieces.size() == 4);
  CHECK(pieces[0].end_byte == 4);
  CHECK(pieces[2].end_byte == 10);
  CHECK(pieces[2].level_end);
  CHECK_FALSE(pieces[1].level_end);
  CHECK(pieces[3].end_byte == 13);
}

TEST_CASE("A salt differs when any part of the scope differs") {
  const CacheScope scope = Scope("a");
  CacheScope moved = scope;
  // The same bytes, cut into fields elsewhere.
  moved.team = TeamId("af");
  moved.model = ModelId("en-3b");
  CHECK(CacheSalt(scope) != CacheSalt(moved));
  CHECK(CacheSalt(scope) != CacheSalt(Scope("b")));
  CHECK(CacheSalt(scope) != CacheSalt(Scope("a", "w2")));
  moved = scope;
  moved.adapter = AdapterId("x");
  CHECK(CacheSalt(scope) != CacheSalt(moved));
}

TEST_CASE("Prompts share a chain exactly as far as they share text") {
  rc::prop("chains agree up to the first difference", [] {
    const auto text =
        *rc::gen::container<std::string>(200, rc::gen::inRange<char>('a', 'e'));
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    std::string other = text;
    other[position] = 'z';
    const auto a = SplitPrefix(Scope("t"), {text}, 16);
    const auto b = SplitPrefix(Scope("t"), {other}, 16);
    RC_ASSERT(a.size() == b.size());
    for (std::size_t n = 0; n < a.size(); ++n) {
      const bool shared = a[n].end_byte <= position;
      RC_ASSERT((a[n].chain_hash == b[n].chain_hash) == shared);
    }
  });
}

TEST_CASE("No two teams or weight versions share a chain hash") {
  rc::prop("equal text gives other hashes in another scope", [] {
    const auto text = *rc::gen::nonEmpty<std::string>();
    const auto mine = SplitPrefix(Scope("t"), {text}, 8);
    const auto other_team = SplitPrefix(Scope("u"), {text}, 8);
    const auto other_weights = SplitPrefix(Scope("t", "w2"), {text}, 8);
    for (std::size_t n = 0; n < mine.size(); ++n) {
      RC_ASSERT(mine[n].chain_hash != other_team[n].chain_hash);
      RC_ASSERT(mine[n].chain_hash != other_weights[n].chain_hash);
    }
  });
}

}  // namespace
}  // namespace yuccapick
