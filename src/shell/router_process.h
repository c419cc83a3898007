#ifndef YUCCAPICK_SHELL_ROUTER_PROCESS_H_
#define YUCCAPICK_SHELL_ROUTER_PROCESS_H_

/// @file
/// A router process: one thread per component, connected by bounded mailboxes.

#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "shell/agent_links.h"
#include "shell/caller_frontend.h"
#include "shell/control_loop.h"
#include "shell/loop_thread.h"
#include "shell/mailbox.h"
#include "shell/metrics_thread.h"
#include "shell/settings.h"
#include "yuccapick/router_core.h"

namespace yuccapick {

/// Owns the components of a router: the caller frontend, the router core, the
/// links to agents, the control loop and the metrics.
class RouterProcess {
 public:
  /// @param drained called on the core's thread once a drain is complete
  RouterProcess(const ProcessSettings& settings, Incarnation incarnation,
                std::uint64_t seed, std::function<void()> drained);
  ~RouterProcess();

  absl::Status Start();

  /// Rejects new requests and finishes those in flight, within the drain
  /// deadline of the settings.
  void Drain();

  /// Stops all threads.
  void Stop();

 private:
  /// The router core with its thread, timer and mailbox.
  struct CoreLoop {
    LoopThread thread;
    RouterCore core;
    Mailbox<RouterEvent> events;
    asio::steady_timer timer;
    std::optional<TimePoint> wake;

    CoreLoop(const RouterCoreOptions& options,
             std::function<void(RouterEvent)> consumer);
  };

  bool Post(RouterEvent event) {
    return core_loop_.events.Post(std::move(event));
  }
  void OnEvent(const RouterEvent& event);
  void NotifyComponents(const RouterEvent& event);
  void OnControl(const ControlEvent& event);

  void Execute(SendAttempt& action);
  void Execute(CancelAttempt& action);
  void Execute(BeginAnswer& action);
  void Execute(SendAnswerData& action);
  void Execute(FinishAnswer& action);
  void Execute(FailRequest& action);
  void Execute(CommitTable& action);
  void Execute(ReadTable& action);
  void Execute(WakeAt& action);
  void Execute(DrainComplete& action);
  void Execute(RequestFinished& action);
  void Execute(OperationQueryResult& action);

  std::string RenderGauges() const;

  ProcessSettings settings_;
  std::function<void()> drained_;
  MetricsThread metrics_;
  CoreLoop core_loop_;
  bool draining_ = false;  ///< Used on the core's thread only.
  /// When the drain deadline passes; nullopt unless it drains.
  std::optional<TimePoint> drain_until_;
  AgentLinks links_;
  ControlLoop control_;
  CallerFrontend caller_frontend_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_ROUTER_PROCESS_H_
