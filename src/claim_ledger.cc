#include "yuccapick/claim_ledger.h"

#include <fmt/format.h>

#include <utility>

namespace yuccapick {

ClaimLedger::ClaimLedger(ClaimLedgerOptions options)
    : options_(std::move(options)), commits_(options_.commits) {}

std::string ClaimLedger::RowKey(const OperationId& id) const {
  OperationId scoped = id;
  if (!options_.guards.team_scope) scoped.team = TeamId();
  return OperationRowKey(scoped);
}

void ClaimLedger::Claim(const OperationId& id, const std::string& digest,
                        const ClaimTarget& target, TimePoint now) {
  if (commits_.IsUnavailable(now)) {
    events_.push_back(ClaimUnavailable{id});
    return;
  }
  Operation& operation = operations_[id];
  operation.forgotten = false;
  operation.take_over = false;
  operation.next = {};
  operation.next.digest = digest;
  operation.next.fence = FencingToken(1);
  operation.next.upstream = target.upstream;
  operation.next.agent_incarnation = target.agent_incarnation;
  StartWrite(id, operation, Write::kClaim);
}

void ClaimLedger::RaiseFence(const OperationId& id, const ClaimTarget& target,
                             bool take_over) {
  Operation& operation = operations_.at(id);
  operation.take_over = take_over;
  operation.next = operation.held;
  operation.next.state = OperationState::kClaimed;
  operation.next.fence = operation.held.fence.Next();
  operation.next.upstream = target.upstream;
  operation.next.agent_incarnation = target.agent_incarnation;
  StartWrite(id, operation, Write::kRaiseFence);
}

void ClaimLedger::Release(const OperationId& id) {
  Operation& operation = operations_.at(id);
  operation.next = operation.held;
  operation.next.state = OperationState::kReleased;
  StartWrite(id, operation, Write::kRelease);
}

void ClaimLedger::Record(const OperationId& id, const StoredAnswer& answer) {
  Operation& operation = operations_.at(id);
  operation.next = operation.held;
  operation.next.state = OperationState::kDone;
  operation.next.answer = answer;
  StartWrite(id, operation, Write::kRecord);
}

void ClaimLedger::RecordUnknown(const OperationId& id) {
  Operation& operation = operations_.at(id);
  operation.next = operation.held;
  operation.next.state = OperationState::kUnknown;
  StartWrite(id, operation, Write::kRecordUnknown);
}

void ClaimLedger::Forget(const OperationId& id) {
  auto it = operations_.find(id);
  if (it == operations_.end()) return;
  it->second.forgotten = true;
  EraseIfIdle(id);
}

void ClaimLedger::StartWrite(const OperationId& id, Operation& operation,
                             Write write) {
  operation.write = write;
  operation.next.epoch = epoch_;
  operation.next.writer = fmt::format("{}-{}", options_.writer, ++write_count_);
  operation.next_value = EncodeOperation(operation.next);
  tickets_.erase(operation.ticket);
  operation.ticket =
      commits_.Enqueue(RowKey(id), operation.version, operation.next_value);
  tickets_[operation.ticket] = id;
}

void ClaimLedger::OnCommitted(std::uint64_t command, const CommitResult& result,
                              TimePoint now) {
  for (const RowResult& row : commits_.OnCommitted(command, result, now)) {
    auto ticket = tickets_.find(row.ticket);
    if (ticket == tickets_.end()) continue;
    const OperationId id = ticket->second;
    tickets_.erase(ticket);
    Operation& operation = operations_.at(id);
    switch (row.outcome) {
      case RowResult::Outcome::kApplied:
        OnApplied(id, operation, row.row);
        break;
      case RowResult::Outcome::kConflict:
        OnConflict(id, operation, row.row);
        break;
      case RowResult::Outcome::kUnavailable:
        OnUnavailable(id, operation);
        break;
    }
    EraseIfIdle(id);
  }
}

void ClaimLedger::OnApplied(const OperationId& id, Operation& operation,
                            const TableRow& row) {
  operation.held = operation.next;
  operation.held_value = operation.next_value;
  operation.version = row.version != 0 ? row.version : operation.version + 1;
  const Write write = std::exchange(operation.write, Write::kNone);
  if (write == Write::kRelease) {
    Emit(id, operation, ClaimReleased{id, true});
    return;
  }
  if (write != Write::kClaim && write != Write::kRaiseFence) return;
  OnClaimApplied(id, operation);
}

void ClaimLedger::OnClaimApplied(const OperationId& id, Operation& operation) {
  if (operation.forgotten) {
    if (!operation.take_over) Release(id);
    return;
  }
  const OperationRecord& held = operation.held;
  Emit(id, operation,
       ClaimAcquired{id,
                     held.fence,
                     {held.upstream, held.agent_incarnation},
                     operation.take_over});
}

void ClaimLedger::OnConflict(const OperationId& id, Operation& operation,
                             const TableRow& row) {
  const bool same_value =
      !operation.held_value.empty() && row.value == operation.held_value;
  operation.version = row.version;
  if (same_value) {
    StartWrite(id, operation, operation.write);
    return;
  }
  const Write write = std::exchange(operation.write, Write::kNone);
  if (write == Write::kRecord) {
    OverwriteWithAnswer(id, operation, row);
    return;
  }
  if (write == Write::kRecordUnknown) return;
  if (write == Write::kRelease) {
    Emit(id, operation, ClaimReleased{id, false});
    return;
  }
  absl::StatusOr<OperationRecord> found = DecodeOperation(row.value);
  if (row.version == 0 || !found.ok()) {
    operation.held = {};
    operation.held_value.clear();
    Emit(id, operation, ClaimUnavailable{id});
    return;
  }
  operation.held = *found;
  operation.held_value = row.value;
  Emit(id, operation, ClaimConflict{id, *std::move(found)});
}

void ClaimLedger::OverwriteWithAnswer(const OperationId& id,
                                      Operation& operation,
                                      const TableRow& row) {
  absl::StatusOr<OperationRecord> found = DecodeOperation(row.value);
  const bool expired = row.version == 0;
  if (expired || !found.ok() || found->state == OperationState::kDone) return;
  operation.held = *found;
  operation.held_value = row.value;
  Record(id, StoredAnswer(operation.next.answer));
}

void ClaimLedger::OnUnavailable(const OperationId& id, Operation& operation) {
  const Write write = operation.write;
  if (write == Write::kRecord || write == Write::kRecordUnknown) {
    StartWrite(id, operation, write);
    return;
  }
  operation.write = Write::kNone;
  if (write == Write::kRelease) {
    Emit(id, operation, ClaimReleased{id, false});
    return;
  }
  Emit(id, operation, ClaimUnavailable{id});
}

void ClaimLedger::Emit(const OperationId& /*id*/, const Operation& operation,
                       ClaimEvent event) {
  if (!operation.forgotten) events_.push_back(std::move(event));
}

void ClaimLedger::EraseIfIdle(const OperationId& id) {
  auto it = operations_.find(id);
  if (it == operations_.end()) return;
  if (it->second.forgotten && it->second.write == Write::kNone) {
    operations_.erase(it);
  }
}

std::optional<OperationRecord> ClaimLedger::RecordBeingWritten(
    const OperationId& id) const {
  auto it = operations_.find(id);
  if (it == operations_.end()) return std::nullopt;
  return it->second.next;
}

std::optional<GroupCommit> ClaimLedger::NextCommit(TimePoint now) {
  return commits_.Next(now);
}

std::vector<ClaimEvent> ClaimLedger::TakeEvents() {
  return std::exchange(events_, {});
}

}  // namespace yuccapick
