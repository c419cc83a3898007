#include "yuccapick/target_weights.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const StoreTime kStart{std::chrono::seconds(100)};
const ModelId kModel("moor-8b");
constexpr milliseconds kLimit{10'000};

TEST_CASE("Weights are overdue once a newer target was set long enough ago") {
  TargetWeightsHistory history;
  CHECK(history.OnTargetSet(kModel, 2, kStart, kStart));
  CHECK_FALSE(history.OnTargetSet(kModel, 2, kStart, kStart));
  CHECK(history.Newest(kModel) == 2);
  CHECK_FALSE(
      history.IsOverdue(kModel, 1, kLimit, kStart + milliseconds(9'999)));
  CHECK(history.IsOverdue(kModel, 1, kLimit, kStart + kLimit));
  CHECK_FALSE(history.IsOverdue(kModel, 2, kLimit, kStart + kLimit));
}

TEST_CASE("A later target does not restart the time of an earlier one") {
  TargetWeightsHistory history;
  history.OnTargetSet(kModel, 2, kStart, kStart);
  const StoreTime later = kStart + milliseconds(9'000);
  history.OnTargetSet(kModel, 3, later, later);
  const StoreTime now = kStart + kLimit;
  CHECK(history.IsOverdue(kModel, 1, kLimit, now));
  CHECK_FALSE(history.IsOverdue(kModel, 2, kLimit, now));
}

TEST_CASE("A process that starts later learns when a target was set") {
  TargetWeightsHistory history;
  history.OnTargetSet(kModel, 2, std::nullopt, kStart + milliseconds(8'000));
  history.OnSetAfterKnown(kModel, 2, kStart);
  CHECK(history.IsOverdue(kModel, 1, kLimit, kStart + kLimit));
}

TEST_CASE(
    "A target that was replaced before the process started still counts") {
  TargetWeightsHistory history;
  const StoreTime started = kStart + milliseconds(12'000);
  history.OnTargetSet(kModel, 4, started, started);
  history.OnSetAfterKnown(kModel, 3, kStart);
  CHECK(history.Newest(kModel) == 4);
  CHECK(history.IsOverdue(kModel, 2, kLimit, started));
  CHECK_FALSE(history.IsOverdue(kModel, 3, kLimit, started));
}

TEST_CASE("Of several times before a target was set the latest counts") {
  TargetWeightsHistory history;
  history.OnTargetSet(kModel, 2, kStart, kStart + milliseconds(4'000));
  history.OnSetAfterKnown(kModel, 2, kStart + milliseconds(3'000));
  history.OnSetAfterKnown(kModel, 2, kStart + milliseconds(1'000));
  CHECK(history.ReplacedAt(kModel, 1) == kStart + milliseconds(3'000));
}

TEST_CASE("A time that may be too late is not passed on to peers") {
  TargetWeightsHistory history;
  history.OnTargetSet(kModel, 2, std::nullopt, kStart);
  CHECK(history.SetTimes().empty());
  history.OnSetAfterKnown(kModel, 2, kStart - milliseconds(500));
  CHECK(history.SetTimes() ==
        std::vector{TargetSetTime{kModel, 2, kStart - milliseconds(500)}});
}

TEST_CASE("A model without a target is never overdue") {
  TargetWeightsHistory history;
  CHECK(history.Newest(kModel) == 0);
  CHECK_FALSE(history.IsOverdue(kModel, 1, kLimit, kStart));
}

}  // namespace
}  // namespace yuccapick
