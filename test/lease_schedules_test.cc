#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "test/lease_world.h"
#include "yuccapick/lease.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

TEST_CASE("Two processes never hold the lease at once") {
  rc::prop("one holder at a time, each with a higher token", [] {
    FakeRow table;
    std::vector<LeaseProcess> processes;
    for (int i = 0; i < 3; ++i) {
      processes.emplace_back(table, "router-" + std::to_string(i), 1);
    }
    const auto steps =
        *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 8),
                           rc::gen::element(10, 300, 1'000, 3'500)));
    TimePoint now = kLeaseStart;
    std::map<std::uint64_t, int> owners;
    for (const auto& [who, fate, elapsed] : steps) {
      now += milliseconds(elapsed);
      processes[who].Step(static_cast<Fate>(fate < 4 ? fate : 0), now);
      if (fate == 7) processes[who].lease().Release();
      int holders = 0;
      for (int i = 0; i < 3; ++i) {
        if (!processes[i].lease().IsHeld(now)) continue;
        ++holders;
        const std::uint64_t fence = processes[i].lease().fence(now).value;
        RC_ASSERT(owners.emplace(fence, i).first->second == i);
        RC_ASSERT(fence == owners.rbegin()->first);
      }
      RC_ASSERT(holders <= 1);
    }
  });
}

/// Two processes whose clocks drift apart by what the options allow.
class DriftingPair {
 public:
  /// @param slower, faster parts in a hundred of the allowed drift
  DriftingPair(int slower, int faster) {
    const double drift = LeaseOptions().drift;
    // A clock that runs fast makes its owner observe a term too short.
    rates_[0] = 1.0 - drift * slower / 100.0;
    rates_[1] = 1.0 + drift * faster / 100.0;
    processes_.emplace_back(table_, "router-0", 1);
    processes_.emplace_back(table_, "router-1", 1);
  }
  DriftingPair(const DriftingPair&) = delete;
  DriftingPair& operator=(const DriftingPair&) = delete;

  /// Lets true time pass.
  void Pass(milliseconds time) { elapsed_ += time; }
  void Step(int who, Fate fate) { processes_[who].Step(fate, Local(who)); }
  /// Each hears of the other's last renewal, if the other holds the lease.
  void Gossip() {
    for (int who = 0; who < 2; ++who) {
      const Lease& other = processes_[1 - who].lease();
      if (!other.IsHeld(Local(1 - who))) continue;
      processes_[who].lease().OnWriteReported(other.confirmed_write(),
                                              Local(who));
    }
  }

  milliseconds elapsed() const { return elapsed_; }
  int Holders() {
    int holders = 0;
    for (int who = 0; who < 2; ++who) {
      holders += processes_[who].lease().IsHeld(Local(who)) ? 1 : 0;
    }
    return holders;
  }

 private:
  TimePoint Local(int who) const {
    return kLeaseStart + std::chrono::duration_cast<std::chrono::nanoseconds>(
                             elapsed_ * rates_[who]);
  }

  FakeRow table_;
  std::vector<LeaseProcess> processes_;
  double rates_[2] = {1.0, 1.0};
  milliseconds elapsed_{0};
};

/// With pauses and lost answers, and then without.
TEST_CASE("Holders with drifting clocks never overlap") {
  rc::prop("one holder at a time in true time, and one in the end", [] {
    constexpr milliseconds kStep{70};
    DriftingPair pair(*rc::gen::inRange(0, 100), *rc::gen::inRange(0, 100));
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int>>>(
        120, rc::gen::tuple(rc::gen::inRange(0, 16), rc::gen::inRange(0, 12)));
    milliseconds paused_until{0};
    for (const auto& [pause, fate] : steps) {
      pair.Pass(kStep);
      // The first holder pauses now and then, for up to five seconds.
      if (pause == 0) paused_until = pair.elapsed() + milliseconds(5'000);
      const Fate now_fate =
          fate < 3 ? static_cast<Fate>(fate) : Fate::kAnswered;
      if (pair.elapsed() >= paused_until) pair.Step(0, now_fate);
      pair.Step(1, now_fate);
      if (fate == 4) pair.Gossip();
      RC_ASSERT(pair.Holders() <= 1);
    }
    // Once calls are answered, whatever came before, somebody holds it.
    const milliseconds end = pair.elapsed() + 2 * LeaseOptions().term;
    while (pair.elapsed() < end) {
      pair.Pass(kStep);
      pair.Step(0, Fate::kAnswered);
      pair.Step(1, Fate::kAnswered);
      RC_ASSERT(pair.Holders() <= 1);
    }
    RC_ASSERT(pair.Holders() == 1);
  });
}

/// Depth-first search over every schedule of two processes.
class Explorer {
 public:
  struct World {
    FakeRow table;
    Lease leases[2];
    std::optional<LeaseAction> calls[2];
    TimePoint now = kLeaseStart;
  };

  std::size_t states() const { return states_; }
  std::size_t violations() const { return violations_; }
  std::size_t held() const { return held_; }

  void Explore(const World& world, int depth) {
    ++states_;
    Check(world);
    if (depth == 0) return;
    for (int who = 0; who < 2; ++who) Step(world, who, depth);
    for (const int elapsed : {400, 3'100}) {
      World next = world;
      next.now += milliseconds(elapsed);
      Explore(next, depth - 1);
    }
  }

 private:
  void Check(const World& world) {
    const bool first = world.leases[0].IsHeld(world.now);
    const bool second = world.leases[1].IsHeld(world.now);
    if (first || second) ++held_;
    if (first && second) ++violations_;
  }

  /// Stalls the process's call, or ends it in every way.
  void Step(const World& world, int who, int depth) {
    World next = world;
    const bool fresh = !next.calls[who];
    if (fresh) next.calls[who] = next.leases[who].OnTick(next.now);
    if (!next.calls[who]) return;
    if (fresh) Explore(next, depth - 1);
    Deliver(next, who, depth);
  }

  void Deliver(const World& world, int who, int depth) {
    for (const Fate fate :
         {Fate::kAnswered, Fate::kLost, Fate::kLostAfterEffect}) {
      World next = world;
      const LeaseAction call = *next.calls[who];
      next.calls[who].reset();
      if (const auto* commit = std::get_if<LeaseCommit>(&call)) {
        CommitResult result{WriteResult::kUnknown, {}};
        const bool sent = fate != Fate::kLost;
        const bool applied = sent && next.table.Apply(commit->transaction);
        if (fate == Fate::kAnswered) {
          result.result =
              applied ? WriteResult::kApplied : WriteResult::kNotApplied;
        }
        next.leases[who].OnCommitted(result, next.now);
      } else if (fate == Fate::kAnswered) {
        next.leases[who].OnRead(next.table.row, next.now);
      } else if (fate == Fate::kLost) {
        next.leases[who].OnRead(std::nullopt, next.now);
      } else {
        continue;
      }
      Explore(next, depth - 1);
    }
  }

  std::size_t states_ = 0;
  std::size_t violations_ = 0;
  std::size_t held_ = 0;
};

void ExploreFrom(const Explorer::World& world, int depth) {
  Explorer explorer;
  explorer.Explore(world, depth);
  CHECK(explorer.violations() == 0);
  CHECK(explorer.held() > 0);
  INFO("states: " << explorer.states());
  CHECK(explorer.states() > 10'000);
}

Explorer::World FreeLease() {
  const LeaseOptions one{kLeaseKey, "router-1", Incarnation(1)};
  const LeaseOptions two{kLeaseKey, "router-2", Incarnation(1)};
  return {FakeRow(), {Lease(one), Lease(two)}, {}, kLeaseStart};
}

TEST_CASE("No schedule from a free lease has two holders") {
  ExploreFrom(FreeLease(), 7);
}

TEST_CASE("No schedule from a held and observed lease has two holders") {
  Explorer::World world = FreeLease();
  world.leases[0].OnTick(world.now);
  world.leases[0].OnRead(world.table.row, world.now);
  world.now += milliseconds(400);
  const auto write = world.leases[0].OnTick(world.now);
  REQUIRE(write.has_value());
  REQUIRE(world.table.Apply(std::get<LeaseCommit>(*write).transaction));
  world.leases[0].OnCommitted({WriteResult::kApplied, {}}, world.now);
  world.leases[1].OnTick(world.now);
  world.leases[1].OnRead(world.table.row, world.now);
  ExploreFrom(world, 8);
}

}  // namespace
}  // namespace yuccapick
