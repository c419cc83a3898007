#include "yuccapick/engine_cache_tracker.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using Kind = CacheEvent::Kind;

constexpr TimePoint kStart{std::chrono::hours(1)};
const std::vector<std::uint64_t> kChain = {11, 12, 13};
const std::vector<std::uint64_t> kEnds = {4'000, 8'000, 12'000};

CacheEvent Event(Kind kind, std::uint64_t sequence, const std::string& block,
                 std::uint32_t end_token = 0) {
  return {kind, sequence, block, AttemptId("a"), end_token};
}

/// A picture in which the engine stored all three pieces.
EngineCacheTracker Stored() {
  EngineCacheTracker picture;
  picture.OnAttempt(AttemptId("a"), kChain, kEnds, kStart);
  picture.Apply(
      "boot-1",
      {Event(Kind::kStored, 1, "x", 1'000), Event(Kind::kStored, 2, "y", 2'000),
       Event(Kind::kStored, 3, "z", 3'000)},
      kStart);
  return picture;
}

TEST_CASE("Stored blocks make their pieces cached") {
  EngineCacheTracker picture = Stored();
  CHECK(picture.CachedPieces(kChain, kStart) == 3);
  const CacheDelta delta = picture.TakeDelta(kStart);
  CHECK(delta.added.size() == 3);
  CHECK(picture.TakeDelta(kStart).added.empty());
}

TEST_CASE("A piece is not cached without the pieces before it") {
  EngineCacheTracker picture = Stored();
  picture.TakeDelta(kStart);
  picture.Apply("boot-1", {Event(Kind::kEvicted, 4, "y")}, kStart);
  CHECK(picture.CachedPieces(kChain, kStart) == 1);
  CHECK(picture.TakeDelta(kStart).evicted ==
        std::vector<std::uint64_t>{12, 13});
}

TEST_CASE("Another boot of the engine empties the picture") {
  EngineCacheTracker picture = Stored();
  picture.Apply("boot-2", {}, kStart);
  CHECK(picture.CachedPieces(kChain, kStart) == 0);
  CHECK(picture.FullDigest(kStart).empty());
}

TEST_CASE("Events that come twice change nothing") {
  rc::prop("a repeated batch is ignored", [] {
    std::vector<CacheEvent> events;
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 20);
    for (std::uint64_t n = 1; n <= count; ++n) {
      const auto stored = *rc::gen::arbitrary<bool>();
      const auto piece = *rc::gen::inRange<std::uint32_t>(1, 4);
      events.push_back(Event(stored ? Kind::kStored : Kind::kEvicted, n,
                             std::to_string(piece), piece * 1'000));
    }
    EngineCacheTracker once;
    EngineCacheTracker twice;
    for (EngineCacheTracker* picture : {&once, &twice}) {
      picture->OnAttempt(AttemptId("a"), kChain, kEnds, kStart);
      picture->Apply("boot-1", events, kStart);
    }
    twice.Apply("boot-1", events, kStart + milliseconds(5));
    RC_ASSERT(once.CachedPieces(kChain, kStart) ==
              twice.CachedPieces(kChain, kStart));
    RC_ASSERT(once.Gaps() == twice.Gaps());
  });
}

TEST_CASE("What a gap may have hidden ages, what is used stays") {
  EngineCacheTracker picture = Stored();
  const std::vector<std::uint64_t> other = {21};
  picture.OnAttempt(AttemptId("b"), other, {4'000}, kStart);
  CacheEvent stored = Event(Kind::kStored, 4, "w", 1'000);
  stored.attempt = AttemptId("b");
  picture.Apply("boot-1", {stored}, kStart);
  // An eviction after one second teaches the lifetime; event 6 is lost.
  picture.Apply("boot-1", {Event(Kind::kEvicted, 5, "w")},
                kStart + milliseconds(1'000));
  picture.Apply("boot-1", {Event(Kind::kEvicted, 7, "unknown")},
                kStart + milliseconds(1'100));
  CHECK(picture.Gaps() == 1);
  CHECK(picture.CachedPieces(kChain, kStart + milliseconds(1'200)) == 3);
  CHECK(picture.CachedPieces(kChain, kStart + milliseconds(5'000)) == 0);
  picture.OnUsage(AttemptId("a"), {3'000, 3'000, 10},
                  kStart + milliseconds(5'000));
  CHECK(picture.CachedPieces(kChain, kStart + milliseconds(5'100)) == 3);
}

TEST_CASE("An answer makes its prefix cached when its events were lost") {
  EngineCacheTracker picture;
  picture.OnAttempt(AttemptId("a"), kChain, kEnds, kStart);
  picture.OnUsage(AttemptId("a"), {3'000, 0, 10}, kStart);
  CHECK(picture.CachedPieces(kChain, kStart) == 3);
}

TEST_CASE("A picture holds a server's blocks and stays bounded") {
  constexpr std::uint64_t kAttempts = 60'000;
  constexpr std::size_t kBlocksOfServer = 81'000'000 / 2'000;
  constexpr std::size_t kMostEntries = 49'152;
  EngineCacheTracker picture;
  for (std::uint64_t n = 1; n <= kAttempts; ++n) {
    const AttemptId attempt(std::to_string(n));
    picture.OnAttempt(attempt, {n}, {4'000}, kStart + milliseconds(n));
    picture.OnUsage(attempt, {1'000, 0, 1}, kStart + milliseconds(n));
  }
  CHECK(picture.Size() <= kMostEntries);
  CHECK(picture.Size() >= kBlocksOfServer);
  CHECK(picture.CachedPieces({kAttempts}, kStart + milliseconds(kAttempts)) ==
        1);
}

}  // namespace
}  // namespace yuccapick
