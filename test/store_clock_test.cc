#include "yuccapick/store_clock.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kBoot{std::chrono::seconds(500)};
const StoreTime kStore{std::chrono::seconds(20)};

TEST_CASE("The store's time is unknown before its first answer") {
  CHECK_FALSE(StoreClockEstimate().Now(kBoot));
}

TEST_CASE("An answer that waited to be read does not set the clock back") {
  StoreClockEstimate clock;
  clock.OnAnswer(kStore, kBoot);
  clock.OnAnswer(kStore + milliseconds(10), kBoot + milliseconds(5'000));
  CHECK(clock.Now(kBoot + milliseconds(5'000)) == kStore + milliseconds(5'000));
}

TEST_CASE("An answer with a shorter delay corrects the clock") {
  StoreClockEstimate clock;
  clock.OnAnswer(kStore, kBoot + milliseconds(5'000));
  clock.OnAnswer(kStore + milliseconds(5'100), kBoot + milliseconds(5'100));
  CHECK(clock.Now(kBoot + milliseconds(6'000)) == kStore + milliseconds(6'000));
}

TEST_CASE("The estimate is never ahead of the store by more than the drift") {
  rc::prop("random delays and one drift", [] {
    const int drift_ppm = *rc::gen::inRange(-200, 201);
    const auto delays = *rc::gen::container<std::vector<int>>(
        200, rc::gen::weightedOneOf<int>({{9, rc::gen::inRange(1, 40)},
                                          {1, rc::gen::inRange(40, 9'000)}}));
    StoreClockEstimate clock;
    milliseconds store{0};
    for (const int delay : delays) {
      store += milliseconds(2'000);
      const auto boot = [&](milliseconds at) {
        return kBoot + at + at * drift_ppm / 1'000'000;
      };
      clock.OnAnswer(StoreTime(store), boot(store + milliseconds(delay)));
      const milliseconds read = store + milliseconds(delay);
      const auto estimate = clock.Now(boot(read));
      RC_ASSERT(estimate.has_value());
      // Two periods of 60 s, at 200 ppm.
      RC_ASSERT(*estimate <= StoreTime(read) + milliseconds(26));
    }
  });
}

}  // namespace
}  // namespace yuccapick
