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

/// Returns the tracker of an engine that stored all three pieces.
EngineCacheTracker Stored() {
  EngineCacheTracker tracker;
  tracker.OnAttempt(AttemptId("a"), kChain, kEnds, kStart);
  tracker.Apply(
      "boot-1",
      {Event(Kind::kStored, 1, "x", 1'000), Event(Kind::kStored, 2, "y", 2'000),
       Event(Kind::kStored, 3, "z", 3'000)},
      kStart);
  return tracker;
}

TEST_CASE("Stored blocks make their pieces cached") {
  EngineCacheTracker tracker = Stored();
  CHECK(tracker.CachedPieces(kChain, kStart) == 3);
  const CacheDelta delta = tracker.TakeDelta(kStart);
  CHECK(delta.added.size() == 3);
  CHECK(tracker.TakeDelta(kStart).added.empty());
}

TEST_CASE("A piece is not cached without the pieces before it") {
  EngineCacheTracker tracker = Stored();
  tracker.TakeDelta(kStart);
  tracker.Apply("boot-1", {Event(Kind::kEvicted, 4, "y")}, kStart);
  CHECK(tracker.CachedPieces(kChain, kStart) == 1);
  CHECK(tracker.TakeDelta(kStart).evicted ==
        std::vector<std::uint64_t>{12, 13});
}

TEST_CASE("A new boot id of the engine clears the tracker") {
  EngineCacheTracker tracker = Stored();
  tracker.Apply("boot-2", {}, kStart);
  CHECK(tracker.CachedPieces(kChain, kStart) == 0);
  CHECK(tracker.FullDigest(kStart).empty());
}

TEST_CASE("Events that arrive twice change nothing") {
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
    for (EngineCacheTracker* tracker : {&once, &twice}) {
      tracker->OnAttempt(AttemptId("a"), kChain, kEnds, kStart);
      tracker->Apply("boot-1", events, kStart);
    }
    twice.Apply("boot-1", events, kStart + milliseconds(5));
    RC_ASSERT(once.CachedPieces(kChain, kStart) ==
              twice.CachedPieces(kChain, kStart));
    RC_ASSERT(once.Gaps() == twice.Gaps());
  });
}

TEST_CASE("After an event gap unused entries expire and used ones stay") {
  EngineCacheTracker tracker = Stored();
  const std::vector<std::uint64_t> other = {21};
  tracker.OnAttempt(AttemptId("b"), other, {4'000}, kStart);
  CacheEvent stored = Event(Kind::kStored, 4, "w", 1'000);
  stored.attempt = AttemptId("b");
  tracker.Apply("boot-1", {stored}, kStart);
  // The eviction after one second sets the lifetime; event 6 is lost.
  tracker.Apply("boot-1", {Event(Kind::kEvicted, 5, "w")},
                kStart + milliseconds(1'000));
  tracker.Apply("boot-1", {Event(Kind::kEvicted, 7, "unknown")},
                kStart + milliseconds(1'100));
  CHECK(tracker.Gaps() == 1);
  CHECK(tracker.CachedPieces(kChain, kStart + milliseconds(1'200)) == 3);
  CHECK(tracker.CachedPieces(kChain, kStart + milliseconds(5'000)) == 0);
  tracker.OnUsage(AttemptId("a"), {3'000, 3'000, 10},
                  kStart + milliseconds(5'000));
  CHECK(tracker.CachedPieces(kChain, kStart + milliseconds(5'100)) == 3);
}

TEST_CASE("An answer marks its prefix as cached when events were lost") {
  EngineCacheTracker tracker;
  tracker.OnAttempt(AttemptId("a"), kChain, kEnds, kStart);
  tracker.OnUsage(AttemptId("a"), {3'000, 0, 10}, kStart);
  CHECK(tracker.CachedPieces(kChain, kStart) == 3);
}

TEST_CASE("A tracker holds all blocks of a server and stays bounded") {
  constexpr std::uint64_t kAttempts = 60'000;
  constexpr std::size_t kBlocksPerServer = 81'000'000 / 2'000;
  constexpr std::size_t kMaxEntries = 49'152;
  EngineCacheTracker tracker;
  for (std::uint64_t n = 1; n <= kAttempts; ++n) {
    const AttemptId attempt(std::to_string(n));
    tracker.OnAttempt(attempt, {n}, {4'000}, kStart + milliseconds(n));
    tracker.OnUsage(attempt, {1'000, 0, 1}, kStart + milliseconds(n));
  }
  CHECK(tracker.Size() <= kMaxEntries);
  CHECK(tracker.Size() >= kBlocksPerServer);
  CHECK(tracker.CachedPieces({kAttempts}, kStart + milliseconds(kAttempts)) ==
        1);
}

}  // namespace
}  // namespace yuccapick
