#ifndef YUCCAPICK_CALLER_API_H_
#define YUCCAPICK_CALLER_API_H_

/// @file
/// The HTTP API for callers: parses calls into requests and renders answer
/// bodies.

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "yuccapick/config_snapshot.h"
#include "yuccapick/error.h"
#include "yuccapick/ids.h"
#include "yuccapick/link_messages.h"
#include "yuccapick/router_events.h"

namespace yuccapick {

/// An HTTP call as received.
struct HttpCall {
  std::string method;
  std::string target;           ///< Path and query.
  std::vector<Header> headers;  ///< Names in lower case.
  std::string body;

  /// Returns the first value of header `name` (in lower case), or an empty
  /// string.
  std::string_view HeaderValue(std::string_view name) const;
};

/// The endpoint that a call addresses.
enum class CallerRoute {
  kChatCompletion,
  kCompletion,
  kModels,
  kPlainService,
  kOperation,
  kHealth,
  kReady,
  kMetrics,
  kUnknown,
};

/// Returns the route of a call with this method and target (path and query).
CallerRoute RouteOf(std::string_view method, std::string_view target);

/// Returns the bearer token of a call, or an empty string.
std::string_view BearerToken(const HttpCall& call);

/// The request, or the error for a call that is refused.
using ParsedRequest = std::variant<CallerRequest, Error>;

/// Validates a call and parses it into a request of `team`. The request's id is
/// left unset.
/// @param route a model or plain service route
ParsedRequest ParseRequest(CallerRoute route, HttpCall call, const TeamId& team,
                           const ConfigSnapshot& config);

/// The operation that a `GET /operations/{key}` names.
struct OperationQuery {
  ServiceId service;  ///< Empty if the call names no service.
  IdempotencyKey key;
};

/// Returns the operation that the path of `call`, which has the route
/// `kOperation`, and its header `Yuccapick-Service` name.
OperationQuery ParseOperationQuery(const HttpCall& call);

/// Returns the JSON body that reports the status of an operation.
std::string OperationBody(const OperationQueryResult& result);

/// Returns the JSON body of an error answer.
std::string ErrorBody(const Error& error);

/// Returns the JSON body of `GET /v1/models`: all models offered to `team`.
std::string ModelsBody(const TeamId& team, const ConfigSnapshot& config);

}  // namespace yuccapick

#endif  // YUCCAPICK_CALLER_API_H_
