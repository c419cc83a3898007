#ifndef YUCCAPICK_GATEWAY_HTTP_STATUS_H_
#define YUCCAPICK_GATEWAY_HTTP_STATUS_H_

/// @file
/// HTTP status codes that the gateway sends or handles.

namespace yuccapick {

/// All statuses that HTTP has (RFC 9110, 15).
inline constexpr int kHttpMinStatus = 100;
inline constexpr int kHttpMaxStatus = 599;

inline constexpr int kHttpContinue = 100;
inline constexpr int kHttpSwitchingProtocols = 101;
inline constexpr int kHttpOk = 200;
inline constexpr int kHttpAccepted = 202;
inline constexpr int kHttpNoContent = 204;
inline constexpr int kHttpFirstRedirect = 300;  ///< First 3xx code.
inline constexpr int kHttpNotModified = 304;
inline constexpr int kHttpBadRequest = 400;
inline constexpr int kHttpUnauthorized = 401;
inline constexpr int kHttpNotFound = 404;
inline constexpr int kHttpRequestTimeout = 408;
inline constexpr int kHttpConflict = 409;
inline constexpr int kHttpGone = 410;
inline constexpr int kHttpPreconditionFailed = 412;
inline constexpr int kHttpPayloadTooLarge = 413;
inline constexpr int kHttpMisdirectedRequest = 421;
inline constexpr int kHttpTooManyRequests = 429;
inline constexpr int kHttpRequestHeaderFieldsTooLarge = 431;
inline constexpr int kHttpFirstServerError = 500;  ///< First 5xx code.
inline constexpr int kHttpBadGateway = 502;
inline constexpr int kHttpUnavailable = 503;
inline constexpr int kHttpGatewayTimeout = 504;

/// False for a number that a faulty server sends as a status: its answer is
/// none. Unknown statuses within the range count as the first of their class.
constexpr bool IsHttpStatus(long status) {
  return status >= kHttpMinStatus && status <= kHttpMaxStatus;
}

/// Statuses from which a caller concludes that its request has not run and will
/// not: it may send it again, even if the request is not idempotent.
constexpr bool ImpliesNotExecuted(int status) {
  return status == kHttpRequestTimeout || status == kHttpMisdirectedRequest ||
         status == kHttpTooManyRequests || status == kHttpUnavailable;
}

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_HTTP_STATUS_H_
