#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "test/lease_test_util.h"
#include "yuccapick/lease.h"
#include "yuccapick/store_generation.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// Rows with compare-and-set, and copies of them that come back.
struct RestorableTable {
  std::map<std::string, TableRow> rows;
  std::uint64_t version = 0;
  StoreGeneration generation{1};

  TableRow Read(const std::string& key) const {
    const auto it = rows.find(key);
    return it == rows.end() ? TableRow{key, "", 0} : it->second;
  }
  bool Apply(const TableTransaction& transaction) {
    const TableCheck& check = transaction.checks[0];
    if (Read(check.key).version != check.version) return false;
    const TablePut& put = transaction.puts[0];
    rows[put.key] = {put.key, put.value, ++version};
    return true;
  }
  void Restore(const RestorableTable& copy) {
    rows = copy.rows;
    version = copy.version;
    generation = generation.Next();
  }
};

enum class Step : std::uint8_t {
  kAnswered,
  kLost,
  kLostAfterEffect,
  kAnswerLate,  ///< Takes effect; the answer comes with a later step.
  kStalled,     ///< Takes effect with a later step.
  kRestore,     ///< The store comes back from a copy.
  kCopy,
  kRelease
};

/// A process that judges each answer by its generation.
class Contender {
 public:
  Contender(RestorableTable& table, const std::string& name)
      : table_(table), lease_({kLeaseKey, name, Incarnation(1)}) {}

  void Do(Step step, TimePoint now) {
    if (!call_) Begin(now);
    if (!call_ || step >= Step::kStalled) return;
    if (step != Step::kLost && !answer_) Execute();
    if (step == Step::kAnswerLate) return;
    const bool answered = step == Step::kAnswered;
    const std::optional<Answer> answer = std::exchange(answer_, std::nullopt);
    const LeaseAction call = *std::exchange(call_, std::nullopt);
    Deliver(call, answered ? answer : std::nullopt, now);
  }
  Lease& lease() { return lease_; }

 private:
  struct Answer {
    TableRow row;
    bool applied = false;
    StoreGeneration generation;
  };

  void Begin(TimePoint now) {
    call_ = lease_.OnTick(now);
    asked_in_ = generations_.current();
    key_ = lease_.RowKey();
  }
  void Execute() {
    Answer answer;
    answer.generation = table_.generation;
    if (const auto* commit = std::get_if<LeaseCommit>(&*call_)) {
      answer.applied = table_.Apply(commit->transaction);
    } else {
      answer.row = table_.Read(key_);
    }
    answer_ = answer;
  }
  void Deliver(const LeaseAction& call, std::optional<Answer> answer,
               TimePoint now) {
    if (answer) {
      const GenerationVerdict verdict =
          generations_.OnAnswer({answer->generation, true}, asked_in_);
      if (verdict == GenerationVerdict::kNewer) {
        lease_.OnGeneration(generations_.current(), now);
      }
      if (!IsUsable(verdict)) answer.reset();
    }
    if (std::holds_alternative<LeaseRead>(call)) {
      if (!answer) return lease_.OnRead(std::nullopt, now);
      return lease_.OnRead(answer->row, now);
    }
    CommitResult result;
    if (answer) {
      result.result =
          answer->applied ? WriteResult::kApplied : WriteResult::kNotApplied;
    }
    lease_.OnCommitted(result, now);
  }

  RestorableTable& table_;
  Lease lease_;
  StoreGenerations generations_;
  std::optional<LeaseAction> call_;
  std::string key_;
  StoreGeneration asked_in_;
  std::optional<Answer> answer_;
};

TimePoint Run(Contender& one, Contender* two, TimePoint now, milliseconds time,
              const std::function<void(TimePoint)>& check) {
  for (const TimePoint end = now + time; now < end; now += milliseconds(50)) {
    one.Do(Step::kAnswered, now);
    if (two != nullptr) two->Do(Step::kAnswered, now);
    check(now);
  }
  return now;
}

TEST_CASE("A new generation's first holder waits out the lost one's term") {
  RestorableTable table;
  Contender one(table, "a");
  Contender two(table, "b");
  const RestorableTable empty = table;
  TimePoint now =
      Run(one, nullptr, kLeaseStart, milliseconds(6'000), [](TimePoint) {});
  const FencingToken lost = one.lease().fence(now);
  REQUIRE(lost != FencingToken());
  table.Restore(empty);
  // The holder hears nothing of the change until its term is over.
  const TimePoint end = now + milliseconds(6'000);
  for (; now < end; now += milliseconds(50)) {
    two.Do(Step::kAnswered, now);
    CHECK_FALSE((one.lease().IsHeld(now) && two.lease().IsHeld(now)));
  }
  CHECK(two.lease().fence(now) > lost);
  CHECK(two.lease().predecessor_note().empty());
}

TEST_CASE("A lost token is not used again by another holder") {
  RestorableTable table;
  Contender one(table, "a");
  Contender two(table, "b");
  const auto ignore = [](TimePoint) {};
  TimePoint now = Run(one, nullptr, kLeaseStart, milliseconds(6'000), ignore);
  one.lease().Release("note");
  now = Run(one, nullptr, now, milliseconds(1'000), ignore);
  const RestorableTable before_second = table;
  now = Run(two, nullptr, now, milliseconds(1'000), ignore);
  const FencingToken lost = two.lease().fence(now);
  REQUIRE(lost != FencingToken());
  table.Restore(before_second);
  Contender three(table, "c");
  now = Run(three, nullptr, now, milliseconds(6'000), ignore);
  CHECK(three.lease().fence(now) > lost);
}

TEST_CASE("A write that lands in a later generation gives no lease") {
  RestorableTable table;
  Contender one(table, "a");
  const auto ignore = [](TimePoint) {};
  TimePoint now = Run(one, nullptr, kLeaseStart, milliseconds(6'000), ignore);
  REQUIRE(one.lease().IsHeld(now));
  // The next renewal is sent, and takes effect after the change; the row is the
  // same as before in the copy.
  const RestorableTable copy = table;
  while (!one.lease().busy()) one.Do(Step::kStalled, now += milliseconds(50));
  table.Restore(copy);
  one.Do(Step::kAnswered, now += milliseconds(50));
  CHECK_FALSE(one.lease().IsHeld(now));
}

rc::Gen<Step> AnyStep() {
  return rc::gen::weightedElement<Step>({{60, Step::kAnswered},
                                         {4, Step::kLost},
                                         {4, Step::kLostAfterEffect},
                                         {8, Step::kAnswerLate},
                                         {8, Step::kStalled},
                                         {2, Step::kRestore},
                                         {12, Step::kCopy},
                                         {1, Step::kRelease}});
}

TEST_CASE("Over any changes of the generation, no token has two holders") {
  rc::prop("random copies that come back, and calls that are late or lost", [] {
    RestorableTable table;
    std::vector<RestorableTable> copies{table};
    std::vector<Contender> processes;
    for (int i = 0; i < 3; ++i) {
      processes.emplace_back(table, "gateway-" + std::to_string(i));
    }
    const auto steps =
        *rc::gen::container<std::vector<std::tuple<int, Step, int>>>(
            300, rc::gen::tuple(rc::gen::element(0, 1, 2), AnyStep(),
                                rc::gen::element(10, 50, 300, 1'000)));
    TimePoint now = kLeaseStart;
    std::map<FencingToken, int> owners;
    for (const auto& [index, step, elapsed] : steps) {
      now += milliseconds(elapsed);
      if (step == Step::kCopy) copies.push_back(table);
      if (step == Step::kRelease) processes[index].lease().Release();
      if (step == Step::kRestore) {
        const auto i = *rc::gen::inRange<std::size_t>(0, copies.size());
        table.Restore(copies[i]);
      }
      processes[index].Do(step, now);
      int holders = 0;
      for (int i = 0; i < 3; ++i) {
        if (!processes[i].lease().IsHeld(now)) continue;
        ++holders;
        const FencingToken fence = processes[i].lease().fence(now);
        RC_ASSERT(owners.emplace(fence, i).first->second == i);
        RC_ASSERT(fence == owners.rbegin()->first);
      }
      RC_ASSERT(holders <= 1);
    }
    RC_CLASSIFY(owners.size() > 1, "several holders");
    RC_CLASSIFY(table.generation > StoreGeneration(2), "several changes");
  });
}

}  // namespace
}  // namespace yuccapick
