#include "yuccapick/order_history.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
const UpstreamId kA("a");
const UpstreamId kB("b");
constexpr milliseconds kGap{3'000};

TEST_CASE("The next holder keeps apart from the last one's orders") {
  OrderHistory first(kGap);
  first.OnOrder(kA, kStart);
  CHECK(first.MayOrder(kA, kStart));
  OrderHistory second(kGap);
  const TimePoint later = kStart + milliseconds(1'000);
  REQUIRE(second.TakeOver(first.Note(later), later));
  CHECK_FALSE(second.MayOrder(kA, kStart + milliseconds(2'999)));
  CHECK(second.MayOrder(kA, kStart + kGap));
  CHECK(second.MayOrder(kB, later));
}

TEST_CASE("Orders older than the gap are not passed on") {
  OrderHistory first(kGap);
  first.OnOrder(kA, kStart);
  CHECK(first.Note(kStart + kGap) == "{}");
}

TEST_CASE("A note that cannot be read is told from an empty one") {
  OrderHistory history(kGap);
  CHECK(history.TakeOver("{}", kStart));
  CHECK_FALSE(history.TakeOver("", kStart));
  CHECK_FALSE(history.TakeOver("{\"a\":\"x\"}", kStart));
}

}  // namespace
}  // namespace yuccapick
