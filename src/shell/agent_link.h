#ifndef YUCCAPICK_SHELL_AGENT_LINK_H_
#define YUCCAPICK_SHELL_AGENT_LINK_H_

/// @file
/// A router's link to one agent: its attempts and its watch.

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

/// What the links of one router share. Lives on the links' thread.
struct AgentLinkContext {
  AgentLinksOptions options;
  TlsContextPtr tls;
  ConfigVersion config;
  AgentLinksStats stats;
  /// Returns false while the sink takes nothing.
  std::function<bool(const RouterEvent&)> emit;
  /// Hands over an event that no flow control can hold back.
  std::function<void(RouterEvent)> emit_later;
};

/// All calls are made on the links' thread.
class AgentLink : public std::enable_shared_from_this<AgentLink> {
 public:
  static std::shared_ptr<AgentLink> Make(asio::io_context& loop,
                                         AgentLinkContext& context,
                                         UpstreamInfo upstream);

  void Start();
  /// Ends the link; attempts on it are lost.
  void Stop();

  void Send(const AttemptRequest& request);
  void Cancel(const AttemptId& attempt);
  void SetReceiving(const AttemptId& attempt, bool receiving);
  void ShowConfig();
  void Order(const EngineOrder& order,
             std::function<void(absl::StatusOr<OrderResult>)> done);
  void Call(const std::string& name, std::string_view bytes, CallDone done);
  /// Offers again what the sink refused.
  void Retry();

  const UpstreamInfo& upstream() const { return upstream_; }

 private:
  struct Attempt {
    LinkStreamPtr stream;
    bool caller_receives = true;
  };

  AgentLink(asio::io_context& loop, AgentLinkContext& context,
            UpstreamInfo upstream);

  LinkStreamHandlers AttemptHandlers(const AttemptId& attempt);
  bool TakeAnswerFrame(const AttemptId& attempt, LinkMessageType type,
                       std::string_view payload);
  template <LinkMessage Message, typename Event>
  bool TakeAnswer(const AttemptId& attempt, std::string_view payload,
                  Event make_event, bool last);
  void LoseCrossed(const AttemptId& attempt);
  void AttemptClosed(const AttemptId& attempt, const LinkClose& close);
  void LoseAttempt(const AttemptId& attempt, bool sent);

  void BeginWatch();
  bool TakeReport(LinkMessageType type, std::string_view payload);

  AgentLinkContext& context_;
  asio::io_context& loop_;
  UpstreamInfo upstream_;
  std::shared_ptr<LinkClient> client_;
  std::unordered_map<std::string, Attempt> attempts_;
  LinkStreamPtr watch_;
  asio::steady_timer watch_timer_;
  bool was_up_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_AGENT_LINK_H_
