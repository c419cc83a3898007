#ifndef YUCCAPICK_TEST_LEASE_WORLD_H_
#define YUCCAPICK_TEST_LEASE_WORLD_H_

/// @file
/// Processes that want one lease, and the row that it is kept in.

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "yuccapick/lease.h"

namespace yuccapick {

inline constexpr const char* kLeaseKey = "lease/planner";
inline const TimePoint kLeaseStart{std::chrono::seconds(1000)};

/// What a step does to the call of one process.
enum class Fate : std::uint8_t { kAnswered, kLost, kLostAfterEffect, kStalled };

/// One row with compare-and-set.
struct FakeRow {
  TableRow row{kLeaseKey, "", 0};

  bool Apply(const TableTransaction& transaction) {
    if (transaction.checks[0].version != row.version) return false;
    row = {kLeaseKey, transaction.puts[0].value, row.version + 1};
    return true;
  }
};

/// A process with its own steady clock, which may be paused.
class LeaseProcess {
 public:
  LeaseProcess(FakeRow& table, std::string name, std::uint64_t incarnation)
      : table_(table),
        lease_({kLeaseKey, std::move(name), Incarnation(incarnation)}) {}
  LeaseProcess(FakeRow& table, const LeaseOptions& options)
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

/// Steps the process every 50 ms, its calls answered, for `time`.
inline TimePoint Run(LeaseProcess& process, TimePoint now,
                     std::chrono::milliseconds time) {
  const TimePoint end = now + time;
  for (; now < end; now += std::chrono::milliseconds(50)) {
    process.Step(Fate::kAnswered, now);
  }
  return now;
}

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_LEASE_WORLD_H_
