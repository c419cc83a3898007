#ifndef YUCCAPICK_SHELL_UPSTREAM_EXCHANGE_H_
#define YUCCAPICK_SHELL_UPSTREAM_EXCHANGE_H_

/// @file
/// One attempt's HTTP exchange with the upstream: converts the attempt to a
/// request and the response to agent events.

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

/// Reads one response. Its callbacks share ownership of it.
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange> {
 public:
  struct Outputs {
    /// Receives the events of the response, in order.
    std::function<void(AgentEvent)> emit;
    /// Runs once after the last event; the request may be cancelled then.
    std::function<void()> on_finished;
    /// Runs in place of `on_finished` if the engine no longer holds the stream
    /// that was to be resumed; nothing was emitted.
    std::function<void()> on_resume_unavailable;
  };

  UpstreamExchange(const AttemptRequest& attempt, Outputs outputs);

  HttpCallbacks Callbacks();

 private:
  enum class BodyMode : std::uint8_t { kPlain, kStream, kBuffered, kError };

  void OnHead(long status, const std::vector<Header>& headers);
  void OnData(std::string_view data);
  void OnDone(const HttpResult& result);
  void OnStreamEvent(std::string_view data);
  void Buffer(std::string_view data);
  void FinishBuffered();
  void FinishError();

  bool HasExpectedId(const std::string& id) const;
  void EmitHead(std::vector<Header> headers);
  void EmitChunk(std::string_view data, std::string text);
  void EmitEnd();
  void Fail(bool sent, std::string reason);
  void Finish();

  AttemptId attempt_;
  AttemptId expected_id_;  ///< Id that the engine's response must carry.
  RequestKind kind_;
  bool streamed_;
  Outputs outputs_;
  BodyMode body_mode_ = BodyMode::kPlain;
  std::uint32_t status_ = 0;
  std::vector<Header> headers_;
  SseParser parser_;
  std::string body_;
  std::uint64_t next_position_ = 0;
  std::optional<Usage> usage_;
  bool end_marker_seen_ = false;
  bool finished_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_UPSTREAM_EXCHANGE_H_
