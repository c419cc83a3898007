#ifndef YUCCAPICK_SHELL_LINK_CODEC_H_
#define YUCCAPICK_SHELL_LINK_CODEC_H_

/// @file
/// MessagePack encoding of the messages between processes.

#include <concepts>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "shell/link_frame.h"
#include "yuccapick/link_messages.h"

namespace yuccapick {

/// Message types that are sent as one frame each.
template <typename T>
concept LinkMessage = std::same_as<T, AttemptRequest> ||
    std::same_as<T, AnswerHead> || std::same_as<T, AnswerChunk> ||
    std::same_as<T, AnswerEnd> || std::same_as<T, AttemptFailed> ||
    std::same_as<T, WatchRequest> || std::same_as<T, AgentReport> ||
    std::same_as<T, EngineOrder> || std::same_as<T, OrderResult>;

template <LinkMessage T>
constexpr LinkMessageType MessageTypeOf() {
  if constexpr (std::same_as<T, AttemptRequest>) {
    return LinkMessageType::kAttemptRequest;
  } else if constexpr (std::same_as<T, AnswerHead>) {
    return LinkMessageType::kAnswerHead;
  } else if constexpr (std::same_as<T, AnswerChunk>) {
    return LinkMessageType::kAnswerChunk;
  } else if constexpr (std::same_as<T, AnswerEnd>) {
    return LinkMessageType::kAnswerEnd;
  } else if constexpr (std::same_as<T, AttemptFailed>) {
    return LinkMessageType::kAttemptFailed;
  } else if constexpr (std::same_as<T, WatchRequest>) {
    return LinkMessageType::kWatchRequest;
  } else if constexpr (std::same_as<T, AgentReport>) {
    return LinkMessageType::kAgentReport;
  } else if constexpr (std::same_as<T, EngineOrder>) {
    return LinkMessageType::kEngineOrder;
  } else {
    return LinkMessageType::kOrderResult;
  }
}

/// Returns the payload of a frame of type `MessageTypeOf<T>()`.
template <LinkMessage T>
std::string Encode(const T& message);

/// Decodes a payload from an untrusted peer: malformed input gives
/// `kInvalidArgument`, never an exception, and allocations are bounded by a
/// small multiple of the payload's size.
template <LinkMessage T>
absl::StatusOr<T> Decode(std::string_view payload);

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_LINK_CODEC_H_
