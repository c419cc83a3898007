#include "yuccapick/latency_estimate.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr int kManySamples = 60;

TEST_CASE("Without samples nothing is known") {
  CHECK(LatencyEstimate().UpperBound() == milliseconds(0));
}

TEST_CASE("Steady answers bring the limit near their time") {
  LatencyEstimate estimate;
  for (int i = 0; i < kManySamples; ++i) estimate.OnSample(milliseconds(100));
  CHECK(estimate.UpperBound() >= milliseconds(100));
  CHECK(estimate.UpperBound() < milliseconds(105));
}

TEST_CASE("The limit follows a load that slows all answers down, and back") {
  LatencyEstimate estimate;
  for (int i = 0; i < kManySamples; ++i) estimate.OnSample(milliseconds(100));
  for (int i = 0; i < 8; ++i) estimate.OnSample(milliseconds(800));
  CHECK(estimate.UpperBound() > milliseconds(800));
  for (int i = 0; i < kManySamples; ++i) estimate.OnSample(milliseconds(100));
  CHECK(estimate.UpperBound() < milliseconds(120));
}

TEST_CASE("A rare slow answer hardly moves the limit") {
  LatencyEstimate estimate;
  for (int i = 0; i < kManySamples; ++i) estimate.OnSample(milliseconds(100));
  estimate.OnSample(milliseconds(400));
  CHECK(estimate.UpperBound() < milliseconds(500));
}

}  // namespace
}  // namespace yuccapick
