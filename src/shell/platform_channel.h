#ifndef YUCCAPICK_SHELL_PLATFORM_CHANNEL_H_
#define YUCCAPICK_SHELL_PLATFORM_CHANNEL_H_

/// @file
/// Rate-limited HTTP calls to the platform's services.

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

#include "shell/http_client.h"
#include "yuccapick/platform_budget.h"

namespace yuccapick {

struct PlatformChannelOptions {
  PlatformBudgetOptions budget;
  std::chrono::milliseconds deadline{2'000};  ///< Of a call, including retries.
  std::size_t max_response_bytes = 8 << 20;
};

/// Cumulative counters of all calls.
struct PlatformChannelStats {
  std::uint64_t reads = 0;              ///< Sent, including retries.
  std::uint64_t writes = 0;             ///< Sent.
  std::uint64_t retries = 0;            ///< Retried reads.
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
  void RecordResponse(const HttpResponse& response);
  void RejectCall(Done done);

  asio::io_context& loop_;
  PlatformChannelOptions options_;
  PlatformBudget budget_;
  PlatformChannelStats stats_;
  HttpClient client_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_PLATFORM_CHANNEL_H_
