#ifndef YUCCAPICK_COMPLETION_BODY_H_
#define YUCCAPICK_COMPLETION_BODY_H_

/// @file
/// Parses the fields of a completion request's body that routing needs.

#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "yuccapick/link_messages.h"

namespace yuccapick {

/// Fields of a completion request that routing needs.
struct CompletionBody {
  std::string model;
  std::string adapter;
  bool streamed = false;
  /// Prompt text by prefix level: each message, and each text part of a
  /// message, is a level.
  std::vector<std::string> levels;
};

/// Parses the body of a chat or plain completion request.
/// @return an error that names the field and the remedy
absl::StatusOr<CompletionBody> ParseCompletionBody(RequestKind kind,
                                                   std::string_view body);

}  // namespace yuccapick

#endif  // YUCCAPICK_COMPLETION_BODY_H_
