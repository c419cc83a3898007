#ifndef YUCCAPICK_SHELL_UPSTREAM_CLIENT_H_
#define YUCCAPICK_SHELL_UPSTREAM_CLIENT_H_

/// @file
/// The agent's client of its upstream: forwards attempts and orders, and polls
/// load and cache events.

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

#include "shell/http_client.h"
#include "shell/upstream_exchange.h"
#include "yuccapick/agent_events.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

/// Stops or resumes receiving an attempt's response.
struct SetUpstreamReceiving {
  AttemptId attempt;
  bool receiving = true;
};

using UpstreamCommand = std::variant<ForwardAttempt, CancelUpstream,
                                     ForwardOrder, SetUpstreamReceiving>;

struct UpstreamClientOptions {
  UpstreamKind kind = UpstreamKind::kModelEngine;
  std::string url;  ///< Base URL without a path.
  std::chrono::milliseconds poll_interval{200};
  std::chrono::milliseconds poll_timeout{1'000};
  std::chrono::milliseconds event_poll_timeout{5'000};
};

/// All methods must be called on the loop's thread.
class UpstreamClient : public std::enable_shared_from_this<UpstreamClient> {
 public:
  /// Passes an event on. Returns false if the event queue is full; the client
  /// then stops receiving and retries.
  using Emit = std::function<bool(const AgentEvent&)>;

  UpstreamClient(asio::io_context& loop, UpstreamClientOptions options,
                 Emit emit);

  /// Starts polling.
  void Start();
  /// Cancels all exchanges without an event.
  void Stop();
  void Execute(const UpstreamCommand& command);

  std::size_t exchanges() const { return exchanges_.size(); }

 private:
  struct Exchange {
    RequestHandle handle{};
    bool is_model = false;
    bool receiving = true;  ///< As last set by `SetUpstreamReceiving`.
  };

  void On(const ForwardAttempt& command);
  UpstreamExchange::Outputs ExchangeOutputs(const AttemptRequest& attempt);
  void On(const CancelUpstream& command);
  void On(const ForwardOrder& command);
  void On(const SetUpstreamReceiving& command);

  void PollLoad();
  void OnLoadResponse(const HttpResponse& response);
  void PollEvents();
  void OnEventsResponse(const HttpResponse& response);

  void EmitOrQueue(AgentEvent event);
  void EmitPending();
  void SetAllReceiving(bool receiving);
  /// Runs `step` after `delay` unless stopped.
  void RunAfter(asio::steady_timer& timer, std::chrono::milliseconds delay,
                void (UpstreamClient::*step)());

  UpstreamClientOptions options_;
  Emit emit_;
  HttpClient client_;
  std::unordered_map<std::string, Exchange> exchanges_;
  std::deque<AgentEvent> pending_;
  asio::steady_timer pending_timer_;
  asio::steady_timer load_timer_;
  asio::steady_timer event_timer_;
  int failed_polls_ = 0;
  std::string events_boot_id_;
  std::uint64_t events_after_ = 0;
  bool stopped_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_UPSTREAM_CLIENT_H_
