#ifndef YUCCAPICK_SHELL_LINK_CALL_H_
#define YUCCAPICK_SHELL_LINK_CALL_H_

/// @file
/// Unary calls over a link stream: bytes in, bytes or an error out.

#include <functional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "shell/link_stream.h"

namespace yuccapick {

/// Paths of calls are this and the call's name.
constexpr std::string_view kCallPrefix = "/call/";

using CallDone = std::function<void(absl::StatusOr<std::string>)>;
/// Answers a call by running `done` once, now or later, on the loop's thread.
using CallHandler = std::function<void(std::string bytes, CallDone done)>;

/// Takes one call on a stream that the peer opened.
void ServeCall(const LinkStreamPtr& stream, const CallHandler& handler);

/// Returns handlers that take the result of a call, once. A broken link gives
/// `kUnavailable` if the call was not sent, else `kUnknown`.
LinkStreamHandlers ExpectCallResult(CallDone done);

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_LINK_CALL_H_
