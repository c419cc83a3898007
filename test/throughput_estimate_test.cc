#include "yuccapick/throughput_estimate.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

TEST_CASE("The drain rate follows the ends and decays") {
  ThroughputEstimate rate;
  TimePoint now{std::chrono::hours(1)};
  for (int i = 0; i < 600; ++i) {
    now += milliseconds(50);
    rate.OnEnded(now);
  }
  CHECK(rate.PerSecond(now) == Approx(20).epsilon(0.05));
  CHECK(rate.ExpectedWait(40, now).count() == Approx(2).epsilon(0.05));
  CHECK(rate.PerSecond(now + std::chrono::seconds(8)) < 4);
}

TEST_CASE("An upstream that ended nothing yet makes a queue wait long") {
  const ThroughputEstimate rate;
  const TimePoint now{std::chrono::hours(1)};
  CHECK(rate.ExpectedWait(0, now).count() == 0);
  CHECK(rate.ExpectedWait(5, now).count() == Approx(5));
}

}  // namespace
}  // namespace yuccapick
