#ifndef YUCCAPICK_AGENT_EVENTS_H_
#define YUCCAPICK_AGENT_EVENTS_H_

/// @file
/// Events into and actions out of an agent's decisions.

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "yuccapick/config_snapshot.h"
#include "yuccapick/ids.h"
#include "yuccapick/link_messages.h"
#include "yuccapick/router_events.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

/// One cache event of an engine.
struct CacheEvent {
  enum class Kind : std::uint8_t { kStored, kEvicted, kCleared };
  Kind kind = Kind::kStored;
  std::uint64_t sequence = 0;
  std::string block;            ///< The engine's own block id.
  AttemptId attempt;            ///< For `kStored`: whose prompt it is of.
  std::uint32_t end_token = 0;  ///< For `kStored`: tokens up to its end.
};

// Events.

struct AttemptArrived {
  AttemptRequest request;
};
/// The router cancelled the attempt or its link broke.
struct AttemptAbandoned {
  AttemptId attempt;
  bool link_broken = false;
};
struct UpstreamHead {
  AnswerHead head;
};
struct UpstreamChunk {
  AnswerChunk chunk;
};
struct UpstreamEnd {
  AnswerEnd end;
};
/// The upstream broke off or refused.
struct UpstreamFailed {
  AttemptId attempt;
  bool sent = true;  ///< False only if no byte can have reached the upstream.
  std::string reason;
};
/// The upstream answered a load poll.
struct UpstreamPolled {
  std::string boot_id;  ///< Changes when the upstream restarts.
  LoadReport load;
  std::vector<LoadedModel> loaded;
};
/// The upstream did not answer a load poll.
struct UpstreamUnreachable {};
struct CacheEventsArrived {
  std::string boot_id;
  std::vector<CacheEvent> events;
};
struct OrderArrived {
  EngineOrder order;
};
/// The engine answered a forwarded order.
struct OrderAnswered {
  std::string order;
  bool accepted = false;
  std::string reason;
};
/// A mark that the upstream is to leave: list, operator or own stop.
struct UpstreamDrainRequested {
  std::chrono::milliseconds deadline{0};
};

using AgentEvent =
    std::variant<AttemptArrived, AttemptAbandoned, UpstreamHead, UpstreamChunk,
                 UpstreamEnd, UpstreamFailed, UpstreamPolled,
                 UpstreamUnreachable, CacheEventsArrived, OrderArrived,
                 OrderAnswered, UpstreamDrainRequested, ConfigChanged,
                 TableCommitted, TableRead, Tick>;

// Actions.

/// Passes an attempt on to the upstream.
struct ForwardAttempt {
  AttemptRequest request;
};
struct CancelUpstream {
  AttemptId attempt;
};
struct ReplyHead {
  AnswerHead head;
};
struct ReplyChunk {
  AnswerChunk chunk;
};
struct ReplyEnd {
  AnswerEnd end;
};
struct ReplyFailed {
  AttemptFailed failure;
};
struct ForwardOrder {
  EngineOrder order;
};
struct ReplyOrder {
  OrderResult result;
};
/// Pushes a report to every watcher.
struct PushReport {
  AgentReport report;
};

using AgentAction =
    std::variant<ForwardAttempt, CancelUpstream, ReplyHead, ReplyChunk,
                 ReplyEnd, ReplyFailed, ForwardOrder, ReplyOrder, PushReport,
                 CommitTable, ReadTable, WakeAt, DrainComplete>;
using AgentActions = std::vector<AgentAction>;

}  // namespace yuccapick

#endif  // YUCCAPICK_AGENT_EVENTS_H_
