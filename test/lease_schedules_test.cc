#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "test/lease_test_util.h"
#include "yuccapick/lease.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

TEST_CASE("Two processes never hold the lease at the same time") {
  rc::prop("one holder at a time, each with a higher token", [] {
    FakeLeaseTable table;
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
    for (const auto& [index, outcome, elapsed] : steps) {
      now += milliseconds(elapsed);
      processes[index].Step(static_cast<CallOutcome>(outcome < 4 ? outcome : 0),
                            now);
      if (outcome == 7) processes[index].lease().Release();
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

/// Two processes whose clocks drift apart within `max_clock_drift`.
class DriftingClockPair {
 public:
  /// @param slower, faster percentage of the allowed drift
  DriftingClockPair(int slower, int faster) {
    const double max_clock_drift = LeaseOptions().max_clock_drift;
    // An observer with a fast clock sees a term end too early.
    rates_[0] = 1.0 - max_clock_drift * slower / 100.0;
    rates_[1] = 1.0 + max_clock_drift * faster / 100.0;
    processes_.emplace_back(table_, "router-0", 1);
    processes_.emplace_back(table_, "router-1", 1);
  }
  DriftingClockPair(const DriftingClockPair&) = delete;
  DriftingClockPair& operator=(const DriftingClockPair&) = delete;

  /// Advances the true time.
  void AdvanceTime(milliseconds time) { elapsed_ += time; }
  void Step(int index, CallOutcome outcome) {
    processes_[index].Step(outcome, Local(index));
  }
  /// Reports each holder's last renewal to the other process.
  void ExchangeReports() {
    for (int index = 0; index < 2; ++index) {
      const Lease& other = processes_[1 - index].lease();
      if (!other.IsHeld(Local(1 - index))) continue;
      processes_[index].lease().OnWriteReported(other.confirmed_write(),
                                                Local(index));
    }
  }

  milliseconds elapsed() const { return elapsed_; }
  int Holders() {
    int holders = 0;
    for (int index = 0; index < 2; ++index) {
      holders += processes_[index].lease().IsHeld(Local(index)) ? 1 : 0;
    }
    return holders;
  }

 private:
  TimePoint Local(int index) const {
    return kLeaseStart + std::chrono::duration_cast<std::chrono::nanoseconds>(
                             elapsed_ * rates_[index]);
  }

  FakeLeaseTable table_;
  std::vector<LeaseProcess> processes_;
  double rates_[2] = {1.0, 1.0};
  milliseconds elapsed_{0};
};

/// First with pauses and lost responses, then without.
TEST_CASE("Holders with drifting clocks never overlap") {
  rc::prop("one holder at a time in true time, and one at the end", [] {
    constexpr milliseconds kStep{70};
    DriftingClockPair pair(*rc::gen::inRange(0, 100),
                           *rc::gen::inRange(0, 100));
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int>>>(
        120, rc::gen::tuple(rc::gen::inRange(0, 16), rc::gen::inRange(0, 12)));
    milliseconds paused_until{0};
    for (const auto& [pause, outcome] : steps) {
      pair.AdvanceTime(kStep);
      // Process 0 pauses now and then for up to five seconds.
      if (pause == 0) paused_until = pair.elapsed() + milliseconds(5'000);
      const CallOutcome current_outcome =
          outcome < 3 ? static_cast<CallOutcome>(outcome)
                      : CallOutcome::kAnswered;
      if (pair.elapsed() >= paused_until) pair.Step(0, current_outcome);
      pair.Step(1, current_outcome);
      if (outcome == 4) pair.ExchangeReports();
      RC_ASSERT(pair.Holders() <= 1);
    }
    // Once all calls are answered, one process acquires the lease.
    const milliseconds end = pair.elapsed() + 2 * LeaseOptions().term;
    while (pair.elapsed() < end) {
      pair.AdvanceTime(kStep);
      pair.Step(0, CallOutcome::kAnswered);
      pair.Step(1, CallOutcome::kAnswered);
      RC_ASSERT(pair.Holders() <= 1);
    }
    RC_ASSERT(pair.Holders() == 1);
  });
}

/// Depth-first search over every schedule of two processes.
class ScheduleExplorer {
 public:
  struct State {
    FakeLeaseTable table;
    Lease leases[2];
    std::optional<LeaseAction> calls[2];
    TimePoint now = kLeaseStart;
  };

  std::size_t states() const { return states_; }
  std::size_t violations() const { return violations_; }
  std::size_t held() const { return held_; }

  void Explore(const State& state, int depth) {
    ++states_;
    Check(state);
    if (depth == 0) return;
    for (int index = 0; index < 2; ++index) Step(state, index, depth);
    for (const int elapsed : {400, 3'100}) {
      State next = state;
      next.now += milliseconds(elapsed);
      Explore(next, depth - 1);
    }
  }

 private:
  void Check(const State& state) {
    const bool first = state.leases[0].IsHeld(state.now);
    const bool second = state.leases[1].IsHeld(state.now);
    if (first || second) ++held_;
    if (first && second) ++violations_;
  }

  /// Starts the process's call and leaves it pending, and also completes it
  /// with every outcome.
  void Step(const State& state, int index, int depth) {
    State next = state;
    const bool call_started = !next.calls[index];
    if (call_started) next.calls[index] = next.leases[index].OnTick(next.now);
    if (!next.calls[index]) return;
    if (call_started) Explore(next, depth - 1);
    Deliver(next, index, depth);
  }

  void Deliver(const State& state, int index, int depth) {
    for (const CallOutcome outcome :
         {CallOutcome::kAnswered, CallOutcome::kLost,
          CallOutcome::kLostAfterEffect}) {
      State next = state;
      const LeaseAction call = *next.calls[index];
      next.calls[index].reset();
      if (const auto* commit = std::get_if<LeaseCommit>(&call)) {
        CommitResult result{WriteResult::kUnknown, {}};
        const bool sent = outcome != CallOutcome::kLost;
        const bool applied = sent && next.table.Apply(commit->transaction);
        if (outcome == CallOutcome::kAnswered) {
          result.result =
              applied ? WriteResult::kApplied : WriteResult::kNotApplied;
        }
        next.leases[index].OnCommitted(result, next.now);
      } else if (outcome == CallOutcome::kAnswered) {
        next.leases[index].OnRead(next.table.row, next.now);
      } else if (outcome == CallOutcome::kLost) {
        next.leases[index].OnRead(std::nullopt, next.now);
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

void ExploreFrom(const ScheduleExplorer::State& state, int depth) {
  ScheduleExplorer explorer;
  explorer.Explore(state, depth);
  CHECK(explorer.violations() == 0);
  CHECK(explorer.held() > 0);
  INFO("states: " << explorer.states());
  CHECK(explorer.states() > 10'000);
}

ScheduleExplorer::State FreeLease() {
  const LeaseOptions one{kLeaseKey, "router-1", Incarnation(1)};
  const LeaseOptions two{kLeaseKey, "router-2", Incarnation(1)};
  return {FakeLeaseTable(), {Lease(one), Lease(two)}, {}, kLeaseStart};
}

TEST_CASE("No schedule from a free lease has two holders") {
  ExploreFrom(FreeLease(), 7);
}

TEST_CASE("No schedule from a held and observed lease has two holders") {
  ScheduleExplorer::State state = FreeLease();
  state.leases[0].OnTick(state.now);
  state.leases[0].OnRead(state.table.row, state.now);
  state.now += milliseconds(400);
  const auto write = state.leases[0].OnTick(state.now);
  REQUIRE(write.has_value());
  REQUIRE(state.table.Apply(std::get<LeaseCommit>(*write).transaction));
  state.leases[0].OnCommitted({WriteResult::kApplied, {}}, state.now);
  state.leases[1].OnTick(state.now);
  state.leases[1].OnRead(state.table.row, state.now);
  ExploreFrom(state, 8);
}

}  // namespace
}  // namespace yuccapick
