#include "yuccapick/membership.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

ListedUpstream Listed(bool leaving) {
  ListedUpstream listed;
  listed.info.id = UpstreamId("engine-1");
  listed.info.agent_host = "127.0.0.1";
  listed.info.agent_port = 7000;
  listed.leaving = leaving;
  return listed;
}

AgentReport Report(std::uint64_t incarnation,
                   UpstreamState state = UpstreamState::kLive) {
  AgentReport report;
  report.upstream = Listed(false).info;
  report.upstream.agent_incarnation = Incarnation(incarnation);
  report.upstream.state = state;
  return report;
}

UpstreamInfo Only(const Membership& membership) {
  REQUIRE(membership.All().size() == 1);
  return membership.All()[0];
}

TEST_CASE("A listed upstream is suspect until its agent speaks") {
  Membership membership;
  CHECK(membership.OnList({Listed(false)}, kStart).size() == 1);
  CHECK(Only(membership).state == UpstreamState::kSuspect);
  const auto changed = membership.OnReport(Report(5), kStart);
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].state == UpstreamState::kLive);
  CHECK(changed[0].agent_incarnation == Incarnation(5));
  CHECK(changed[0].agent_port == 7000);
  CHECK(membership.OnReport(Report(5), kStart).empty());
}

TEST_CASE("A silent agent becomes suspect and comes back") {
  Membership membership;
  membership.OnList({Listed(false)}, kStart);
  membership.OnReport(Report(5), kStart);
  REQUIRE(membership.OnTick(kStart + seconds(3)).size() == 1);
  CHECK(Only(membership).state == UpstreamState::kSuspect);
  membership.OnReport(Report(5), kStart + seconds(4));
  CHECK(Only(membership).state == UpstreamState::kLive);
}

TEST_CASE("An agent's own word to leave holds against a lagging list") {
  Membership membership;
  membership.OnList({Listed(false)}, kStart);
  membership.OnReport(Report(5, UpstreamState::kLeaving), kStart);
  membership.OnList({Listed(false)}, kStart + seconds(1));
  membership.OnReport(Report(5), kStart + seconds(1));
  CHECK(Only(membership).state == UpstreamState::kLeaving);
}

TEST_CASE("A new incarnation is not bound by the old one's mark") {
  Membership membership;
  membership.OnList({Listed(true)}, kStart);
  membership.OnReport(Report(5), kStart);
  CHECK(Only(membership).state == UpstreamState::kLeaving);
  membership.OnReport(Report(6), kStart + seconds(1));
  membership.OnList({Listed(true)}, kStart + seconds(2));
  CHECK(Only(membership).state == UpstreamState::kLive);
  membership.OnReport(Report(6), kStart + seconds(70));
  membership.OnList({Listed(true)}, kStart + seconds(70));
  CHECK(Only(membership).state == UpstreamState::kLeaving);
}

TEST_CASE("An unlisted upstream is gone only after it fell silent") {
  Membership membership;
  membership.OnList({Listed(false)}, kStart);
  membership.OnReport(Report(5), kStart);
  membership.OnList({}, kStart + seconds(1));
  membership.OnReport(Report(5), kStart + seconds(15));
  CHECK(Only(membership).state == UpstreamState::kLive);
  const auto changed = membership.OnTick(kStart + seconds(40));
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].state == UpstreamState::kGone);
  CHECK(membership.All().empty());
}

TEST_CASE("Leaving is sticky and incarnations only rise, in any order") {
  rc::prop("no incarnation returns to live", [] {
    Membership membership;
    TimePoint now = kStart;
    std::optional<Incarnation> left;
    Incarnation highest;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
    for (const int step : steps) {
      now += milliseconds(100 * (step % 5));
      std::vector<UpstreamInfo> changed;
      if (step < 10) changed = membership.OnList({Listed(step % 2 == 0)}, now);
      if (step >= 10 && step < 30) {
        const auto state =
            step % 7 == 0 ? UpstreamState::kLeaving : UpstreamState::kLive;
        changed = membership.OnReport(Report(1 + step % 4, state), now);
      }
      if (step >= 30) changed = membership.OnTick(now);
      for (const UpstreamInfo& info : changed) {
        RC_ASSERT(info.agent_incarnation >= highest);
        highest = info.agent_incarnation;
        const bool alive = info.state < UpstreamState::kLeaving;
        if (left == info.agent_incarnation) RC_ASSERT(!alive);
        if (!alive) left = info.agent_incarnation;
      }
    }
  });
}

}  // namespace
}  // namespace yuccapick
