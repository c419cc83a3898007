#ifndef YUCCAPICK_CLAIM_LEDGER_H_
#define YUCCAPICK_CLAIM_LEDGER_H_

/// @file
/// A router's claims on operations and their rows in the table.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "yuccapick/group_committer.h"
#include "yuccapick/guards.h"
#include "yuccapick/ids.h"
#include "yuccapick/operation_record.h"

namespace yuccapick {

/// The agent, and its incarnation, that may run an operation.
struct ClaimTarget {
  UpstreamId upstream;
  Incarnation agent_incarnation;

  bool operator==(const ClaimTarget&) const = default;
};

/// The claim was made: the operation may be sent to `target`.
struct ClaimAcquired {
  OperationId id;
  FencingToken fence;
  ClaimTarget target;
  bool take_over = false;  ///< An attempt with a lower token may run.
};
/// The claim was not made: the row holds another record.
struct ClaimConflict {
  OperationId id;
  OperationRecord record;
};
/// The claim was not made: the table is unavailable or its row is unusable.
struct ClaimUnavailable {
  OperationId id;
};
/// Answer to `Release`.
struct ClaimReleased {
  OperationId id;
  /// False if the row could not be written or another router may hold the
  /// claim.
  bool released = false;
};

using ClaimEvent =
    std::variant<ClaimAcquired, ClaimConflict, ClaimUnavailable, ClaimReleased>;

struct ClaimLedgerOptions {
  std::string writer;  ///< Unique over routers and their incarnations.
  GroupCommitterOptions commits;
  Guards guards;
};

/// Makes claims by conditional writes to table rows and reports their results
/// as events.
class ClaimLedger {
 public:
  explicit ClaimLedger(ClaimLedgerOptions options);

  // Commands.

  /// Claims an operation on the condition that its row, as last seen, is
  /// unchanged or absent.
  /// @param digest digest of the request, to detect a reused key
  void Claim(const OperationId& id, const std::string& digest,
             const ClaimTarget& target, TimePoint now);
  /// Claims an operation that `ClaimConflict` reported, or that this router
  /// holds, with the next fencing token.
  /// @param take_over an attempt with a lower token may run
  void RaiseFence(const OperationId& id, const ClaimTarget& target,
                  bool take_over);
  /// Releases the claim of an operation that did not run.
  void Release(const OperationId& id);
  /// Stores the answer for repeated requests.
  void Record(const OperationId& id, const StoredAnswer& answer);
  /// Records that it can no longer be determined whether the operation ran.
  void RecordUnknown(const OperationId& id);
  /// Stops reporting events of the operation; a write in progress is finished.
  void Forget(const OperationId& id);
  /// Takes the result of the commit `command`.
  void OnCommitted(std::uint64_t command, const CommitResult& result,
                   TimePoint now);
  /// Returns the next transaction, if one is due at `now`.
  std::optional<GroupCommit> NextCommit(TimePoint now);
  /// Returns the events since the last call.
  std::vector<ClaimEvent> TakeEvents();
  /// Sets the retention epoch of later writes.
  void SetEpoch(std::uint64_t epoch) { epoch_ = epoch; }

  // Queries.

  std::optional<TimePoint> WakeTime() const { return commits_.WakeTime(); }
  /// The record of a known operation as it was last written or is being
  /// written; nothing for an unknown one.
  std::optional<OperationRecord> RecordBeingWritten(
      const OperationId& id) const;
  /// Number of rows that wait to be committed.
  std::size_t pending() const { return commits_.size(); }
  /// Returns the table's row key of `id`.
  std::string RowKey(const OperationId& id) const;

 private:
  enum class Write : std::uint8_t {
    kNone,
    kClaim,
    kRaiseFence,
    kRelease,
    kRecord,
    kRecordUnknown
  };

  struct Operation {
    OperationRecord held;    ///< As the row was last read or written.
    std::string held_value;  ///< Encoding of `held`.
    /// Row version; assumed to rise by 1 if a write's result doesn't tell it.
    std::uint64_t version = 0;
    OperationRecord next;  ///< Record being written.
    std::string next_value;
    Write write = Write::kNone;
    bool take_over = false;
    std::uint64_t ticket = 0;
    bool forgotten = false;
  };

  void StartWrite(const OperationId& id, Operation& operation, Write write);
  void OnApplied(const OperationId& id, Operation& operation,
                 const TableRow& row);
  void OnConflict(const OperationId& id, Operation& operation,
                  const TableRow& row);
  void OnUnavailable(const OperationId& id, Operation& operation);
  void OnClaimApplied(const OperationId& id, Operation& operation);
  void OverwriteWithAnswer(const OperationId& id, Operation& operation,
                           const TableRow& row);
  void Emit(const OperationId& id, const Operation& operation,
            ClaimEvent event);
  void EraseIfIdle(const OperationId& id);

  ClaimLedgerOptions options_;
  GroupCommitter commits_;
  std::map<OperationId, Operation> operations_;
  std::map<std::uint64_t, OperationId> tickets_;
  std::vector<ClaimEvent> events_;
  std::uint64_t write_count_ = 0;
  std::uint64_t epoch_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_CLAIM_LEDGER_H_
