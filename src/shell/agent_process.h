#ifndef YUCCAPICK_SHELL_AGENT_PROCESS_H_
#define YUCCAPICK_SHELL_AGENT_PROCESS_H_

/// @file
/// An agent process: a thread for each duty, joined by bounded rings.

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

/// Owns the duties of an agent: links with the decisions, and the upstream.
class AgentProcess {
 public:
  /// @param drained called on the links' thread once a drain is complete
  AgentProcess(const ProcessSettings& settings, Incarnation incarnation,
               std::uint64_t seed, std::function<void()> drained);
  ~AgentProcess();
  AgentProcess(const AgentProcess&) = delete;
  AgentProcess& operator=(const AgentProcess&) = delete;

  absl::Status Start();
  /// Takes no new work and finishes what is in flight, within the settings'
  /// drain deadline.
  void Drain();
  /// Ends all threads.
  void Stop();

  /// Hands an event to the decisions, from any thread; false if their ring is
  /// full.
  bool Post(AgentEvent event) { return events_.Post(std::move(event)); }

  /// For further calls and timers of the links' thread, before `Start`.
  LinkServer& links() { return server_->links(); }
  asio::io_context& loop() { return link_thread_.loop(); }

 private:
  bool TakeControl(const ControlEvent& event);
  void ServeControlCalls();
  void OpenMetrics();
  void FinishDrain();
  void WaitFlushed();

  ProcessSettings settings_;
  std::function<void()> drained_;
  LoopThread link_thread_;
  LoopThread upstream_thread_;
  Mailbox<AgentEvent> events_;
  Mailbox<UpstreamCommand> commands_;
  std::shared_ptr<AgentServer> server_;
  std::shared_ptr<UpstreamClient> upstream_;
  ControlLoop control_;
  std::unique_ptr<MetricsServer> metrics_;  ///< Null if switched off.
  asio::steady_timer flush_timer_;
  std::chrono::steady_clock::time_point flush_limit_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_AGENT_PROCESS_H_
