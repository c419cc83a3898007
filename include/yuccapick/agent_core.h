#ifndef YUCCAPICK_AGENT_CORE_H_
#define YUCCAPICK_AGENT_CORE_H_

/// @file
/// State machine of the agent that runs beside one upstream: admits attempts,
/// fences orders, tracks the engine's cache and drains.

#include <memory>

#include "yuccapick/agent_events.h"
#include "yuccapick/guards.h"
#include "yuccapick/ids.h"

namespace yuccapick {

struct AgentCoreOptions {
  UpstreamInfo upstream;  ///< Identity and address; agent incarnation set.
  std::chrono::milliseconds report_interval{500};
  std::uint64_t seed = 0;
  Guards guards = {};               ///< Disabled only by mutation tests.
  std::uint32_t max_slots = 1'024;  ///< Concurrent attempts at the upstream.
};

/// Decides which attempts and orders reach the upstream. Does no I/O and reads
/// no clock: events go in, actions come out. Not thread-safe.
class AgentCore {
 public:
  explicit AgentCore(AgentCoreOptions options);
  ~AgentCore();
  AgentCore(const AgentCore&) = delete;
  AgentCore& operator=(const AgentCore&) = delete;

  /// Processes one event and returns the actions to carry out, in order.
  AgentActions Handle(const AgentEvent& event, TimePoint now);

  /// Returns a report with a full cache digest, for a router that starts to
  /// watch.
  AgentReport FullReport(TimePoint now) const;

  const UpstreamInfo& Upstream() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_AGENT_CORE_H_
