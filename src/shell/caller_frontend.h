#ifndef YUCCAPICK_SHELL_CALLER_DUTY_H_
#define YUCCAPICK_SHELL_CALLER_DUTY_H_

/// @file
/// The duty that speaks with callers: from HTTP calls to router events, and
/// from router actions to answers.

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

/// What the router's decisions tell this duty.
using CallerReply = std::variant<BeginAnswer, SendAnswerData, FinishAnswer,
                                 FailRequest, OperationQueryResult>;

/// Owns the callers' thread and server.
class CallerDuty : private CallerHandler {
 public:
  struct Outputs {
    /// Hands an event to the decisions; false if their ring is full.
    std::function<bool(RouterEvent)> post;
    /// Renders the metrics; the result may come on any thread.
    std::function<void(std::function<void(std::string)>)> metrics;
  };

  CallerDuty(const ProcessSettings& settings, Outputs outputs);
  ~CallerDuty() override;

  /// Listens and starts the thread.
  absl::Status Start();
  void Stop();

  // Commands, from any thread.

  void Reply(const CallerReply& reply);
  void SetConfig(const ConfigPtr& config);
  /// Whether `/readyz` says so and new work is taken.
  void SetReady(bool ready) { ready_.store(ready); }

  /// Replies that found the ring full.
  std::size_t DelayedReplies() const { return delayed_.load(); }

 private:
  /// What calls are checked against.
  struct View {
    ConfigPtr config;
    Authenticator authenticator;
  };
  struct Pending {
    std::shared_ptr<CallerExchange> exchange;
    bool event_stream = false;
    bool begun = false;
  };

  void OnCall(std::uint64_t call_id, HttpCall call,
              std::shared_ptr<CallerExchange> exchange) override;
  void OnCallerDisconnected(std::uint64_t call_id) override;

  void TakeRequest(CallerRoute route, RequestId id, HttpCall call,
                   const std::shared_ptr<CallerExchange>& exchange);
  void TakeQuery(const HttpCall& call, const TeamId& team, RequestId id,
                 const std::shared_ptr<CallerExchange>& exchange);
  /// Hands an event to the decisions and remembers whom to answer.
  void Submit(RequestId id, Pending pending, RouterEvent event);
  void AnswerMetrics(const std::shared_ptr<CallerExchange>& exchange);

  void On(const BeginAnswer& reply);
  void On(SendAnswerData& reply);
  void On(const FinishAnswer& reply);
  void On(const FailRequest& reply);
  void On(const OperationQueryResult& reply);
  Pending* Find(RequestId id);

  Outputs outputs_;
  LoopThread thread_;
  std::unique_ptr<CallerServer> server_;
  Mailbox<CallerReply> replies_;
  std::shared_ptr<const View> view_;
  std::atomic<bool> ready_{false};
  std::atomic<std::size_t> delayed_{0};
  absl::flat_hash_map<RequestId, Pending> pending_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_CALLER_DUTY_H_
