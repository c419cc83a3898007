#ifndef YUCCAPICK_SHELL_CALLER_FRONTEND_H_
#define YUCCAPICK_SHELL_CALLER_FRONTEND_H_

/// @file
/// Translates callers' HTTP calls to router events, and router actions to HTTP
/// responses.

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/status.h"
#include "shell/caller_server.h"
#include "shell/loop_thread.h"
#include "shell/mailbox.h"
#include "shell/settings.h"
#include "yuccapick/authenticator.h"
#include "yuccapick/router_events.h"

namespace yuccapick {

/// Actions of the router core that the frontend executes.
using CallerReply = std::variant<BeginAnswer, SendAnswerData, FinishAnswer,
                                 FailRequest, OperationQueryResult>;

/// Owns the HTTP server for callers and its thread.
class CallerFrontend : private CallerHandler {
 public:
  struct Outputs {
    /// Posts an event to the router core; false if its mailbox is full.
    std::function<bool(RouterEvent)> post;
    /// Renders the metrics; the callback may run on any thread.
    std::function<void(std::function<void(std::string)>)> metrics;
  };

  CallerFrontend(const ProcessSettings& settings, Outputs outputs);
  ~CallerFrontend() override;

  /// Starts the thread and listens.
  /// @return the error if the address cannot be bound
  absl::Status Start();
  /// Stops the thread when the answers are written.
  /// @param write_limit after which they are cut
  void Stop(std::chrono::milliseconds write_limit);

  // Callable from any thread.

  /// Queues a reply. Blocks while the mailbox is full.
  void Reply(const CallerReply& reply);
  void SetConfig(const ConfigPtr& config);
  /// Sets whether `/readyz` reports ready and new requests are accepted.
  void SetReady(bool ready) { ready_.store(ready); }

  /// Number of times a reply waited for a full mailbox.
  std::size_t DelayedReplies() const { return delayed_replies_.load(); }

 private:
  /// Configuration that calls are validated against.
  struct ConfigView {
    ConfigPtr config;
    Authenticator authenticator;
  };
  struct PendingCall {
    std::shared_ptr<CallerExchange> exchange;
    bool event_stream = false;
    bool response_started = false;
  };

  void OnCall(std::uint64_t call_id, HttpCall call,
              std::shared_ptr<CallerExchange> exchange) override;
  void OnCallerDisconnected(std::uint64_t call_id) override;

  void HandleRequest(CallerRoute route, RequestId id, HttpCall call,
                     const std::shared_ptr<CallerExchange>& exchange);
  void HandleOperationQuery(const HttpCall& call, const TeamId& team,
                            RequestId id,
                            const std::shared_ptr<CallerExchange>& exchange);
  /// Posts an event to the router core and records the exchange to answer.
  void Submit(RequestId id, PendingCall pending, RouterEvent event);
  void RespondWithMetrics(const std::shared_ptr<CallerExchange>& exchange);

  void On(const BeginAnswer& reply);
  void On(SendAnswerData& reply);
  void On(const FinishAnswer& reply);
  void On(const FailRequest& reply);
  void On(const OperationQueryResult& reply);
  PendingCall* Find(RequestId id);

  Outputs outputs_;
  LoopThread thread_;
  std::unique_ptr<CallerServer> server_;
  Mailbox<CallerReply> replies_;
  std::shared_ptr<const ConfigView> config_view_;
  std::atomic<bool> ready_{false};
  std::atomic<std::size_t> delayed_replies_{0};
  absl::flat_hash_map<RequestId, PendingCall> pending_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_CALLER_FRONTEND_H_
