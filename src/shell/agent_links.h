#ifndef YUCCAPICK_SHELL_AGENT_LINKS_H_
#define YUCCAPICK_SHELL_AGENT_LINKS_H_

/// @file
/// A router's links to the agents beside all upstreams.

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
  InstanceId instance;  ///< Of this router, shown to the agents.
  std::string secret;
  TlsSettings tls;
  std::chrono::milliseconds report_interval{500};
  std::size_t mailbox_capacity = 1 << 13;
  std::uint64_t seed = 0;  ///< Of the reconnect jitter.
};

/// Counters of all links.
struct AgentLinksStats {
  std::uint64_t links_up = 0;
  std::uint64_t links_lost = 0;        ///< Connections that broke.
  std::uint64_t attempts = 0;          ///< Attempts put on a link.
  std::uint64_t attempts_lost = 0;     ///< Attempts that a broken link ended.
  std::uint64_t sink_refusals = 0;     ///< Events that waited for a full sink.
  std::uint64_t reports_rejected = 0;  ///< Malformed or another agent\'s.
};

/// Owns one thread with a link to each agent: sends attempts, receives answers
/// and reports. All methods may be called from any thread; results arrive as
/// `RouterEvent`s at the sink.
class AgentLinks {
 public:
  /// Takes an event on the links' thread, such as `Mailbox::Post` of the
  /// router's decisions. While it returns false the event is kept, its stream
  /// is slowed down by flow control, and the event is offered again.
  using Sink = std::function<bool(const RouterEvent&)>;

  AgentLinks(AgentLinksOptions options, Sink sink);
  /// Stops the thread; breaks all links.
  ~AgentLinks();
  AgentLinks(const AgentLinks&) = delete;
  AgentLinks& operator=(const AgentLinks&) = delete;

  void Start();
  /// Ends the thread. No event arrives at the sink afterwards.
  void Stop();

  // Each returns false if the ring of commands is full; nothing was done.

  /// Adds an agent, follows its change of address, or drops it (`kGone`).
  [[nodiscard]] bool Apply(UpstreamInfo upstream);
  /// Sends an attempt. One that cannot leave ends with an `AttemptLost` whose
  /// `sent` is false.
  [[nodiscard]] bool Send(SendAttempt attempt);
  /// Resets the attempt's stream; no event of it arrives afterwards, except
  /// those already handed to the sink.
  [[nodiscard]] bool Cancel(CancelAttempt attempt);
  /// Stops or resumes taking an attempt's answer, for a caller that reads
  /// slowly: the agent is slowed down by flow control.
  [[nodiscard]] bool SetReceiving(UpstreamId upstream, AttemptId attempt,
                                  bool receiving);
  /// The configuration version that watches show to agents from now on.
  [[nodiscard]] bool SetConfig(ConfigVersion version);

  /// Sends an order; `done` runs on the links' thread. An error that is not
  /// `kUnavailable` leaves open whether the order was taken.
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
