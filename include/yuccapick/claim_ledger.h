#ifndef YUCCAPICK_CLAIM_LEDGER_H_
#define YUCCAPICK_CLAIM_LEDGER_H_

/// @file
/// A router's claims on operations and what the table says of them.

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

/// The agent that an operation may run at.
struct ClaimTarget {
  UpstreamId upstream;
  Incarnation agent_incarnation;

  bool operator==(const ClaimTarget&) const = default;
};

/// The claim is ours: the operation may be passed to `target`.
struct ClaimAcquired {
  OperationId id;
  FencingToken fence;
  ClaimTarget target;
  bool take_over = false;  ///< An attempt with a lower token may be out.
};
/// The row holds something else; the claim was not made.
struct ClaimConflict {
  OperationId id;
  OperationRecord record;
};
/// The table refused; the claim was not made.
struct ClaimUnavailable {
  OperationId id;
};
/// Answer to `Release`.
struct ClaimReleased {
  OperationId id;
  bool released = false;  ///< False if another router may hold it now.
};

using ClaimEvent =
    std::variant<ClaimAcquired, ClaimConflict, ClaimUnavailable, ClaimReleased>;

struct ClaimLedgerOptions {
  std::string writer;  ///< Unique over routers and their lives.
  GroupCommitterOptions commits;
  Guards guards;
};

/// Turns claims into conditional row writes and their results into events.
class ClaimLedger {
 public:
  explicit ClaimLedger(ClaimLedgerOptions options);

  // Commands.

  /// Claims an operation that the table may not know yet.
  void Claim(const OperationId& id, const std::string& digest,
             const ClaimTarget& target, TimePoint now);
  /// Claims an operation that `ClaimConflict` told of, or that is ours, with
  /// the next fencing token.
  /// @param take_over an attempt with a lower token may be out
  void Raise(const OperationId& id, const ClaimTarget& target, bool take_over);
  /// Hands the claim back: the operation did not run.
  void Release(const OperationId& id);
  /// Keeps the answer for repeats.
  void Record(const OperationId& id, const StoredAnswer& answer);
  /// Records that nobody can tell any more whether the operation ran.
  void RecordUnknown(const OperationId& id);
  /// Nobody waits for the operation any more.
  void Forget(const OperationId& id);
  void OnCommitted(std::uint64_t command, const CommitResult& result,
                   TimePoint now);
  /// The next transaction, if one is due.
  std::optional<GroupCommit> NextCommit(TimePoint now);
  /// Events since the last call.
  std::vector<ClaimEvent> TakeEvents();
  void SetEpoch(std::uint64_t epoch) { epoch_ = epoch; }

  // Queries.

  std::optional<TimePoint> WakeTime() const { return commits_.WakeTime(); }
  /// What is being written of an operation that nobody waits for any more.
  std::optional<OperationRecord> BeingWritten(const OperationId& id) const;
  /// Rows that wait for the table.
  std::size_t pending() const { return commits_.size(); }
  /// Row key of `id`.
  std::string RowKey(const OperationId& id) const;

 private:
  enum class Write : std::uint8_t {
    kNone,
    kClaim,
    kRaise,
    kRelease,
    kRecord,
    kRecordUnknown
  };

  struct Operation {
    OperationRecord held;       ///< As we last saw or wrote the row.
    std::string held_value;     ///< Its encoding.
    std::uint64_t version = 0;  ///< Ours after a write is a guess.
    OperationRecord next;       ///< Being written.
    std::string next_value;
    Write write = Write::kNone;
    bool take_over = false;
    std::uint64_t ticket = 0;
    bool forgotten = false;
  };

  void Start(const OperationId& id, Operation& operation, Write write);
  void OnApplied(const OperationId& id, Operation& operation,
                 const TableRow& row);
  void OnConflict(const OperationId& id, Operation& operation,
                  const TableRow& row);
  void OnUnavailable(const OperationId& id, Operation& operation);
  void OnClaimApplied(const OperationId& id, Operation& operation);
  void OverwriteWithAnswer(const OperationId& id, Operation& operation,
                           const TableRow& row);
  void Tell(const OperationId& id, const Operation& operation,
            ClaimEvent event);
  void EraseIfIdle(const OperationId& id);

  ClaimLedgerOptions options_;
  GroupCommitter commits_;
  std::map<OperationId, Operation> operations_;
  std::map<std::uint64_t, OperationId> tickets_;
  std::vector<ClaimEvent> events_;
  std::uint64_t writes_ = 0;
  std::uint64_t epoch_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_CLAIM_LEDGER_H_
