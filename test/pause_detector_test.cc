#include "yuccapick/pause_detector.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow{std::chrono::seconds(100)};
const TimePoint kBootTime{std::chrono::seconds(700)};

TEST_CASE("Ticks in time are no pause") {
  PauseDetector detector(milliseconds(500));
  CHECK_FALSE(detector.OnTick(kNow, kBootTime));
  CHECK_FALSE(
      detector.OnTick(kNow + milliseconds(499), kBootTime + milliseconds(499)));
}

TEST_CASE("A process that stood still reports a pause without suspension") {
  PauseDetector detector(milliseconds(500));
  detector.OnTick(kNow, kBootTime);
  const auto pause = detector.OnTick(kNow + milliseconds(4'000),
                                     kBootTime + milliseconds(4'000));
  CHECK(pause == ProcessPause{milliseconds(4'000), milliseconds(0)});
  CHECK_FALSE(detector.OnTick(kNow + milliseconds(4'100),
                              kBootTime + milliseconds(4'100)));
}

TEST_CASE("A pause tells how long the machine was suspended") {
  PauseDetector detector(milliseconds(500));
  detector.OnTick(kNow, kBootTime);
  const auto pause = detector.OnTick(kNow + milliseconds(100),
                                     kBootTime + milliseconds(3'100));
  CHECK(pause == ProcessPause{milliseconds(3'100), milliseconds(3'000)});
}

}  // namespace
}  // namespace yuccapick
