#ifndef YUCCAPICK_SHELL_UPSTREAM_EXCHANGE_H_
#define YUCCAPICK_SHELL_UPSTREAM_EXCHANGE_H_

/// @file
/// One attempt's HTTP exchange with the upstream: from an attempt to a request,
/// from the answer to agent events.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "shell/http_client.h"
#include "yuccapick/agent_events.h"
#include "yuccapick/sse_parser.h"

namespace yuccapick {

/// Returns the HTTP request that carries `attempt` to the upstream.
absl::StatusOr<HttpRequest> MakeUpstreamRequest(const AttemptRequest& attempt,
                                                const std::string& base_url);

/// Reads one answer. It shares ownership with its callbacks.
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange> {
 public:
  struct Outputs {
    /// Takes the events of the answer, in order.
    std::function<void(AgentEvent)> emit;
    /// Runs once after the last event; the request may be dropped.
    std::function<void()> over;
    /// Runs in place of `over` if the engine no longer holds the stream that
    /// was to be resumed; nothing was emitted.
    std::function<void()> not_held;
  };

  UpstreamExchange(const AttemptRequest& attempt, Outputs outputs);

  HttpCallbacks Callbacks();

 private:
  enum class Form : std::uint8_t { kPlain, kStream, kWhole, kRefusal };

  void OnHead(long status, const std::vector<Header>& headers);
  void OnData(std::string_view data);
  void OnDone(const HttpResult& result);
  void OnStreamEvent(std::string_view data);
  void Buffer(std::string_view data);
  void EndWhole();
  void EndRefusal();

  bool IsOurs(const std::string& id) const;
  void EmitHead(std::vector<Header> headers);
  void EmitChunk(std::string_view data, std::string text);
  void EmitEnd();
  void Fail(bool sent, std::string reason);
  void Over();

  AttemptId attempt_;
  AttemptId answer_id_;  ///< Id that the engine's answer must carry.
  RequestKind kind_;
  bool streamed_;
  Outputs outputs_;
  Form form_ = Form::kPlain;
  std::uint32_t status_ = 0;
  std::vector<Header> headers_;
  SseParser parser_;
  std::string body_;
  std::uint64_t next_position_ = 0;
  std::optional<Usage> usage_;
  bool end_mark_ = false;
  bool is_over_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_UPSTREAM_EXCHANGE_H_
