#ifndef YUCCAPICK_ERROR_H_
#define YUCCAPICK_ERROR_H_

/// @file
/// Error kinds of the whole request path, and whether the work was executed.

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace yuccapick {

/// Whether the work of a request was executed.
enum class Execution {
  kNotRun,   ///< It has not run and cannot run any more.
  kRan,      ///< It ran, and the upstream reported how it ended.
  kUnknown,  ///< It may have run.
};

/// Kinds of errors that callers, operators and embedding programs distinguish.
enum class ErrorKind {
  kBadRequest,
  kUnauthenticated,
  kForbidden,
  kNotFound,
  kPayloadTooLarge,
  kDeadlineExceeded,
  kOverloaded,
  kShareExceeded,
  kNoUpstream,
  kUpstreamFailed,
  kIncompleteAnswer,
  kKeyReused,
  kOperationInProgress,
  kOutcomeUnknown,
  kStaleConfig,
  kStaleFence,
  kWrongIncarnation,
  kDraining,
  kNotReady,
  kPlatformUnavailable,
  kConflict,
  kCancelled,
  kInternal,
};

/// An error, the execution state of the request and the delay before a retry.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  Execution execution = Execution::kNotRun;
  std::string message;
  std::optional<std::chrono::milliseconds> retry_after;
};

/// Returns the wire name of an execution state: `not_run`, `ran`, `unknown`.
std::string_view ExecutionName(Execution execution);

/// Returns the wire name of an error kind, such as `key_reused`.
std::string_view ErrorKindName(ErrorKind kind);

/// Returns the HTTP status code that carries errors of `kind`.
int HttpStatusOf(ErrorKind kind);

/// Converts `error` to a status for interfaces that return `absl::Status`.
absl::Status ToStatus(const Error& error);

}  // namespace yuccapick

#endif  // YUCCAPICK_ERROR_H_
