#include "yuccapick/target_weights.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
const ModelId kModel("moor-8b");
constexpr milliseconds kLimit{10'000};

TEST_CASE("Weights are overdue once newer ones were named long enough ago") {
  TargetWeightsHistory log;
  CHECK(log.OnTargetSet(kModel, 2, kStart));
  CHECK_FALSE(log.OnTargetSet(kModel, 2, kStart));
  CHECK(log.Newest(kModel) == 2);
  CHECK_FALSE(log.IsOverdue(kModel, 1, kLimit, kStart + milliseconds(9'999)));
  CHECK(log.IsOverdue(kModel, 1, kLimit, kStart + kLimit));
  CHECK_FALSE(log.IsOverdue(kModel, 2, kLimit, kStart + kLimit));
}

TEST_CASE("A version named later does not restart the time of an earlier one") {
  TargetWeightsHistory log;
  log.OnTargetSet(kModel, 2, kStart);
  log.OnTargetSet(kModel, 3, kStart + milliseconds(9'000));
  const TimePoint now = kStart + kLimit;
  CHECK(log.IsOverdue(kModel, 1, kLimit, now));
  CHECK_FALSE(log.IsOverdue(kModel, 2, kLimit, now));
}

TEST_CASE("A process that starts later learns when weights were named") {
  TargetWeightsHistory log;
  log.OnTargetSet(kModel, 2, kStart + milliseconds(8'000));
  log.OnTargetSetEarlier(kModel, 2, kStart);
  CHECK(log.IsOverdue(kModel, 1, kLimit, kStart + kLimit));
}

TEST_CASE("A version that was replaced before the start still counts") {
  TargetWeightsHistory log;
  const TimePoint started = kStart + milliseconds(12'000);
  log.OnTargetSet(kModel, 4, started);
  log.OnTargetSetEarlier(kModel, 3, kStart);
  CHECK(log.Newest(kModel) == 4);
  CHECK(log.IsOverdue(kModel, 2, kLimit, started));
  CHECK_FALSE(log.IsOverdue(kModel, 3, kLimit, started));
}

TEST_CASE("An unknown model is never overdue") {
  TargetWeightsHistory log;
  CHECK(log.Newest(kModel) == 0);
  CHECK_FALSE(log.IsOverdue(kModel, 1, kLimit, kStart));
}

}  // namespace
}  // namespace yuccapick
