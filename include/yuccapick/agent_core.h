#ifndef YUCCAPICK_AGENT_CORE_H_
#define YUCCAPICK_AGENT_CORE_H_

/// @file
/// The decisions of the agent beside one upstream: gate, fence, cache picture,
/// drain.

#include <memory>

#include "yuccapick/agent_events.h"
#include "yuccapick/guards.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// What an agent core needs to know of its process and upstream.
struct AgentCoreOptions {
  UpstreamInfo upstream;  ///< Identity and address; agent incarnation set.
  std::chrono::milliseconds report_interval{500};
  std::uint64_t seed = 0;
  Guards guards = {};               ///< Switched off only by mutation tests.
  std::uint32_t max_slots = 1'024;  ///< Attempts at the upstream at a time.
};

/// Decides what reaches the upstream. Not thread-safe.
class AgentCore {
 public:
  explicit AgentCore(AgentCoreOptions options);
  ~AgentCore();
  AgentCore(const AgentCore&) = delete;
  AgentCore& operator=(const AgentCore&) = delete;

  /// Takes one event and returns what is to be done, in order.
  AgentActions Handle(const AgentEvent& event, TimePoint now);

  /// A report with a full digest, for a router that begins to watch.
  AgentReport FullReport(TimePoint now) const;

  const UpstreamInfo& Upstream() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_AGENT_CORE_H_
