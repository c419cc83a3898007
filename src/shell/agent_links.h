#ifndef YUCCAPICK_SHELL_AGENT_LINKS_H_
#define YUCCAPICK_SHELL_AGENT_LINKS_H_

/// @file
/// A router's links to the agents of all upstreams.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "shell/settings.h"
#include "yuccapick/link_messages.h"
#include "yuccapick/router_events.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

struct AgentLinksOptions {
  InstanceId instance;  ///< This router; sent to the agents.
  std::string secret;
  TlsSettings tls;
  std::chrono::milliseconds report_interval{500};
  std::size_t mailbox_capacity = 1 << 13;
  std::uint64_t seed = 0;  ///< Seeds the reconnect jitter.
};

/// Counters of all links.
struct AgentLinksStats {
  std::uint64_t links_up = 0;
  std::uint64_t links_lost = 0;        ///< Connections that failed.
  std::uint64_t attempts = 0;          ///< Attempts sent on a link.
  std::uint64_t attempts_lost = 0;     ///< Lost to a link or answer failure.
  std::uint64_t sink_refusals = 0;     ///< Times the sink was full.
  std::uint64_t reports_rejected = 0;  ///< Malformed or of another agent.
};

/// Owns one thread with a link to each agent: sends attempts, receives answers
/// and reports. All methods may be called from any thread; results arrive as
/// `RouterEvent`s at the sink.
class AgentLinks {
 public:
  /// Receives events on the links' thread, such as `Mailbox::Post` of the
  /// router core. While it returns false the event is kept, flow control
  /// slows its stream down, and delivery is retried.
  using Sink = std::function<bool(const RouterEvent&)>;

  AgentLinks(AgentLinksOptions options, Sink sink);
  /// Stops the thread and closes all links.
  ~AgentLinks();
  AgentLinks(const AgentLinks&) = delete;
  AgentLinks& operator=(const AgentLinks&) = delete;

  void Start();
  /// Stops the thread. The sink receives no event afterwards.
  void Stop();

  // Each returns false, without any effect, if the command mailbox is full.

  /// Adds an agent, reconnects if its address changed, or removes it (`kGone`).
  [[nodiscard]] bool Apply(UpstreamInfo upstream);
  /// Sends an attempt. If it cannot be sent it ends with an `AttemptLost` whose
  /// `sent` is false.
  [[nodiscard]] bool Send(SendAttempt attempt);
  /// Resets the attempt's stream. No further event of the attempt is emitted;
  /// events that the sink already received stay valid.
  [[nodiscard]] bool Cancel(CancelAttempt attempt);
  /// Pauses or resumes receiving an attempt's answer, for a caller that reads
  /// slowly; flow control slows the agent down.
  [[nodiscard]] bool SetReceiving(UpstreamId upstream, AttemptId attempt,
                                  bool receiving);
  /// Sets the configuration version that watch requests carry to the agents.
  [[nodiscard]] bool SetConfig(ConfigVersion version);

  /// Sends an order; `done` runs on the links' thread. After an error
  /// other than `kUnavailable` the agent may have accepted the order.
  [[nodiscard]] bool Order(
      UpstreamId upstream, EngineOrder order,
      std::function<void(absl::StatusOr<OrderResult>)> done);
  /// Calls a named handler of the agent; `done` runs on the links' thread.
  [[nodiscard]] bool Call(
      UpstreamId upstream, std::string name, std::string bytes,
      std::function<void(absl::StatusOr<std::string>)> done);

  AgentLinksStats stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_AGENT_LINKS_H_
