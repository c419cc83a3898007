#ifndef YUCCAPICK_SHELL_LINK_CALL_H_
#define YUCCAPICK_SHELL_LINK_CALL_H_

/// @file
/// Unary calls over a link stream: one request, one result or error.

#include <functional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "shell/link_stream.h"

namespace yuccapick {

/// Prefix of a call's stream path; the call's name follows.
constexpr std::string_view kCallPrefix = "/call/";

using CallDone = std::function<void(absl::StatusOr<std::string>)>;
/// Handles a call; runs `done` once, now or later, on the loop's thread.
using CallHandler = std::function<void(std::string bytes, CallDone done)>;

/// Serves one call on a stream that the peer opened. A second frame or one of
/// another type resets the stream.
void ServeCall(const LinkStreamPtr& stream, const CallHandler& handler);

/// Returns stream handlers that run `done` once with the result of a call. A
/// lost connection gives `kUnavailable` if the call was not sent, else
/// `kUnknown`.
LinkStreamHandlers MakeCallResultHandlers(CallDone done);

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_LINK_CALL_H_
