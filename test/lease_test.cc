#include "yuccapick/lease.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <set>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr const char* kKey = "lease/planner";
const TimePoint kStart{std::chrono::seconds(1000)};

/// What a step does to the call of one process.
enum class Fate { kAnswered, kLost, kLostAfterEffect, kStalled };

/// One row with compare-and-set.
struct FakeRow {
  TableRow row{kKey, "", 0};

  bool Apply(const TableTransaction& transaction) {
    if (transaction.checks[0].version != row.version) return false;
    row = {kKey, transaction.puts[0].value, row.version + 1};
    return true;
  }
};

/// A process with its own steady clock, which may be paused.
class Process {
 public:
  Process(FakeRow& table, std::string name, std::uint64_t life)
      : table_(table), lease_({kKey, std::move(name), Incarnation(life)}) {}
  Process(FakeRow& table, const LeaseOptions& options)
      : table_(table), lease_(options) {}

  void Step(Fate fate, TimePoint now) {
    if (!call_) call_ = lease_.OnTick(now);
    if (!call_ || fate == Fate::kStalled) return;
    const LeaseAction call = *std::exchange(call_, std::nullopt);
    if (const auto* commit = std::get_if<LeaseCommit>(&call)) {
      Answer(*commit, fate, now);
    } else if (fate == Fate::kAnswered) {
      lease_.OnRead(table_.row, now);
    } else {
      lease_.OnRead(std::nullopt, now);
    }
  }

  Lease& lease() { return lease_; }

 private:
  void Answer(const LeaseCommit& commit, Fate fate, TimePoint now) {
    CommitResult result{WriteResult::kUnknown, {}};
    if (fate != Fate::kLost) {
      const bool applied = table_.Apply(commit.transaction);
      if (fate == Fate::kAnswered) {
        result.result =
            applied ? WriteResult::kApplied : WriteResult::kNotApplied;
      }
    }
    lease_.OnCommitted(result, now);
  }

  FakeRow& table_;
  Lease lease_;
  std::optional<LeaseAction> call_;
};

TimePoint Run(Process& process, TimePoint now, milliseconds time) {
  const TimePoint end = now + time;
  for (; now < end; now += milliseconds(50)) {
    process.Step(Fate::kAnswered, now);
  }
  return now;
}

TEST_CASE("The first process acquires the lease and keeps it") {
  FakeRow table;
  Process one(table, "router-1", 1);
  TimePoint now = Run(one, kStart, milliseconds(2'000));
  CHECK(one.lease().fence(now) == FencingToken(1));
  now = Run(one, now, milliseconds(20'000));
  CHECK(one.lease().fence(now) == FencingToken(1));
}

TEST_CASE("A lease handed back passes at once, with a higher token") {
  FakeRow table;
  Process one(table, "router-1", 1);
  Process two(table, "router-2", 1);
  TimePoint now = Run(one, kStart, milliseconds(1'000));
  one.lease().HandBack();
  now = Run(one, now, milliseconds(1'000));
  CHECK_FALSE(one.lease().MayAct(now));
  CHECK(one.lease().released());
  now = Run(two, now, milliseconds(1'000));
  CHECK(two.lease().fence(now) == FencingToken(2));
}

TEST_CASE("A paused holder finds out before it acts") {
  FakeRow table;
  Process one(table, "router-1", 1);
  Process two(table, "router-2", 1);
  TimePoint now = Run(one, kStart, milliseconds(1'000));
  now = Run(two, now, milliseconds(5'000));
  CHECK(two.lease().MayAct(now));
  CHECK_FALSE(one.lease().MayAct(now));
  CHECK(two.lease().fence(now) > FencingToken(1));
}

TEST_CASE("A lost answer that took effect is settled by a read") {
  FakeRow table;
  Process one(table, "router-1", 1);
  one.Step(Fate::kAnswered, kStart);
  one.Step(Fate::kLostAfterEffect, kStart + milliseconds(400));
  CHECK_FALSE(one.lease().MayAct(kStart + milliseconds(400)));
  one.Step(Fate::kAnswered, kStart + milliseconds(800));
  CHECK(one.lease().MayAct(kStart + milliseconds(800)));
}

TEST_CASE("Two processes never hold the lease at once") {
  rc::prop("one holder at a time, each with a higher token", [] {
    FakeRow table;
    std::vector<Process> processes;
    for (int i = 0; i < 3; ++i) {
      processes.emplace_back(table, "router-" + std::to_string(i), 1);
    }
    const auto steps =
        *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 8),
                           rc::gen::element(10, 300, 1'000, 3'500)));
    TimePoint now = kStart;
    std::map<std::uint64_t, int> owners;
    for (const auto& [who, fate, elapsed] : steps) {
      now += milliseconds(elapsed);
      processes[who].Step(static_cast<Fate>(fate < 4 ? fate : 0), now);
      if (fate == 7) processes[who].lease().HandBack();
      int holders = 0;
      for (int i = 0; i < 3; ++i) {
        if (!processes[i].lease().MayAct(now)) continue;
        ++holders;
        const std::uint64_t fence = processes[i].lease().fence(now).value;
        RC_ASSERT(owners.emplace(fence, i).first->second == i);
        RC_ASSERT(fence == owners.rbegin()->first);
      }
      RC_ASSERT(holders <= 1);
    }
  });
}

TEST_CASE("A holder does not act while its hand-back is under way") {
  FakeRow table;
  Process one(table, "router-1", 1);
  const TimePoint now = Run(one, kStart, milliseconds(1'000));
  REQUIRE(one.lease().MayAct(now));
  one.lease().HandBack();
  TimePoint later = now;
  // The write is sent, and its answer does not come.
  for (int i = 0; i < 20 && one.lease().MayAct(later); ++i) {
    later += milliseconds(50);
    one.Step(Fate::kStalled, later);
  }
  CHECK(one.lease().busy());
  CHECK_FALSE(one.lease().MayAct(later));
}

TEST_CASE("What a holder hands back is told to the next") {
  FakeRow table;
  Process one(table, "router-1", 1);
  Process two(table, "router-2", 1);
  TimePoint now = Run(one, kStart, milliseconds(1'000));
  one.lease().HandBack("note for the next");
  now = Run(one, now, milliseconds(1'000));
  now = Run(two, now, milliseconds(1'000));
  REQUIRE(two.lease().MayAct(now));
  CHECK(two.lease().predecessor().empty());
  CHECK(two.lease().predecessor_note() == "note for the next");
}

TEST_CASE("A note is written at once and outlives the holder") {
  FakeRow table;
  Process first(table, "a", 1);
  TimePoint now = kStart;
  first.Step(Fate::kAnswered, now);
  first.Step(Fate::kAnswered, now += milliseconds(300));
  REQUIRE(first.lease().MayAct(now));
  first.lease().SetNote("orders");
  first.Step(Fate::kAnswered, now += milliseconds(10));
  first.Step(Fate::kAnswered, now);
  CHECK(ParseLease(table.row.value)->note == "orders");
  // The first dies. Its note stays until the second has one of its own.
  Process second(table, "b", 2);
  while (!second.lease().MayAct(now)) {
    second.Step(Fate::kAnswered, now += milliseconds(100));
  }
  CHECK(second.lease().predecessor() == "a");
  CHECK(second.lease().predecessor_note() == "orders");
  CHECK(ParseLease(table.row.value)->note == "orders");
  second.lease().SetNote("other orders");
  second.Step(Fate::kAnswered, now);
  second.Step(Fate::kAnswered, now);
  CHECK(ParseLease(table.row.value)->note == "other orders");
  CHECK(second.lease().MayAct(now));
}

TEST_CASE("A restarted process takes its own former lease at once") {
  FakeRow table;
  LeaseOptions options{kKey, "router-1", Incarnation(1)};
  options.one_life_at_a_time = true;
  Process before(table, options);
  TimePoint now = Run(before, kStart, milliseconds(1'000));
  options.life = Incarnation(2);
  Process after(table, options);
  now = Run(after, now, milliseconds(700));
  CHECK(after.lease().MayAct(now));
  CHECK(after.lease().fence(now) == FencingToken(2));
  CHECK(after.lease().predecessor() == "router-1");
}

/// Two processes whose clocks drift apart by what the options allow, with
/// pauses and lost answers.
TEST_CASE("Holders with drifting clocks never overlap") {
  rc::prop("one holder at a time in true time", [] {
    FakeRow table;
    const double drift = LeaseOptions().drift;
    // A clock that runs fast makes its owner observe a term too short.
    const double rates[2] = {1.0 - drift * *rc::gen::inRange(0, 100) / 100.0,
                             1.0 + drift * *rc::gen::inRange(0, 100) / 100.0};
    std::vector<Process> processes;
    processes.emplace_back(table, "router-0", 1);
    processes.emplace_back(table, "router-1", 1);
    const auto local = [&rates](int who, milliseconds elapsed) {
      return kStart + std::chrono::duration_cast<std::chrono::nanoseconds>(
                          elapsed * rates[who]);
    };
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int>>>(
        120, rc::gen::tuple(rc::gen::inRange(0, 16), rc::gen::inRange(0, 12)));
    milliseconds elapsed{0};
    int acted[2] = {0, 0};
    milliseconds paused_until{0};
    for (const auto& [pause, fate] : steps) {
      elapsed += milliseconds(70);
      // The first holder pauses now and then, for up to five seconds.
      if (pause == 0) paused_until = elapsed + milliseconds(5'000);
      for (int who = 0; who < 2; ++who) {
        if (who == 0 && elapsed < paused_until) continue;
        const Fate now_fate =
            fate < 3 ? static_cast<Fate>(fate) : Fate::kAnswered;
        processes[who].Step(now_fate, local(who, elapsed));
      }
      for (int who = 0; who < 2; ++who) {
        const Lease& other = processes[1 - who].lease();
        if (fate == 4 && other.MayAct(local(1 - who, elapsed))) {
          processes[who].lease().OnHeard(other.confirmed(),
                                         local(who, elapsed));
        }
      }
      const bool first = processes[0].lease().MayAct(local(0, elapsed));
      const bool second = processes[1].lease().MayAct(local(1, elapsed));
      acted[0] += first ? 1 : 0;
      acted[1] += second ? 1 : 0;
      RC_ASSERT(!(first && second));
    }
    RC_ASSERT(acted[0] + acted[1] > 0);
  });
}

TEST_CASE("An observer that heard of the last renewal takes over sooner") {
  FakeRow table;
  Process holder(table, "a", 1);
  Process observer(table, "b", 2);
  TimePoint now = Run(holder, kStart, milliseconds(1'000));
  REQUIRE(holder.lease().MayAct(now));
  observer.lease().OnHeard(holder.lease().confirmed(), now);
  // The holder dies; the observer asks the store only a second later.
  const TimePoint died = now;
  now += milliseconds(1'000);
  while (!observer.lease().MayAct(now)) {
    observer.Step(Fate::kAnswered, now += milliseconds(50));
  }
  const LeaseOptions options;
  CHECK(now - died >= options.term);
  CHECK(now - died < options.term + milliseconds(600));
}

TEST_CASE("What was heard of an older renewal is no reason to take over") {
  FakeRow table;
  Process holder(table, "a", 1);
  Process observer(table, "b", 2);
  TimePoint now = Run(holder, kStart, milliseconds(1'000));
  observer.lease().OnHeard(holder.lease().confirmed(), now);
  now = Run(holder, now, milliseconds(2'900));
  const TimePoint first_read = now;
  while (!observer.lease().MayAct(now)) {
    observer.Step(Fate::kAnswered, now += milliseconds(50));
  }
  CHECK(now - first_read >= LeaseOptions().term);
}

TEST_CASE("An observer with a fast clock waits for the whole term") {
  FakeRow table;
  Process holder(table, "router-1", 1);
  Process observer(table, "router-2", 1);
  const LeaseOptions options;
  TimePoint now = Run(holder, kStart, milliseconds(600));
  // The holder's last renewal is seen at once; then nothing more comes.
  TimePoint seen = now;
  observer.Step(Fate::kAnswered, seen);
  const auto term = std::chrono::duration_cast<std::chrono::nanoseconds>(
      options.term * (1.0 + options.drift));
  for (TimePoint t = seen; t < seen + term; t += milliseconds(20)) {
    observer.Step(Fate::kAnswered, t);
    CHECK_FALSE(observer.lease().MayAct(t));
  }
}

/// Depth-first search over every schedule of two processes.
class Explorer {
 public:
  struct World {
    FakeRow table;
    Lease leases[2];
    std::optional<LeaseAction> calls[2];
    TimePoint now = kStart;
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
    const bool first = world.leases[0].MayAct(world.now);
    const bool second = world.leases[1].MayAct(world.now);
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
  const LeaseOptions one{kKey, "router-1", Incarnation(1)};
  const LeaseOptions two{kKey, "router-2", Incarnation(1)};
  return {FakeRow(), {Lease(one), Lease(two)}, {}, kStart};
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
