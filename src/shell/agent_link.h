#ifndef YUCCAPICK_SHELL_AGENT_LINK_H_
#define YUCCAPICK_SHELL_AGENT_LINK_H_

/// @file
/// A router's link to one agent: carries attempts and subscribes to reports.

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "shell/agent_links.h"
#include "shell/link_client.h"
#include "yuccapick/router_events.h"

namespace yuccapick {

/// State that all links of one router share. Used on the links' thread only.
struct AgentLinkContext {
  AgentLinksOptions options;
  TlsContextPtr tls;
  ConfigVersion config;
  AgentLinksStats stats;
  /// Hands an event to the sink; false if the sink is full.
  std::function<bool(const RouterEvent&)> try_emit;
  /// Hands an event to the sink, or queues it if the sink is full. For events
  /// that don't come from a stream, so that flow control can't delay them.
  std::function<void(RouterEvent)> emit_or_queue;
};

/// Connects to one agent and reconnects after a failure. All methods are called
/// on the links' thread.
class AgentLink : public std::enable_shared_from_this<AgentLink> {
 public:
  static std::shared_ptr<AgentLink> Make(asio::io_context& loop,
                                         AgentLinkContext& context,
                                         UpstreamInfo upstream);

  void Start();
  /// Closes the link; attempts in flight on it end as `AttemptLost`.
  void Stop();

  void Send(const AttemptRequest& request);
  void Cancel(const AttemptId& attempt);
  void SetReceiving(const AttemptId& attempt, bool receiving);
  /// Sends the current configuration version to the agent on the watch stream.
  void SendWatchRequest();
  void Order(const EngineOrder& order,
             std::function<void(absl::StatusOr<OrderResult>)> done);
  void Call(const std::string& name, std::string_view bytes, CallDone done);
  /// Resumes the streams that were paused because the sink was full.
  void ResumeReceiving();

  const UpstreamInfo& upstream() const { return upstream_; }

 private:
  struct Attempt {
    LinkStreamPtr stream;
    bool caller_receives = true;
  };

  AgentLink(asio::io_context& loop, AgentLinkContext& context,
            UpstreamInfo upstream);

  LinkStreamHandlers AttemptHandlers(const AttemptId& attempt);
  bool OnAnswerFrame(const AttemptId& attempt, LinkMessageType type,
                     std::string_view payload);
  template <LinkMessage Message, typename Event>
  bool EmitAnswer(const AttemptId& attempt, std::string_view payload,
                  Event make_event, bool last);
  /// Resets the stream of an answer that is malformed or belongs to another
  /// attempt, and emits `AttemptLost`.
  void RejectAnswer(const AttemptId& attempt);
  void OnAttemptClosed(const AttemptId& attempt, const LinkClose& close);
  void EmitAttemptLost(const AttemptId& attempt, bool sent);

  void StartWatch();
  bool OnReportFrame(LinkMessageType type, std::string_view payload);

  AgentLinkContext& context_;
  asio::io_context& loop_;
  UpstreamInfo upstream_;
  std::shared_ptr<LinkClient> client_;
  std::unordered_map<std::string, Attempt> attempts_;
  LinkStreamPtr watch_;
  asio::steady_timer watch_timer_;
  bool is_up_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_AGENT_LINK_H_
