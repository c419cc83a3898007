#include "yuccapick/latency_estimate.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr int kManySamples = 60;

TEST_CASE("Without samples the bound is zero") {
  CHECK(LatencyEstimate().UpperBound() == milliseconds(0));
}

TEST_CASE("The bound converges to the latency of steady answers") {
  LatencyEstimate estimate;
  for (int i = 0; i < kManySamples; ++i) estimate.OnSample(milliseconds(100));
  CHECK(estimate.UpperBound() >= milliseconds(100));
  CHECK(estimate.UpperBound() < milliseconds(105));
}

TEST_CASE(
    "The bound rises when all answers slow down and falls when they recover") {
  LatencyEstimate estimate;
  for (int i = 0; i < kManySamples; ++i) estimate.OnSample(milliseconds(100));
  for (int i = 0; i < 8; ++i) estimate.OnSample(milliseconds(800));
  CHECK(estimate.UpperBound() > milliseconds(800));
  for (int i = 0; i < kManySamples; ++i) estimate.OnSample(milliseconds(100));
  CHECK(estimate.UpperBound() < milliseconds(120));
}

TEST_CASE("A single slow answer raises the bound only a little") {
  LatencyEstimate estimate;
  for (int i = 0; i < kManySamples; ++i) estimate.OnSample(milliseconds(100));
  estimate.OnSample(milliseconds(400));
  CHECK(estimate.UpperBound() < milliseconds(500));
}

}  // namespace
}  // namespace yuccapick
