#ifndef YUCCAPICK_ENGINE_PROTOCOL_H_
#define YUCCAPICK_ENGINE_PROTOCOL_H_

/// @file
/// Encodes requests to a model engine's HTTP API and parses its responses.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "yuccapick/agent_events.h"
#include "yuccapick/link_messages.h"

namespace yuccapick {

/// Last event of a complete streamed answer.
constexpr std::string_view kStreamEndMark = "[DONE]";

/// Returns the body of `request` with the fields that the engine needs in
/// addition: cache salt, priority, adapter and the start of a continuation.
/// Fails if the body is not a JSON object.
absl::StatusOr<std::string> EngineRequestBody(const AttemptRequest& request);

/// One event of a streamed answer, or a whole answer.
struct EngineAnswer {
  std::string id;
  /// Index of the event within the answer, if the engine gave one.
  std::optional<std::uint64_t> position;
  std::string text;
  std::optional<Usage> usage;
};

/// Parses a whole answer or one event of a streamed answer. Fails if the
/// text is not JSON, has no id, as in an error response, or has a position that
/// is no unsigned integer.
absl::StatusOr<EngineAnswer> ParseEngineAnswer(std::string_view json);

/// Parses the response to a load poll.
absl::StatusOr<UpstreamPolled> ParseEngineLoad(std::string_view json);

/// Cache events of one engine incarnation.
struct EngineEvents {
  std::string boot_id;
  std::uint64_t next_sequence = 0;  ///< Sequence at which the next poll starts.
  std::vector<CacheEvent> events;
};

/// Parses the response to a poll of cache events. Events of unknown kinds are
/// skipped.
absl::StatusOr<EngineEvents> ParseEngineEvents(std::string_view json);

/// Returns the body that carries an order to the engine.
std::string EngineOrderBody(const EngineOrder& order);

}  // namespace yuccapick

#endif  // YUCCAPICK_ENGINE_PROTOCOL_H_
