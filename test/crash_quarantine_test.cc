#include "yuccapick/crash_quarantine.h"

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "test/quarantine_group.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// Time within which all gateways must act on the fifth crash.
constexpr milliseconds kLimit{3'000};

StoreTime At(std::int64_t ms) { return StoreTime(milliseconds(ms)); }

UpstreamRunId Run(std::uint64_t n) { return UpstreamRunId(n); }

const SuspectId kBad = SuspectOf(PartIdOf("bad0"));
const SuspectId kShared = SuspectOf(PartIdOf("a0"));
const SuspectId kRare = SuspectOf(PartIdOf("c0"));

}  // namespace

TEST_CASE("A part under which upstreams crash is blocked at 660 gateways") {
  QuarantineGroup group(660, 0.0, 1);
  for (std::uint64_t n = 1; n <= 5; ++n) {
    // 32 requests run at each engine; one of them has the part.
    group.Crash(Run(n), {kShared, kBad}, n * 100, 1);
    group.Crash(Run(n), {kShared}, n * 37, 31);
    group.Pass(milliseconds(100));
    for (std::size_t i = 0; i < 31; ++i) {
      group.Survive((n * 37 + i) % 660, {kShared});
    }
  }
  group.Pass(kLimit);
  CHECK(group.RefusingCount(kBad) == 660);
  CHECK(group.RefusingCount(kShared) == 0);
  // Two coordinators tell each of the others three times; all else is small.
  CHECK(group.datagrams() < 2 * 3 * 660 + 5 * 32 * 2 * 2 * 2 * 2);
}

TEST_CASE("Lost reports do not keep a crashing part from being blocked") {
  rc::prop("blocked everywhere, or by the saved decision", [] {
    const auto n = *rc::gen::inRange<std::size_t>(2, 30);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    QuarantineGroup group(n, 0.05, seed);
    for (std::uint64_t crash = 1; crash <= 5; ++crash) {
      group.Crash(Run(crash), {kShared, kBad}, (seed + crash * 7) % n, 1);
      group.Pass(milliseconds(100));
      group.Survive((seed + crash * 7) % n, {kShared});
    }
    group.Pass(milliseconds(2'000));
    RC_ASSERT(!group.saved().empty());
    for (std::size_t i = 0; i < n; ++i) {
      for (const SuspectDecision& it : group.saved()) group[i].OnDecision(it);
    }
    RC_ASSERT(group.RefusingCount(kBad) == n);
    RC_ASSERT(group.RefusingCount(kShared) == 0U);
  });
}

TEST_CASE("Parts that are answered between crashes are never blocked") {
  rc::prop("sound parts stay usable", [] {
    const auto n = *rc::gen::inRange<std::size_t>(1, 12);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto gaps =
        *rc::gen::container<std::vector<int>>(20, rc::gen::inRange(0, 10));
    QuarantineGroup group(n, 0.0, seed);
    std::uint64_t run = 0;
    for (const int gap : gaps) {
      group.Crash(Run(++run), {kShared, kBad}, (seed + run) % n, n);
      group.Pass(kQuarantineTick * (1 + gap));
      // Retried at another upstream, which answers.
      for (std::size_t i = 0; i < n; ++i) group.Survive(i, {kShared});
    }
    group.Pass(kLimit);
    RC_ASSERT(group.RefusingCount(kShared) == 0U);
    // One request is tried from time to time.
    for (std::size_t i = 0; i < n; ++i) RC_ASSERT(group[i].IsBlocked(kBad));
    RC_ASSERT(group.RefusingCount(kBad) + 1 >= n);
    RC_ASSERT(group.RefusingCount(kBad) == n);
  });
}

TEST_CASE("A rare part in two crashes is not blocked") {
  QuarantineGroup group(8, 0.0, 3);
  group.Crash(Run(1), {kRare}, 0, 1);
  group.Crash(Run(2), {kRare}, 0, 1);
  // The same crash again, as another gateway saw it.
  group.Crash(Run(2), {kRare}, 4, 3);
  group.Pass(kLimit);
  CHECK(group.RefusingCount(kRare) == 0);
}

TEST_CASE("An answer shortly after the last crash keeps a part usable") {
  QuarantineGroup group(8, 0.0, 4);
  for (std::uint64_t n = 1; n <= 3; ++n) group.Crash(Run(n), {kRare}, n, 1);
  group.Pass(milliseconds(800));
  group.Survive(2, {kRare});
  group.Pass(kLimit);
  CHECK(group.RefusingCount(kRare) == 0);
}

TEST_CASE("An answer that began after a wrong decision lifts the block") {
  QuarantineGroup group(8, 0.0, 5);
  for (std::uint64_t n = 1; n <= 3; ++n) group.Crash(Run(n), {kRare}, n, 1);
  group.Pass(kLimit);
  REQUIRE(group.RefusingCount(kRare) == 8);
  group.Survive(6, {kRare});
  CHECK(group.RefusingCount(kRare) == 0);
  CHECK_FALSE(group.saved().back().blocked);
}

TEST_CASE("A restarted gateway knows blocked parts from the store") {
  QuarantineGroup group(8, 0.0, 6);
  for (std::uint64_t n = 1; n <= 3; ++n) group.Crash(Run(n), {kBad}, n, 1);
  group.Pass(kLimit);
  for (std::size_t i = 0; i < 8; ++i) group.Restart(i);
  CHECK(group.RefusingCount(kBad) == 8);
}

TEST_CASE("After a block one gateway tries one request with the part") {
  QuarantineGroup group(8, 0.0, 7);
  for (std::uint64_t n = 1; n <= 3; ++n) group.Crash(Run(n), {kBad}, n, 1);
  group.Pass(kLimit);
  group.Pass(CrashQuarantine::Options().part.first_block);
  REQUIRE(group.RefusingCount(kBad) == 7);
  CHECK(group.RefusingCount(kBad) == 8);

  SECTION("a crash blocks it again, for much longer") {
    group.Crash(Run(4), {kBad}, 0, 8);
    const SuspectDecision& again = group.saved().back();
    CHECK(again.blocked);
    const BlockPolicy policy = CrashQuarantine::Options().part;
    CHECK(again.until - again.decided_at == policy.first_block * policy.growth);
    CHECK(group.RefusingCount(kBad) == 8);
  }
  SECTION("an answer clears it") {
    for (std::size_t i = 0; i < 8; ++i) group.Survive(i, {kBad});
    CHECK(group.RefusingCount(kBad) == 0);
  }
}

TEST_CASE("A late copy of a block does not undo its end") {
  CrashQuarantine quarantine(QuarantineGatewayName(0));
  const SuspectDecision block{kBad, true, At(10), At(9'000), 1};
  REQUIRE(quarantine.OnDecision(block));
  REQUIRE(quarantine.OnDecision({kBad, false, At(20), At(20), 0}));
  CHECK_FALSE(quarantine.OnDecision(block));
  CHECK_FALSE(quarantine.Admit({kBad}, At(30)));
}

TEST_CASE("Evidence and blocks are bounded and end") {
  CrashQuarantine::Options options;
  options.max_suspects = 50;
  CrashQuarantine quarantine(QuarantineGatewayName(0), options);
  for (std::uint64_t part = 1; part <= 500; ++part) {
    quarantine.OnCrash({SuspectOf(PartId(part))}, Run(part),
                       At(static_cast<std::int64_t>(part)));
    quarantine.OnDecision({SuspectOf(PartId(1'000 + part)), true, At(1),
                           At(static_cast<std::int64_t>(1'000 + part)), 1});
  }
  CHECK(quarantine.suspect_count() == 50);
  CHECK(quarantine.blocked_count(SuspectKind::kPart) == 50);
  quarantine.OnTick(At(0) + options.evidence_lifetime + milliseconds(1'000));
  CHECK(quarantine.suspect_count() == 0);
  quarantine.OnTick(At(10'000) + options.longest_block);
  CHECK(quarantine.blocked_count(SuspectKind::kPart) == 0);
}

TEST_CASE("The last part of a prompt is never judged") {
  CHECK(SharedPartIds({{"a0", 1}, {"bad0", 2}, {"own", 3}}) ==
        std::vector<PartId>{PartIdOf("a0"), PartIdOf("bad0")});
  CHECK(SharedPartIds({{"own", 3}}).empty());
  CHECK(SharedPartIds({}).empty());
}

}  // namespace yuccapick
