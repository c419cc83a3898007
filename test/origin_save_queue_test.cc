#include "yuccapick/origin_save_queue.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
const SoftwareGroup kOld{ServiceId("moor"), SoftwareVersion("v1")};
const SoftwareGroup kNew{ServiceId("moor"), SoftwareVersion("v2")};
constexpr OriginSaveQueue::Options kOptions{milliseconds(10'000),
                                            milliseconds(30'000), 100};
constexpr std::size_t kNoLimit = 1'000;

StreamOriginReport Report(std::uint64_t stream) {
  return {kOld, {StreamId(stream)}};
}

std::set<StreamId> StreamsOf(const std::vector<StreamOriginReport>& origins) {
  std::set<StreamId> streams;
  for (const StreamOriginReport& it : origins) {
    streams.insert(it.streams.begin(), it.streams.end());
  }
  return streams;
}

TEST_CASE("Origins are taken by version, up to a limit, the oldest first") {
  OriginSaveQueue queue(kOptions);
  queue.Add({{kOld, {StreamId(1), StreamId(2)}}, {kNew, {StreamId(3)}}},
            kStart);
  CHECK(queue.Take(2) ==
        std::vector{StreamOriginReport{kOld, {StreamId(1), StreamId(2)}}});
  CHECK(queue.Take(kNoLimit).empty());
  queue.OnSaved();
  CHECK(queue.Take(kNoLimit) ==
        std::vector{StreamOriginReport{kNew, {StreamId(3)}}});
  queue.OnSaved();
  CHECK_FALSE(queue.HasUnsaved());
}

TEST_CASE("Origins that were not saved are taken again") {
  OriginSaveQueue queue(kOptions);
  queue.Add({Report(1)}, kStart);
  queue.Take(kNoLimit);
  queue.OnNotSaved();
  CHECK(queue.Take(kNoLimit) == std::vector{Report(1)});
}

TEST_CASE("What was saved lately is saved again after a loss") {
  OriginSaveQueue queue(kOptions);
  queue.Add({Report(1)}, kStart);
  queue.Take(kNoLimit);
  queue.OnSaved();
  queue.SaveAgain();
  CHECK(queue.Take(kNoLimit) == std::vector{Report(1)});
  SECTION("also if the loss is known before an answer") {
    queue.SaveAgain();
    queue.OnSaved();
    CHECK(queue.Take(kNoLimit) == std::vector{Report(1)});
  }
}

TEST_CASE("Only the saver keeps unsaved origins for the streams' lifetime") {
  OriginSaveQueue queue(kOptions);
  queue.Add({Report(1)}, kStart);
  queue.Expire(/*saver=*/true, kStart + kOptions.retention);
  CHECK(queue.size() == 1);
  SECTION("the saver") {
    queue.Expire(true, kStart + kOptions.lifetime);
    CHECK(queue.size() == 0);
  }
  SECTION("another gateway") {
    queue.Expire(false, kStart + kOptions.retention);
    CHECK(queue.size() == 0);
  }
}

TEST_CASE("Beyond the limit the oldest origins are dropped and counted") {
  OriginSaveQueue queue(kOptions);
  for (std::uint64_t n = 0; n <= kOptions.max_streams; ++n) {
    queue.Add({Report(n)}, kStart);
  }
  CHECK(queue.size() == kOptions.max_streams);
  CHECK(queue.dropped() == 1);
  CHECK_FALSE(StreamsOf(queue.Take(kNoLimit)).contains(StreamId(0)));
}

/// Guards against origins that are lost when the saver ends before it saved
/// them.
TEST_CASE("Whichever gateway saves, no origin that one lives to save is lost") {
  rc::prop("two savers in turn, lost calls", [] {
    OriginSaveQueue first(kOptions);
    OriginSaveQueue second(kOptions);
    std::set<StreamId> added;
    std::set<StreamId> saved;
    TimePoint now = kStart;
    const auto save = [&](OriginSaveQueue& queue, bool answered, bool applied) {
      const std::set<StreamId> taken =
          StreamsOf(queue.Take(*rc::gen::inRange<std::size_t>(1, 10)));
      if (applied) saved.insert(taken.begin(), taken.end());
      answered&& applied ? queue.OnSaved() : queue.OnNotSaved();
    };
    const int steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 100));
      const StreamId stream(static_cast<std::uint64_t>(i));
      first.Add({{kOld, {stream}}}, now);
      second.Add({{kOld, {stream}}}, now);
      added.insert(stream);
      save(first, *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>());
      first.Expire(true, now);
      second.Expire(false, now);
    }
    // The first one ends; the second notices it after a while.
    now += milliseconds(*rc::gen::inRange(0, 3'000));
    second.Expire(true, now);
    while (second.HasUnsaved()) save(second, true, true);
    RC_ASSERT(
        std::includes(saved.begin(), saved.end(), added.begin(), added.end()));
  });
}

}  // namespace
}  // namespace yuccapick
