#include "yuccapick/error.h"

#include <fmt/format.h>

namespace yuccapick {

std::string_view ExecutionName(Execution execution) {
  switch (execution) {
    case Execution::kNotRun:
      return "not_run";
    case Execution::kRan:
      return "ran";
    case Execution::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view ErrorKindName(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kBadRequest:
      return "bad_request";
    case ErrorKind::kUnauthenticated:
      return "unauthenticated";
    case ErrorKind::kForbidden:
      return "forbidden";
    case ErrorKind::kNotFound:
      return "not_found";
    case ErrorKind::kPayloadTooLarge:
      return "payload_too_large";
    case ErrorKind::kDeadlineExceeded:
      return "deadline_exceeded";
    case ErrorKind::kOverloaded:
      return "overloaded";
    case ErrorKind::kShareExceeded:
      return "share_exceeded";
    case ErrorKind::kNoUpstream:
      return "no_upstream";
    case ErrorKind::kUpstreamFailed:
      return "upstream_failed";
    case ErrorKind::kIncompleteAnswer:
      return "incomplete_answer";
    case ErrorKind::kKeyReused:
      return "key_reused";
    case ErrorKind::kOperationInProgress:
      return "operation_in_progress";
    case ErrorKind::kOutcomeUnknown:
      return "outcome_unknown";
    case ErrorKind::kStaleConfig:
      return "stale_config";
    case ErrorKind::kStaleFence:
      return "stale_fence";
    case ErrorKind::kWrongIncarnation:
      return "wrong_incarnation";
    case ErrorKind::kDraining:
      return "draining";
    case ErrorKind::kNotReady:
      return "not_ready";
    case ErrorKind::kPlatformUnavailable:
      return "platform_unavailable";
    case ErrorKind::kConflict:
      return "conflict";
    case ErrorKind::kCancelled:
      return "cancelled";
    case ErrorKind::kInternal:
      return "internal";
  }
  return "internal";
}

int HttpStatusOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kBadRequest:
      return 400;
    case ErrorKind::kUnauthenticated:
      return 401;
    case ErrorKind::kForbidden:
      return 403;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kConflict:
    case ErrorKind::kOperationInProgress:
      return 409;
    case ErrorKind::kPayloadTooLarge:
      return 413;
    case ErrorKind::kKeyReused:
      return 422;
    case ErrorKind::kOverloaded:
    case ErrorKind::kShareExceeded:
      return 429;
    case ErrorKind::kUpstreamFailed:
    case ErrorKind::kIncompleteAnswer:
    case ErrorKind::kOutcomeUnknown:
      return 502;
    case ErrorKind::kNoUpstream:
    case ErrorKind::kStaleConfig:
    case ErrorKind::kStaleFence:
    case ErrorKind::kWrongIncarnation:
    case ErrorKind::kDraining:
    case ErrorKind::kNotReady:
    case ErrorKind::kPlatformUnavailable:
      return 503;
    case ErrorKind::kDeadlineExceeded:
      return 504;
    case ErrorKind::kCancelled:
    case ErrorKind::kInternal:
      return 500;
  }
  return 500;
}

absl::Status ToStatus(const Error& error) {
  const std::string text =
      fmt::format("{} ({}): {}", ErrorKindName(error.kind),
                  ExecutionName(error.execution), error.message);
  switch (HttpStatusOf(error.kind)) {
    case 400:
    case 413:
    case 422:
      return absl::InvalidArgumentError(text);
    case 401:
      return absl::UnauthenticatedError(text);
    case 403:
      return absl::PermissionDeniedError(text);
    case 404:
      return absl::NotFoundError(text);
    case 409:
      return absl::AbortedError(text);
    case 429:
      return absl::ResourceExhaustedError(text);
    case 502:
    case 503:
      return absl::UnavailableError(text);
    case 504:
      return absl::DeadlineExceededError(text);
    default:
      return absl::InternalError(text);
  }
}

}  // namespace yuccapick
