#ifndef YUCCAPICK_TEST_LEASE_TEST_UTIL_H_
#define YUCCAPICK_TEST_LEASE_TEST_UTIL_H_

/// @file
/// Simulated processes that compete for a lease, and the lease's row.

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

/// What happens to a call in one step of a process.
enum class CallOutcome : std::uint8_t {
  kAnswered,
  kLost,
  kLostAfterEffect,
  kStalled
};

/// A single row with compare-and-set.
struct FakeLeaseTable {
  TableRow row{kLeaseKey, "", 0};

  bool Apply(const TableTransaction& transaction) {
    if (transaction.checks[0].version != row.version) return false;
    row = {kLeaseKey, transaction.puts[0].value, row.version + 1};
    return true;
  }
};

/// A process with its own steady clock. It pauses while it is not stepped.
class LeaseProcess {
 public:
  LeaseProcess(FakeLeaseTable& table, std::string name,
               std::uint64_t incarnation)
      : table_(table),
        lease_({kLeaseKey, std::move(name), Incarnation(incarnation)}) {}
  LeaseProcess(FakeLeaseTable& table, const LeaseOptions& options)
      : table_(table), lease_(options) {}

  void Step(CallOutcome outcome, TimePoint now) {
    if (!call_) call_ = lease_.OnTick(now);
    if (!call_ || outcome == CallOutcome::kStalled) return;
    const LeaseAction call = *std::exchange(call_, std::nullopt);
    if (const auto* commit = std::get_if<LeaseCommit>(&call)) {
      Answer(*commit, outcome, now);
    } else if (outcome == CallOutcome::kAnswered) {
      lease_.OnRead(table_.row, now);
    } else {
      lease_.OnRead(std::nullopt, now);
    }
  }

  Lease& lease() { return lease_; }

 private:
  void Answer(const LeaseCommit& commit, CallOutcome outcome, TimePoint now) {
    CommitResult result{WriteResult::kUnknown, {}};
    if (outcome != CallOutcome::kLost) {
      const bool applied = table_.Apply(commit.transaction);
      if (outcome == CallOutcome::kAnswered) {
        result.result =
            applied ? WriteResult::kApplied : WriteResult::kNotApplied;
      }
    }
    lease_.OnCommitted(result, now);
  }

  FakeLeaseTable& table_;
  Lease lease_;
  std::optional<LeaseAction> call_;
};

/// Steps the process every 50 ms for `time`, with all calls answered.
inline TimePoint Run(LeaseProcess& process, TimePoint now,
                     std::chrono::milliseconds time) {
  const TimePoint end = now + time;
  for (; now < end; now += std::chrono::milliseconds(50)) {
    process.Step(CallOutcome::kAnswered, now);
  }
  return now;
}

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_LEASE_TEST_UTIL_H_
