#ifndef YUCCAPICK_ROUTER_EVENTS_H_
#define YUCCAPICK_ROUTER_EVENTS_H_

/// @file
/// Input events and output actions of the router core.

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "yuccapick/config_snapshot.h"
#include "yuccapick/error.h"
#include "yuccapick/ids.h"
#include "yuccapick/link_messages.h"
#include "yuccapick/table.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

/// A caller's request after authentication and parsing.
struct CallerRequest {
  RequestId id;
  TeamId team;
  ServiceId service;
  RequestKind kind = RequestKind::kPlain;
  ModelId model;
  AdapterId adapter;
  IdempotencyKey key;  ///< Empty if the caller sent none.
  bool streamed = false;
  /// Time from arrival; 0 means the service's deadline.
  std::chrono::milliseconds deadline{0};
  std::vector<std::string> levels;  ///< Prompt text by prefix level, in order.
  std::string method;
  std::string target;  ///< Path and query below the service.
  std::vector<Header> headers;
  std::string body;
};

// Events.

struct RequestArrived {
  CallerRequest request;
};
/// The caller closed its connection.
struct CallerDisconnected {
  RequestId request;
};
struct AnswerHeadArrived {
  UpstreamId upstream;
  AnswerHead head;
};
struct AnswerChunkArrived {
  UpstreamId upstream;
  AnswerChunk chunk;
};
struct AnswerEndArrived {
  UpstreamId upstream;
  AnswerEnd end;
};
struct AttemptFailedArrived {
  UpstreamId upstream;
  AttemptFailed failure;
};
/// The link to the agent broke before the attempt ended.
struct AttemptLost {
  UpstreamId upstream;
  AttemptId attempt;
  bool sent = true;  ///< False only if no byte of it can have been sent.
};
struct ReportArrived {
  AgentReport report;
};
/// The membership service reported a change of one upstream.
struct UpstreamChanged {
  UpstreamInfo upstream;
};
struct ConfigChanged {
  ConfigPtr config;
};
/// Answer to a `CommitTable`.
struct TableCommitted {
  std::uint64_t command = 0;
  CommitResult result;
};
/// Answer to a `ReadTable`.
struct TableRead {
  std::uint64_t command = 0;
  bool available = false;
  std::vector<TableRow> rows;  ///< Absent rows are left out.
};
/// Asks the router to refuse new requests and to end the active ones within
/// `deadline`.
struct DrainRequested {
  std::chrono::milliseconds deadline{0};
};
/// A team queries the status of one of its operations.
struct OperationQueried {
  RequestId request;  ///< Id of the query, unique among the request ids.
  TeamId team;
  ServiceId service;
  IdempotencyKey key;
};
/// Time passed; sent no later than the last `WakeAt` requested.
struct Tick {};

using RouterEvent =
    std::variant<RequestArrived, CallerDisconnected, AnswerHeadArrived,
                 AnswerChunkArrived, AnswerEndArrived, AttemptFailedArrived,
                 AttemptLost, ReportArrived, UpstreamChanged, ConfigChanged,
                 TableCommitted, TableRead, DrainRequested, Tick,
                 OperationQueried>;

// Actions.

struct SendAttempt {
  UpstreamId upstream;
  AttemptRequest request;
};
struct CancelAttempt {
  UpstreamId upstream;
  AttemptId attempt;
};
/// Sends the caller the status and headers of the answer.
struct BeginAnswer {
  RequestId request;
  std::uint32_t status = 200;
  std::vector<Header> headers;
};
/// Sends the caller a part of the answer's body. For a streamed model answer
/// the receiver of the actions frames it as one server-sent event.
struct SendAnswerData {
  RequestId request;
  std::string data;
};
/// Ends the answer, which is complete.
struct FinishAnswer {
  RequestId request;
};
/// Ends the request with an error: before `BeginAnswer` as a JSON error, after
/// it as an error event and an aborted body.
struct FailRequest {
  RequestId request;
  Error error;
};
struct CommitTable {
  std::uint64_t command = 0;
  TableTransaction transaction;
};
struct ReadTable {
  std::uint64_t command = 0;
  std::vector<std::string> keys;
};
/// Requests a `Tick` at `when`.
struct WakeAt {
  TimePoint when;
};
/// The drain ended: all requests and table writes are done, or its deadline
/// passed.
struct DrainComplete {};

/// Reports a finished request, for metrics.
struct RequestFinished {
  TeamId team;
  ServiceId service;
  bool urgent = false;
  bool complete = false;
  ErrorKind error = ErrorKind::kInternal;  ///< Valid if not `complete`.
  Execution execution = Execution::kNotRun;
  std::uint32_t attempts = 0;
  /// Time from arrival to the first attempt.
  std::chrono::microseconds queued{0};
  /// Time from arrival to the first part of the answer.
  std::chrono::microseconds first_token{0};
  /// Time from arrival to the end of the request.
  std::chrono::microseconds total{0};
  Usage usage;
};

/// Status of an operation.
enum class OperationStatus : std::uint8_t {
  kAbsent,      ///< The table has no row for it.
  kInProgress,  ///< A router holds the claim.
  kNotRun,      ///< It did not run and its claim was released.
  kDone,        ///< It ran; a repeated request gets the stored answer.
  kUnknown,     ///< It may have run.
  kUnavailable  ///< The table cannot be read now.
};
/// Answer to `OperationQueried`.
struct OperationQueryResult {
  RequestId request;
  OperationStatus status = OperationStatus::kUnavailable;
  std::uint32_t answer_status = 0;  ///< HTTP status of a stored answer.
};

using RouterAction =
    std::variant<SendAttempt, CancelAttempt, BeginAnswer, SendAnswerData,
                 FinishAnswer, FailRequest, CommitTable, ReadTable, WakeAt,
                 DrainComplete, RequestFinished, OperationQueryResult>;
using RouterActions = std::vector<RouterAction>;

}  // namespace yuccapick

#endif  // YUCCAPICK_ROUTER_EVENTS_H_
