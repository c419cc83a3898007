#ifndef YUCCAPICK_UTIL_DETAIL_LOAD_RUN_H_
#define YUCCAPICK_UTIL_DETAIL_LOAD_RUN_H_

/// @file
/// Sends an open-loop load and collects the results.

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "shell/http_client.h"
#include "util/detail/load_options.h"
#include "util/detail/load_prompts.h"
#include "util/detail/load_report.h"

namespace yuccapick::load {

using Clock = std::chrono::steady_clock;

/// One load run on one thread.
class LoadRun {
 public:
  explicit LoadRun(const Options& options);

  /// Sends the load, waits for the last answer and fetches the executed calls
  /// from the plain services.
  Report Run();

 private:
  struct Stream;
  struct Booking;
  using Starter = void (LoadRun::*)(Clock::time_point due);

  /// Starts requests at a constant rate, regardless of requests in progress.
  struct RateScheduler {
    RateScheduler(asio::io_context& loop, double rate, Starter start)
        : timer(loop), per_second(rate), starter(start) {}
    asio::steady_timer timer;
    double per_second;
    Starter starter;
    std::uint64_t started = 0;
  };

  void ScheduleNext(RateScheduler& scheduler);
  void StartStream(Clock::time_point due);
  void StartWhole(Clock::time_point due);
  void StartBooking(Clock::time_point due);
  void SendBooking(const std::shared_ptr<Booking>& booking);
  void OnBookingAnswer(const std::shared_ptr<Booking>& booking,
                       const HttpResponse& answer);
  void OnToken(Stream& stream);
  void FinishStream(Stream& stream, const HttpResult& result);
  void FetchExecutedCalls();
  void AddExecutedCalls(const std::string& url, const HttpResponse& answer);
  void CountBookingExecutions();
  HttpRequest ChatRequest(const ChatPrompt& prompt);
  std::string NextTarget();
  void AddProblem(const std::string& text);

  const Options& options_;
  asio::io_context loop_{1};
  HttpClient client_;
  PromptSource prompts_;
  Report report_;
  Clock::time_point start_time_;
  std::uint64_t next_target_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t concurrent_ = 0;
  std::set<std::string> booking_keys_;
  std::map<std::string, std::uint64_t> executions_by_key_;
};

}  // namespace yuccapick::load

#endif  // YUCCAPICK_UTIL_DETAIL_LOAD_RUN_H_
