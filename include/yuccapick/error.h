#ifndef YUCCAPICK_ERROR_H_
#define YUCCAPICK_ERROR_H_

/// @file
/// Typed errors of the whole path, and what they say about execution.

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"

namespace yuccapick {

/// Whether the work of a request has run.
enum class Execution {
  kNotRun,   ///< It has not run, and nothing can still run it.
  kRan,      ///< It ran; the upstream said how it ended.
  kUnknown,  ///< It may have run.
};

/// Kinds of errors that callers, operators and embedding programs tell apart.
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

/// An error with what it says of the work and when to come back.
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
