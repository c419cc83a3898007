#ifndef YUCCAPICK_SHELL_PLATFORM_CHANNEL_H_
#define YUCCAPICK_SHELL_PLATFORM_CHANNEL_H_

/// @file
/// Budgeted HTTP calls to the platform's services.

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
  std::chrono::milliseconds deadline{2'000};  ///< Of a call with its retries.
  std::size_t max_answer_bytes = 8 << 20;
};

/// Counters of all calls.
struct PlatformChannelStats {
  std::uint64_t reads = 0;     ///< Sent, retries included.
  std::uint64_t writes = 0;    ///< Sent.
  std::uint64_t retries = 0;   ///< Reads sent again.
  std::uint64_t failures = 0;  ///< Calls that ended without a usable answer.
  std::uint64_t refusals = 0;  ///< Calls that the budget held back.
};

/// Sends calls within the process's budget. Used on the loop's thread only.
class PlatformChannel : public std::enable_shared_from_this<PlatformChannel> {
 public:
  using Done = std::function<void(HttpResponse)>;

  PlatformChannel(asio::io_context& loop, PlatformChannelOptions options);

  /// Sends a call that may be repeated, again and again until its deadline.
  void Read(HttpRequest request, Done done);

  /// Sends a call once. `done` never runs before this returns.
  void Write(HttpRequest request, Done done);

  const PlatformChannelStats& stats() const { return stats_; }

 private:
  struct RetriedRead;
  void Try(const std::shared_ptr<RetriedRead>& read);
  void OnReadAnswer(const std::shared_ptr<RetriedRead>& read,
                    HttpResponse answer);
  void RetryOrFail(const std::shared_ptr<RetriedRead>& read,
                   HttpResponse answer);
  void CountAnswer(const HttpResponse& answer);
  void Refuse(Done done);

  asio::io_context& loop_;
  PlatformChannelOptions options_;
  PlatformBudget budget_;
  PlatformChannelStats stats_;
  HttpClient client_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_PLATFORM_CHANNEL_H_
