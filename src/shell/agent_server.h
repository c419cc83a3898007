#ifndef YUCCAPICK_SHELL_AGENT_SERVER_H_
#define YUCCAPICK_SHELL_AGENT_SERVER_H_

/// @file
/// The agent's duty towards other processes: it owns the decisions, takes
/// attempts, orders and watches from links, and answers them.

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
  /// Hands a command to the upstream duty; false if its ring is full.
  std::function<bool(UpstreamCommand)> upstream;
  /// A watcher showed the version that is in force at its process.
  std::function<void(ConfigVersion)> peer_version;
  /// Nothing is in flight any more after `Leave`.
  std::function<void()> drained;
};

/// Counters of this duty.
struct AgentServerStats {
  std::uint64_t attempts = 0;
  std::uint64_t malformed = 0;       ///< Messages that could not be read.
  std::uint64_t replies_slowed = 0;  ///< Times a slow reader held one back.
  std::uint64_t reports_skipped = 0;
};

/// Used on its loop's thread only.
class AgentServer : public std::enable_shared_from_this<AgentServer> {
 public:
  AgentServer(asio::io_context& loop, const ProcessSettings& settings,
              Incarnation incarnation, AgentServerOutputs outputs);

  absl::Status Start();
  /// Ends all links after what was sent has left.
  void Stop();

  /// Takes an event into the decisions and carries the actions out.
  void Handle(const AgentEvent& event);
  /// Begins a graceful stop.
  void Leave(std::chrono::milliseconds deadline);

  /// For further calls, to be registered before `Start`.
  LinkServer& links() { return *links_; }
  const AgentCore& core() const { return core_; }
  /// Returns counters and gauges in the Prometheus text format.
  std::string RenderMetrics() const;

 private:
  struct Watcher {
    LinkStreamPtr stream;
    bool needs_full_report = false;
  };

  void TakeAttemptStream(const LinkStreamPtr& stream);
  bool TakeAttempt(const LinkStreamPtr& stream, std::string_view payload,
                   AttemptId& id);
  void AttemptClosed(const AttemptId& attempt, bool link_broken);
  /// Returns the attempt under which the upstream works on `attempt`'s answer.
  AttemptId UpstreamName(const AttemptId& attempt) const;
  void NoteResumption(const AttemptRequest& request);
  void TakeWatchStream(const LinkStreamPtr& stream);
  void TakeWatch(const LinkStreamPtr& stream, std::string_view payload);
  void TakeOrder(const std::string& bytes, CallDone done);

  void Do(const ForwardAttempt& action);
  void Do(const CancelUpstream& action);
  void Do(const ForwardOrder& action);
  void Do(const ReplyHead& action);
  void Do(const ReplyChunk& action);
  void Do(const ReplyEnd& action);
  void Do(const ReplyFailed& action);
  void Do(const ReplyOrder& action);
  void Do(const PushReport& action);
  void Do(const CommitTable& action);
  void Do(const ReadTable& action);
  void Do(const WakeAt& action);
  void Do(const DrainComplete& action);

  template <typename Message>
  void Reply(const AttemptId& attempt, const Message& message);
  template <typename Message>
  void ReplyLast(const AttemptId& attempt, const Message& message);
  void SendUpstream(UpstreamCommand command);
  void OfferCommands();

  AgentServerOutputs outputs_;
  AgentCore core_;
  std::shared_ptr<LinkServer> links_;
  asio::steady_timer wake_timer_;
  asio::steady_timer offer_timer_;
  std::deque<UpstreamCommand> commands_;
  std::unordered_map<std::string, LinkStreamPtr> attempts_;
  std::unordered_map<std::string, AttemptId> resumed_;
  std::deque<std::string> resumed_order_;
  std::unordered_map<LinkStream*, Watcher> watchers_;
  std::unordered_map<std::string, CallDone> orders_;
  AgentServerStats stats_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_AGENT_SERVER_H_
