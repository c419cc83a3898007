#include <fmt/format.h>

#include "router_impl.h"

namespace yuccapick {
namespace {

OperationStatus StatusOf(OperationState state) {
  switch (state) {
    case OperationState::kClaimed:
      return OperationStatus::kInProgress;
    case OperationState::kReleased:
      return OperationStatus::kNotRun;
    case OperationState::kDone:
      return OperationStatus::kDone;
    case OperationState::kUnknown:
      return OperationStatus::kUnknown;
  }
  return OperationStatus::kUnknown;
}

}  // namespace

void RouterCore::Impl::On(const OperationQueried& event) {
  const OperationId id{event.team, event.service, event.key};
  if (operation_owners_.contains(id)) {
    actions_.push_back(
        OperationQueryResult{event.request, OperationStatus::kInProgress, 0});
    return;
  }
  const std::uint64_t command = next_query_command_++;
  operation_queries_[command] = event;
  actions_.push_back(ReadTable{command, {ledger_.RowKey(id)}});
}

void RouterCore::Impl::On(const TableRead& event) {
  auto it = operation_queries_.find(event.command);
  if (it == operation_queries_.end()) return;
  OperationQueryResult result{it->second.request, OperationStatus::kUnavailable,
                              0};
  operation_queries_.erase(it);
  if (event.available) {
    result.status = OperationStatus::kAbsent;
    for (const TableRow& row : event.rows) {
      absl::StatusOr<OperationRecord> record = DecodeOperation(row.value);
      if (!record.ok()) continue;
      const ClaimTarget target{record->upstream, record->agent_incarnation};
      const bool open = record->state == OperationState::kClaimed;
      result.status = open && TargetEnded(target) ? OperationStatus::kUnknown
                                                  : StatusOf(record->state);
      result.answer_status = record->answer.status;
    }
  }
  actions_.push_back(result);
}

}  // namespace yuccapick
