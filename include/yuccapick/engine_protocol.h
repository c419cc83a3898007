#ifndef YUCCAPICK_ENGINE_PROTOCOL_H_
#define YUCCAPICK_ENGINE_PROTOCOL_H_

/// @file
/// What a model engine's HTTP interface takes and gives, as JSON text.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "yuccapick/agent_events.h"
#include "yuccapick/link_messages.h"

namespace yuccapick {

/// Marks the end of a whole streamed answer.
constexpr std::string_view kStreamEndMark = "[DONE]";

/// Returns the body of `request` with what the engine needs besides: salt of
/// the cache entries, priority, adapter, and where a continuation begins.
absl::StatusOr<std::string> EngineRequestBody(const AttemptRequest& request);

/// One event of a streamed answer, or a whole answer.
struct EngineAnswer {
  std::string id;
  std::optional<std::uint64_t> position;
  std::string text;
  std::optional<Usage> usage;
};

/// Reads an answer or one event of it.
absl::StatusOr<EngineAnswer> ParseEngineAnswer(std::string_view json);

/// Reads an answer to a load poll.
absl::StatusOr<UpstreamPolled> ParseEngineLoad(std::string_view json);

struct EngineEvents {
  std::string boot_id;
  std::uint64_t next = 0;  ///< Where the next poll goes on.
  std::vector<CacheEvent> events;
};

/// Reads an answer to a poll of cache events. Events of unknown kinds are left
/// out.
absl::StatusOr<EngineEvents> ParseEngineEvents(std::string_view json);

/// Returns the body that carries an order to the engine.
std::string EngineOrderBody(const EngineOrder& order);

}  // namespace yuccapick

#endif  // YUCCAPICK_ENGINE_PROTOCOL_H_
