#include "yuccapick/upstream_health.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
const UpstreamId kA("a");

TEST_CASE("The failure rate follows recent outcomes and fades") {
  UpstreamHealth health;
  CHECK(health.FailureRate(kA, kStart) == 0.0);
  for (int i = 0; i < 10; ++i) health.OnFailure(kA, kStart);
  const double bad = health.FailureRate(kA, kStart);
  CHECK(bad > 0.6);
  CHECK(health.FailureRate(kA, kStart + milliseconds(12'000)) < bad / 4);
  for (int i = 0; i < 40; ++i) health.OnSuccess(kA, kStart);
  CHECK(health.FailureRate(kA, kStart) < 0.25);
}

TEST_CASE("An unreachable upstream pauses longer each time, up to a limit") {
  UpstreamHealth health;
  health.OnUnreachable(kA, kStart);
  CHECK(health.Paused(kA, kStart + milliseconds(200)));
  CHECK_FALSE(health.Paused(kA, kStart + milliseconds(260)));
  TimePoint now = kStart;
  for (int i = 0; i < 8; ++i) {
    now += milliseconds(3'000);
    health.OnUnreachable(kA, now);
  }
  CHECK(health.Paused(kA, now + milliseconds(1'900)));
  CHECK_FALSE(health.Paused(kA, now + milliseconds(2'100)));
}

TEST_CASE("An answer ends the pause") {
  UpstreamHealth health;
  health.OnUnreachable(kA, kStart);
  health.OnSuccess(kA, kStart);
  CHECK_FALSE(health.Paused(kA, kStart + milliseconds(10)));
}

TEST_CASE("Silence is told from answers to others") {
  UpstreamHealth health;
  CHECK(health.SilentSince(kA, kStart));
  health.OnBytesReceived(kA, kStart + milliseconds(5));
  CHECK_FALSE(health.SilentSince(kA, kStart));
  CHECK(health.SilentSince(kA, kStart + milliseconds(6)));
}

}  // namespace
}  // namespace yuccapick
