#include "yuccapick/named_weights.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
const ModelId kModel("moor-8b");
constexpr milliseconds kLimit{10'000};

TEST_CASE("Weights are overdue once newer ones were named long enough ago") {
  NamedWeightsLog log;
  CHECK(log.OnNamed(kModel, 2, kStart));
  CHECK_FALSE(log.OnNamed(kModel, 2, kStart));
  CHECK(log.Newest(kModel) == 2);
  CHECK_FALSE(log.Overdue(kModel, 1, kLimit, kStart + milliseconds(9'999)));
  CHECK(log.Overdue(kModel, 1, kLimit, kStart + kLimit));
  CHECK_FALSE(log.Overdue(kModel, 2, kLimit, kStart + kLimit));
}

TEST_CASE("A version named later does not restart the time of an earlier one") {
  NamedWeightsLog log;
  log.OnNamed(kModel, 2, kStart);
  log.OnNamed(kModel, 3, kStart + milliseconds(9'000));
  const TimePoint now = kStart + kLimit;
  CHECK(log.Overdue(kModel, 1, kLimit, now));
  CHECK_FALSE(log.Overdue(kModel, 2, kLimit, now));
}

TEST_CASE("A process that starts later learns when weights were named") {
  NamedWeightsLog log;
  log.OnNamed(kModel, 2, kStart + milliseconds(8'000));
  log.OnNamedEarlier(kModel, 2, kStart);
  CHECK(log.Overdue(kModel, 1, kLimit, kStart + kLimit));
}

TEST_CASE("A version that was replaced before the start still counts") {
  NamedWeightsLog log;
  const TimePoint started = kStart + milliseconds(12'000);
  log.OnNamed(kModel, 4, started);
  log.OnNamedEarlier(kModel, 3, kStart);
  CHECK(log.Newest(kModel) == 4);
  CHECK(log.Overdue(kModel, 2, kLimit, started));
  CHECK_FALSE(log.Overdue(kModel, 3, kLimit, started));
}

TEST_CASE("An unknown model is never overdue") {
  NamedWeightsLog log;
  CHECK(log.Newest(kModel) == 0);
  CHECK_FALSE(log.Overdue(kModel, 1, kLimit, kStart));
}

}  // namespace
}  // namespace yuccapick
