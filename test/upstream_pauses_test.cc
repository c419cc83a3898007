#include "yuccapick/upstream_pauses.h"

#include <catch2/catch.hpp>
#include <string>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
const UpstreamId kUpstream("up-1");
constexpr Incarnation kFirst(1);

}  // namespace

TEST_CASE("An upstream gets nothing for the pause that it asked for") {
  UpstreamPauses pauses;
  CHECK(pauses.WaitFor(kUpstream, kFirst, kStart) == milliseconds(0));
  pauses.OnAsked(kUpstream, kFirst, milliseconds(2'000), 0.0, kStart);
  CHECK(pauses.WaitFor(kUpstream, kFirst, kStart + milliseconds(500)) ==
        milliseconds(1'500));
  CHECK(pauses.WaitFor(kUpstream, kFirst, kStart + milliseconds(2'000)) ==
        milliseconds(0));
}

TEST_CASE("Gateways return at different times after a pause") {
  UpstreamPauses pauses;
  CHECK(pauses.OnAsked(kUpstream, kFirst, milliseconds(2'000), 0.5, kStart) ==
        milliseconds(2'200));
  CHECK(pauses.OnAsked(kUpstream, kFirst, milliseconds(30'000), 1.0, kStart) ==
        milliseconds(31'000));
}

TEST_CASE("A pause ends after ten minutes, or with the incarnation") {
  UpstreamPauses pauses;
  CHECK(pauses.OnAsked(kUpstream, kFirst, milliseconds(9'000'000), 0.0,
                       kStart) == milliseconds(600'000));
  CHECK(pauses.WaitFor(kUpstream, Incarnation(2), kStart) == milliseconds(0));
  pauses.Forget(kUpstream);
  CHECK(pauses.WaitFor(kUpstream, kFirst, kStart) == milliseconds(0));
}

TEST_CASE("A later answer replaces an earlier pause") {
  UpstreamPauses pauses;
  pauses.OnAsked(kUpstream, kFirst, milliseconds(9'000), 0.0, kStart);
  pauses.OnAsked(kUpstream, kFirst, milliseconds(0), 0.0, kStart);
  CHECK(pauses.WaitFor(kUpstream, kFirst, kStart) == milliseconds(0));
}

TEST_CASE("Known pauses are bounded, and dropped when they end") {
  UpstreamPauses::Options options;
  options.max_upstreams = 5;
  UpstreamPauses pauses(options);
  for (int i = 0; i < 20; ++i) {
    pauses.OnAsked(UpstreamId(std::to_string(i)), kFirst, milliseconds(1'000),
                   0.0, kStart);
  }
  CHECK(pauses.size() == 5);
  pauses.OnTick(kStart + milliseconds(1'000));
  CHECK(pauses.size() == 0);
}

}  // namespace yuccapick
