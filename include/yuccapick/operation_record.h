#ifndef YUCCAPICK_OPERATION_RECORD_H_
#define YUCCAPICK_OPERATION_RECORD_H_

/// @file
/// The table's row of one operation.

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "yuccapick/ids.h"
#include "yuccapick/link_messages.h"

namespace yuccapick {

/// Names an operation: an idempotency key within its team and service.
struct OperationId {
  TeamId team;
  ServiceId service;
  IdempotencyKey key;

  auto operator<=>(const OperationId&) const = default;
};

/// A whole answer as it is kept for repeats.
struct StoredAnswer {
  std::uint32_t status = 200;
  std::vector<Header> headers;
  std::vector<std::string> parts;
  bool complete = false;  ///< The end mark arrived.
  bool partial = false;   ///< Parts are missing: too large, or broken off.

  bool operator==(const StoredAnswer&) const = default;
};

enum class OperationState : std::uint8_t {
  kClaimed,   ///< A router may have passed it to the named agent.
  kReleased,  ///< It did not run; whoever comes next may claim it.
  kDone,      ///< It ran; the answer is kept.
  kUnknown,   ///< It may have run; nobody can tell any more.
};

/// What the table holds of an operation.
struct OperationRecord {
  OperationState state = OperationState::kClaimed;
  FencingToken fence;
  std::string digest;  ///< Of method, target and body.
  UpstreamId upstream;
  Incarnation agent_incarnation;  ///< Whose memory decides on a take-over.
  std::string writer;             ///< Unique over all writes of all routers.
  std::uint64_t epoch = 0;        ///< Retention epoch of the last write.
  StoredAnswer answer;            ///< For `kDone`.

  bool operator==(const OperationRecord&) const = default;
};

/// Prefix of all operation rows.
inline constexpr char kOperationPrefix[] = "operations/";

/// Returns the row key of an operation.
std::string OperationRowKey(const OperationId& id);
/// Encodes a record as a row's value.
std::string EncodeOperation(const OperationRecord& record);
/// Decodes a row's value.
absl::StatusOr<OperationRecord> DecodeOperation(const std::string& value);
/// Digest of method, target and body: equal for true repeats only.
std::string RequestDigest(const std::string& method, const std::string& target,
                          const std::string& body);
/// Wire name of a state: `claimed`, `released`, `done`, `unknown`.
std::string OperationStateName(OperationState state);

}  // namespace yuccapick

#endif  // YUCCAPICK_OPERATION_RECORD_H_
