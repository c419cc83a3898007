#ifndef YUCCAPICK_OPERATION_RECORD_H_
#define YUCCAPICK_OPERATION_RECORD_H_

/// @file
/// Row of one operation in the table.

#include <cstdint>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "yuccapick/ids.h"
#include "yuccapick/link_messages.h"

namespace yuccapick {

/// Identifies an operation: an idempotency key within its team and service.
struct OperationId {
  TeamId team;
  ServiceId service;
  IdempotencyKey key;

  auto operator<=>(const OperationId&) const = default;
};

/// An answer stored for repeated requests.
struct StoredAnswer {
  std::uint32_t status = 200;
  std::vector<Header> headers;
  std::vector<std::string> parts;
  bool complete = false;  ///< The answer ended.
  bool partial = false;   ///< Parts are missing: too large, or broken off.

  bool operator==(const StoredAnswer&) const = default;
};

enum class OperationState : std::uint8_t {
  kClaimed,   ///< A router may have sent it to the named agent.
  kReleased,  ///< It did not run; any router may claim it again.
  kDone,      ///< It ran; the answer is stored.
  kUnknown,   ///< It may have run; the outcome is lost.
};

/// Contents of an operation's row.
struct OperationRecord {
  OperationState state = OperationState::kClaimed;
  FencingToken fence;
  std::string digest;  ///< Of method, target and body.
  UpstreamId upstream;
  Incarnation agent_incarnation;  ///< Its record decides on a takeover.
  std::string writer;             ///< Unique id of the write, over all routers.
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
/// Decodes a row's value; `DataLoss` if it is malformed.
absl::StatusOr<OperationRecord> DecodeOperation(const std::string& value);
/// Returns the SHA-256 digest of method, target and body in hex, to tell a
/// repeated request from another one with the same key.
std::string RequestDigest(const std::string& method, const std::string& target,
                          const std::string& body);
/// Returns the encoded name of a state: `claimed`, `released`, `done` or
/// `unknown`.
std::string OperationStateName(OperationState state);

}  // namespace yuccapick

#endif  // YUCCAPICK_OPERATION_RECORD_H_
