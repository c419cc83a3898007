#include "yuccapick/long_poll_times.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const StoreTime kComplete{std::chrono::seconds(60)};

TEST_CASE("A poll that the store held tells when the change was made") {
  const LongPollTimes poll{kComplete, kComplete + milliseconds(40),
                           kComplete + milliseconds(3'000)};
  CHECK(poll.ChangedAfter() == poll.answered_at);
}

TEST_CASE("A poll that was answered at once may bring earlier changes") {
  const LongPollTimes poll{kComplete, kComplete + milliseconds(40),
                           kComplete + milliseconds(45)};
  CHECK(poll.ChangedAfter() == kComplete);
}

TEST_CASE("A process that paused before a poll may have missed the change") {
  const LongPollTimes poll{kComplete, kComplete + milliseconds(4'000),
                           kComplete + milliseconds(4'800)};
  CHECK(poll.ChangedAfter() == kComplete);
}

TEST_CASE("Random pauses and delays never make a change look younger") {
  rc::prop("changes at any time", [] {
    const milliseconds pause(*rc::gen::inRange(0, 9'000));
    const milliseconds store_delay(*rc::gen::inRange(1, 200));
    const milliseconds change(*rc::gen::inRange(1, 14'000));
    const StoreTime changed_at = kComplete + change;
    const StoreTime began_at = kComplete + pause;
    const StoreTime answered_at = std::max(began_at, changed_at) + store_delay;
    const LongPollTimes poll{kComplete, began_at, answered_at};
    // An answer to a held poll is as late as the store is slow.
    RC_ASSERT(poll.ChangedAfter() <= changed_at + store_delay);
    if (pause <= milliseconds(500)) {
      RC_ASSERT(poll.ChangedAfter() >= changed_at - milliseconds(1'000));
    }
  });
}

}  // namespace
}  // namespace yuccapick
