#ifndef YUCCAPICK_ROUTER_EVENTS_H_
#define YUCCAPICK_ROUTER_EVENTS_H_

/// @file
/// Events into and actions out of the router's decisions.

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
  IdempotencyKey key;  ///< Empty when the caller gave none.
  bool streamed = false;
  std::chrono::milliseconds deadline{0};  ///< 0 takes the service's.
  std::vector<std::string> levels;  ///< Prompt text by prefix level, in order.
  std::string method;
  std::string target;
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
/// The link broke under an attempt.
struct AttemptLost {
  UpstreamId upstream;
  AttemptId attempt;
  bool sent = true;  ///< False only if no byte of it can have left.
};
struct ReportArrived {
  AgentReport report;
};
/// Membership's view of one upstream changed.
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
struct DrainRequested {
  std::chrono::milliseconds deadline{0};
};
/// A team asks what became of one of its operations.
struct OperationQueried {
  RequestId request;  ///< Names the query; of the same numbers as requests.
  TeamId team;
  ServiceId service;
  IdempotencyKey key;
};
/// Time passed; sent no later than the last `WakeAt` asked for.
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
/// Sends the caller the head of the answer.
struct BeginAnswer {
  RequestId request;
  std::uint32_t status = 200;
  std::vector<Header> headers;
};
/// Sends the caller a part of the answer. For a streamed model answer the shell
/// frames it as one server-sent event.
struct SendAnswerData {
  RequestId request;
  std::string data;
};
/// The answer is whole.
struct FinishAnswer {
  RequestId request;
};
/// Ends the request with an error: a JSON error before `BeginAnswer`, after it
/// an error event and a broken-off body.
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
struct WakeAt {
  TimePoint when;
};
/// Nothing is in flight any more after `DrainRequested`.
struct DrainComplete {};

/// One finished request, for metrics.
struct RequestFinished {
  TeamId team;
  ServiceId service;
  bool urgent = false;
  bool complete = false;
  ErrorKind error = ErrorKind::kInternal;  ///< If not `complete`.
  Execution execution = Execution::kNotRun;
  std::uint32_t attempts = 0;
  std::chrono::microseconds queued{0};
  std::chrono::microseconds first_token{0};
  std::chrono::microseconds total{0};
  Usage usage;
};

/// What became of an operation.
enum class OperationStatus : std::uint8_t {
  kAbsent,      ///< The table knows nothing of it.
  kInProgress,  ///< A router holds the claim.
  kNotRun,      ///< It did not run and its claim was handed back.
  kDone,        ///< It ran; repeating the request gives the answer again.
  kUnknown,     ///< It may have run.
  kUnavailable  ///< The table cannot be read now.
};
/// Answer to `OperationQueried`.
struct OperationQueryResult {
  RequestId request;
  OperationStatus status = OperationStatus::kUnavailable;
  std::uint32_t answer_status = 0;  ///< HTTP status of a kept answer.
};

using RouterAction =
    std::variant<SendAttempt, CancelAttempt, BeginAnswer, SendAnswerData,
                 FinishAnswer, FailRequest, CommitTable, ReadTable, WakeAt,
                 DrainComplete, RequestFinished, OperationQueryResult>;
using RouterActions = std::vector<RouterAction>;

}  // namespace yuccapick

#endif  // YUCCAPICK_ROUTER_EVENTS_H_
