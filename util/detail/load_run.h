#ifndef YUCCAPICK_UTIL_DETAIL_LOAD_RUN_H_
#define YUCCAPICK_UTIL_DETAIL_LOAD_RUN_H_

/// @file
/// Sends an open-loop load and collects what came back.

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

/// One load from start to end, on one thread.
class LoadRun {
 public:
  explicit LoadRun(const Options& options);

  /// Runs the load, waits for the last answer and asks what ran.
  Report Run();

 private:
  struct Stream;
  struct Booking;
  using Starter = void (LoadRun::*)(Clock::time_point due);

  /// Starts work at a steady rate, whether or not earlier work has ended.
  struct Pacer {
    Pacer(asio::io_context& loop, double rate, Starter start)
        : timer(loop), per_second(rate), starter(start) {}
    asio::steady_timer timer;
    double per_second;
    Starter starter;
    std::uint64_t started = 0;
  };

  void Pace(Pacer& pacer);
  void StartStream(Clock::time_point due);
  void StartWhole(Clock::time_point due);
  void StartBooking(Clock::time_point due);
  void SendBooking(const std::shared_ptr<Booking>& booking);
  void OnBookingAnswer(const std::shared_ptr<Booking>& booking,
                       const HttpResponse& answer);
  void OnToken(Stream& stream);
  void FinishStream(Stream& stream, const HttpResult& result);
  void AskWhatRan();
  void TakeCalls(const std::string& url, const HttpResponse& answer);
  void CountCalls();
  HttpRequest ChatRequest(const ChatPrompt& prompt);
  std::string NextTarget();
  void AddProblem(const std::string& text);

  const Options& options_;
  asio::io_context loop_{1};
  HttpClient client_;
  PromptSource prompts_;
  Report report_;
  Clock::time_point began_;
  std::uint64_t next_target_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t concurrent_ = 0;
  std::set<std::string> keys_;
  std::map<std::string, std::uint64_t> calls_;
};

}  // namespace yuccapick::load

#endif  // YUCCAPICK_UTIL_DETAIL_LOAD_RUN_H_
