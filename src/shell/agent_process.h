#ifndef YUCCAPICK_SHELL_AGENT_PROCESS_H_
#define YUCCAPICK_SHELL_AGENT_PROCESS_H_

/// @file
/// An agent process: one thread per component, connected by bounded mailboxes.

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

#include "absl/status/status.h"
#include "shell/agent_server.h"
#include "shell/control_loop.h"
#include "shell/loop_thread.h"
#include "shell/mailbox.h"
#include "shell/metrics_server.h"
#include "shell/settings.h"
#include "shell/upstream_client.h"

namespace yuccapick {

/// Owns the components of an agent: the link server with the agent core, the
/// upstream client, the control loop and the metrics server.
class AgentProcess {
 public:
  /// @param drained called on the links' thread once a drain is complete
  AgentProcess(const ProcessSettings& settings, Incarnation incarnation,
               std::uint64_t seed, std::function<void()> drained);
  ~AgentProcess();
  AgentProcess(const AgentProcess&) = delete;
  AgentProcess& operator=(const AgentProcess&) = delete;

  absl::Status Start();
  /// Rejects new attempts and finishes those in flight, within the drain
  /// deadline of the settings.
  void Drain();
  /// Stops all threads.
  void Stop();

  /// Posts an event to the agent core, from any thread; false if its mailbox
  /// is full.
  bool Post(AgentEvent event) { return events_.Post(std::move(event)); }

  /// The link server, to register further calls before `Start`.
  LinkServer& links() { return server_->links(); }
  /// The event loop of the links' thread.
  asio::io_context& loop() { return link_thread_.loop(); }

 private:
  bool OnControlEvent(const ControlEvent& event);
  void ServeControlCalls();
  void OpenMetrics();
  void FinishDrain();
  void PollFlushed();

  ProcessSettings settings_;
  std::function<void()> drained_;
  LoopThread link_thread_;
  LoopThread upstream_thread_;
  Mailbox<AgentEvent> events_;
  Mailbox<UpstreamCommand> commands_;
  std::shared_ptr<AgentServer> server_;
  std::shared_ptr<UpstreamClient> upstream_;
  ControlLoop control_;
  std::unique_ptr<MetricsServer> metrics_;  ///< Null if disabled.
  asio::steady_timer flush_timer_;
  std::chrono::steady_clock::time_point flush_deadline_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_AGENT_PROCESS_H_
