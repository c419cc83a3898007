#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

#include "test/quarantine_group.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const SuspectId kShared{SuspectKind::kPart, 21};
const SuspectId kGuilty{SuspectKind::kPart, 22};
constexpr int kTicks = 600;
/// From then on sound requests must begin: both blocks have ended, and the
/// shared part has been tried.
constexpr int kSettledTicks = 90;

/// Blocks the suspects, which were in three crashes.
void BlockTogether(QuarantineGroup& group,
                   const std::vector<SuspectId>& suspects) {
  for (std::uint64_t n = 1; n <= 3; ++n) {
    group.Crash(UpstreamRunId(n), suspects, n % group.size(), 1);
  }
  group.Pass(milliseconds(1'100));
}

/// Requests with the shared part, some of which crash upstreams.
class Traffic {
 public:
  Traffic(QuarantineGroup& group, std::uint64_t seed)
      : group_(group), random_(seed) {}

  /// @return true if the request was sent
  bool Send(const std::vector<SuspectId>& suspects) {
    const std::size_t n = std::uniform_int_distribution<std::size_t>(
        0, group_.size() - 1)(random_);
    CrashQuarantine& gateway = group_[n];
    auto refusal = gateway.Admit(suspects, group_.now());
    if (refusal && refusal->trial_wanted) {
      group_.Exchange();
      refusal = gateway.Admit(suspects, group_.now());
    }
    if (refusal) return false;
    CheckFreeOrTried(n, suspects);
    gateway.OnSent(suspects);
    const bool crashes =
        std::find(suspects.begin(), suspects.end(), kGuilty) != suspects.end();
    if (crashes) {
      ++crashes_;
      group_.Crash(UpstreamRunId(1'000 + crashes_), suspects, n, 1);
    } else {
      group_.Survive(n, suspects);
    }
    return true;
  }

  std::uint64_t crashes() const { return crashes_; }

 private:
  void CheckFreeOrTried(std::size_t n, const std::vector<SuspectId>& suspects) {
    for (const SuspectDecision& it : group_[n].Decisions()) {
      const bool concerned = std::find(suspects.begin(), suspects.end(),
                                       it.suspect) != suspects.end();
      if (!concerned || !it.blocked) continue;
      RC_ASSERT(it.trial_by == QuarantineGatewayName(n));
    }
  }

  QuarantineGroup& group_;
  std::mt19937_64 random_;
  std::uint64_t crashes_ = 0;
};

}  // namespace

/// Guards against a sound part that is blocked for another part's crash.
TEST_CASE("A request with a blocked part is not the trial of another part") {
  QuarantineGroup group(1, 0.0, 1);
  BlockTogether(group, {kShared, kGuilty});
  group.Pass(milliseconds(6'100));
  const auto refusal = group[0].Admit({kShared, kGuilty}, group.now());
  REQUIRE(refusal);
  CHECK_FALSE(refusal->trial_wanted);
  REQUIRE_FALSE(group[0].Admit({kShared}, group.now()));
  CHECK(group[0].OnSent({kShared}));
  group.Survive(0, {kShared});
  CHECK_FALSE(group[0].IsBlocked(kShared));
  REQUIRE_FALSE(group[0].Admit({kShared, kGuilty}, group.now()));
  CHECK(group[0].OnSent({kShared, kGuilty}));
  group.Crash(UpstreamRunId(9), {kShared, kGuilty}, 0, 1);
  CHECK(group[0].IsBlocked(kGuilty));
  CHECK_FALSE(group[0].IsBlocked(kShared));
}

/// Guards against sound parts that stay blocked since they come together only.
TEST_CASE("Parts that only come together are tried together") {
  for (const std::size_t n : {1, 2, 24}) {
    QuarantineGroup group(n, 0.0, 1);
    const SuspectId other{SuspectKind::kPart, 23};
    BlockTogether(group, {kShared, other});
    Traffic traffic(group, 1);
    milliseconds refused{0};
    while (!traffic.Send({kShared, other})) {
      REQUIRE(refused < milliseconds(15'000));
      group.Pass(kQuarantineTick);
      refused += kQuarantineTick;
    }
    CHECK_FALSE(group[0].IsBlocked(kShared));
    CHECK_FALSE(group[0].IsBlocked(other));
  }
}

/// Guards against the same in any order of requests, at any gateways, with lost
/// messages.
TEST_CASE("Beside a guilty part sound requests begin and few crash") {
  rc::prop("both kinds come for 60 s", [] {
    const auto n = *rc::gen::inRange<std::size_t>(1, 24);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto loss = *rc::gen::element(0.0, 0.02, 0.05);
    const auto guilty_per_tick = *rc::gen::inRange(1, 4);
    QuarantineGroup group(n, loss, seed);
    Traffic traffic(group, seed);
    int sound = 0;
    int begun = 0;
    std::uint64_t early_crashes = 0;
    for (int tick = 0; tick < kTicks; ++tick) {
      for (int i = 0; i < guilty_per_tick; ++i) {
        traffic.Send({kShared, kGuilty});
      }
      const bool settled = tick >= kSettledTicks;
      if (!settled) early_crashes = traffic.crashes();
      if (tick % 3 == 0) {
        const bool sent = traffic.Send({kShared});
        if (settled) ++sound;
        if (settled && sent) ++begun;
      }
      group.Pass(kQuarantineTick);
    }
    RC_ASSERT(begun * 2 >= sound);
    RC_ASSERT(traffic.crashes() - early_crashes <= 3U);
  });
}

}  // namespace yuccapick
