#ifndef YUCCAPICK_SHELL_ROUTER_PROCESS_H_
#define YUCCAPICK_SHELL_ROUTER_PROCESS_H_

/// @file
/// A router process: a thread for each duty, joined by bounded rings.

#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "shell/agent_links.h"
#include "shell/caller_duty.h"
#include "shell/control_loop.h"
#include "shell/loop_thread.h"
#include "shell/mailbox.h"
#include "shell/metrics_thread.h"
#include "shell/settings.h"
#include "yuccapick/router_core.h"

namespace yuccapick {

/// Owns the duties of a router: callers, decisions, agents, platform, metrics.
class RouterProcess {
 public:
  /// @param drained called on the decisions' thread once a drain is complete
  RouterProcess(const ProcessSettings& settings, Incarnation incarnation,
                std::uint64_t seed, std::function<void()> drained);
  ~RouterProcess();

  absl::Status Start();

  /// Takes no new requests and finishes those in flight, within the settings'
  /// drain deadline.
  void Drain();

  /// Ends all threads.
  void Stop();

 private:
  /// The decisions, their timer and their ring.
  struct Decisions {
    LoopThread thread;
    RouterCore core;
    Mailbox<RouterEvent> events;
    asio::steady_timer timer;
    std::optional<TimePoint> wake;

    Decisions(const RouterCoreOptions& options,
              std::function<void(RouterEvent)> consumer);
  };

  bool Post(RouterEvent event) {
    return decisions_.events.Post(std::move(event));
  }
  void OnEvent(const RouterEvent& event);
  void Mirror(const RouterEvent& event);
  void OnControl(const ControlEvent& event);

  void Do(SendAttempt& action);
  void Do(CancelAttempt& action);
  void Do(BeginAnswer& action);
  void Do(SendAnswerData& action);
  void Do(FinishAnswer& action);
  void Do(FailRequest& action);
  void Do(CommitTable& action);
  void Do(ReadTable& action);
  void Do(WakeAt& action);
  void Do(DrainComplete& action);
  void Do(RequestFinished& action);
  void Do(OperationQueryResult& action);

  std::string RenderGauges() const;

  ProcessSettings settings_;
  std::function<void()> drained_;
  MetricsThread metrics_;
  Decisions decisions_;
  bool draining_ = false;  ///< Of the decisions' thread.
  AgentLinks links_;
  ControlLoop control_;
  CallerDuty callers_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_ROUTER_PROCESS_H_
