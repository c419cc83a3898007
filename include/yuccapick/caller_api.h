#ifndef YUCCAPICK_CALLER_API_H_
#define YUCCAPICK_CALLER_API_H_

/// @file
/// The HTTP interface for callers: from a call to a typed request, and from
/// errors to answers.

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

  /// Returns the first value of header `name`, or an empty text.
  std::string_view HeaderValue(std::string_view name) const;
};

/// What a call's method and path ask for.
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

/// Returns the route of a call.
CallerRoute RouteOf(std::string_view method, std::string_view target);

/// Returns the bearer token of a call, or an empty text.
std::string_view BearerToken(const HttpCall& call);

/// Either the request or why it cannot be taken.
using ParsedRequest = std::variant<CallerRequest, Error>;

/// Checks a call and turns it into a request of `team`. The request's id is
/// left for the caller to set.
ParsedRequest ParseRequest(CallerRoute route, HttpCall call, const TeamId& team,
                           const ConfigSnapshot& config);

/// The operation that a `GET /operations/{key}` asks for.
struct OperationQuery {
  ServiceId service;  ///< Empty if the call names none.
  IdempotencyKey key;
};

/// Returns the operation that `call` names by path and `Yuccapick-Service`.
OperationQuery ParseOperationQuery(const HttpCall& call);

/// Returns the body that tells what became of an operation.
std::string OperationBody(const OperationQueryResult& found);

/// Returns the body of an error answer.
std::string ErrorBody(const Error& error);

/// Returns the body of `GET /v1/models` for `team`.
std::string ModelsBody(const TeamId& team, const ConfigSnapshot& config);

}  // namespace yuccapick

#endif  // YUCCAPICK_CALLER_API_H_
