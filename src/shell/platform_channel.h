#ifndef YUCCAPICK_SHELL_PLATFORM_CHANNEL_H_
#define YUCCAPICK_SHELL_PLATFORM_CHANNEL_H_

/// @file
/// Rate-limited HTTP calls to the platform's services.

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "shell/http_client.h"
#include "yuccapick/platform_budget.h"

namespace yuccapick {

struct PlatformChannelOptions {
  PlatformBudgetOptions budget;
  std::chrono::milliseconds deadline{2'000};  ///< Of a call, including retries.
  /// A read whose answer hasn't begun after this long is sent again on a new
  /// connection, if as much time is left for that. The repeated one gets all
  /// the time left, since the platform may be slow.
  std::chrono::milliseconds attempt_timeout{500};
  std::size_t max_response_bytes = 8 << 20;
};

/// Cumulative counters of all calls.
struct PlatformChannelStats {
  std::uint64_t reads = 0;              ///< Sent, including retries.
  std::uint64_t writes = 0;             ///< Sent.
  std::uint64_t retries = 0;            ///< Retried reads.
  std::uint64_t timeouts = 0;           ///< Reads without an answer in time.
  std::uint64_t failures = 0;           ///< Requests without a usable response.
  std::uint64_t budget_rejections = 0;  ///< Calls over budget.
};

/// Sends calls within the process's budget. All methods must be called on the
/// loop's thread.
class PlatformChannel : public std::enable_shared_from_this<PlatformChannel> {
 public:
  using Done = std::function<void(HttpResponse)>;

  PlatformChannel(asio::io_context& loop, PlatformChannelOptions options);

  /// Sends an idempotent call and retries it within the budget and the
  /// deadline.
  void Read(HttpRequest request, Done done);

  /// Sends a call once, without retries. `done` never runs before this returns.
  void Write(HttpRequest request, Done done);

  const PlatformChannelStats& stats() const { return stats_; }

 private:
  struct PendingRead;
  void SendRead(const std::shared_ptr<PendingRead>& read);
  void OnReadResponse(const std::shared_ptr<PendingRead>& read,
                      HttpResponse response);
  void RetryOrFail(const std::shared_ptr<PendingRead>& read,
                   HttpResponse response);
  /// How long the next attempt may take.
  std::chrono::milliseconds AttemptLimit(const PendingRead& read) const;
  void RecordResponse(const HttpResponse& response);
  /// The platform answered nothing to a read sent at `sent_at`. Connections
  /// that have been idle since may be silent, too.
  void RecordSilence(TimePoint sent_at);
  /// How long a pooled connection may have been idle to be used now.
  std::chrono::seconds MaxIdle() const;
  void RejectCall(Done done);

  asio::io_context& loop_;
  PlatformChannelOptions options_;
  PlatformBudget budget_;
  PlatformChannelStats stats_;
  HttpClient client_;
  /// When the last read was sent that got no answer in time.
  std::optional<TimePoint> silent_since_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_PLATFORM_CHANNEL_H_
