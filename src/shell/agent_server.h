#ifndef YUCCAPICK_SHELL_AGENT_SERVER_H_
#define YUCCAPICK_SHELL_AGENT_SERVER_H_

/// @file
/// Serves other processes over links: owns the agent core, receives attempts,
/// orders and watch requests, and sends the replies.

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "absl/status/status.h"
#include "shell/link_server.h"
#include "shell/settings.h"
#include "shell/upstream_client.h"
#include "yuccapick/agent_core.h"

namespace yuccapick {

struct AgentServerOutputs {
  /// Posts a command to the upstream client; false if its mailbox is full.
  std::function<bool(UpstreamCommand)> upstream;
  /// A watcher sent the configuration version that is in force at its process.
  std::function<void(ConfigVersion)> peer_version;
  /// Called once after `Drain`, when nothing is in flight any more.
  std::function<void()> drained;
};

/// Counters of the agent server.
struct AgentServerStats {
  std::uint64_t attempts = 0;
  std::uint64_t malformed = 0;        ///< Messages that could not be decoded.
  std::uint64_t replies_slowed = 0;   ///< Times a slow reader paused one.
  std::uint64_t reports_skipped = 0;  ///< Not sent to a slow watcher.
};

/// Receives attempts, orders and watches; used on its loop's thread only.
class AgentServer : public std::enable_shared_from_this<AgentServer> {
 public:
  AgentServer(asio::io_context& loop, const ProcessSettings& settings,
              Incarnation incarnation, AgentServerOutputs outputs);

  absl::Status Start();
  /// Closes all links after the pending data is sent.
  void Stop();

  /// Passes an event to the agent core and executes the resulting actions.
  void Handle(const AgentEvent& event);
  /// Starts a graceful shutdown.
  void Drain(std::chrono::milliseconds deadline);

  /// The link server, to register further calls before `Start`.
  LinkServer& links() { return *links_; }
  const AgentCore& core() const { return core_; }
  /// Returns counters and gauges in the Prometheus text format.
  std::string RenderMetrics() const;

 private:
  struct Watcher {
    LinkStreamPtr stream;
    bool needs_full_report = false;
  };

  void OnAttemptStream(const LinkStreamPtr& stream);
  bool StartAttempt(const LinkStreamPtr& stream, std::string_view payload,
                    AttemptId& id);
  void OnAttemptClosed(const AttemptId& attempt, bool link_broken);
  /// Returns the id under which the upstream runs `attempt`: that of the
  /// attempt it resumes, if any.
  AttemptId UpstreamAttempt(const AttemptId& attempt) const;
  void RecordResumption(const AttemptRequest& request);
  void OnWatchStream(const LinkStreamPtr& stream);
  void OnWatchRequest(const LinkStreamPtr& stream, std::string_view payload);
  void OnOrder(const std::string& bytes, CallDone done);

  void Execute(const ForwardAttempt& action);
  void Execute(const CancelUpstream& action);
  void Execute(const ForwardOrder& action);
  void Execute(const ReplyHead& action);
  void Execute(const ReplyChunk& action);
  void Execute(const ReplyEnd& action);
  void Execute(const ReplyFailed& action);
  void Execute(const ReplyOrder& action);
  void Execute(const PushReport& action);
  void Execute(const CommitTable& action);
  void Execute(const ReadTable& action);
  void Execute(const WakeAt& action);
  void Execute(const DrainComplete& action);

  template <typename Message>
  void Reply(const AttemptId& attempt, const Message& message);
  template <typename Message>
  void FinishReply(const AttemptId& attempt, const Message& message);
  /// Posts a command to the upstream client; queues it while the mailbox is
  /// full.
  void SendUpstream(UpstreamCommand command);
  void FlushCommands();

  AgentServerOutputs outputs_;
  AgentCore core_;
  std::shared_ptr<LinkServer> links_;
  asio::steady_timer wake_timer_;
  asio::steady_timer command_retry_timer_;
  std::deque<UpstreamCommand> pending_commands_;
  std::unordered_map<std::string, LinkStreamPtr> attempts_;
  std::unordered_map<std::string, AttemptId> upstream_attempts_;
  std::deque<std::string> resumption_order_;
  std::unordered_map<LinkStream*, Watcher> watchers_;
  std::unordered_map<std::string, CallDone> orders_;
  AgentServerStats stats_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_AGENT_SERVER_H_
