#include "util/detail/load_run.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "util/detail/stream_check.h"

namespace yuccapick::load {
namespace {

constexpr std::size_t kMaxAnswerBytes = 16 << 20;
constexpr int kMaxRequestsPerBooking = 5;
constexpr std::chrono::milliseconds kBookingRetryDelay{200};
constexpr std::size_t kMaxProblemBytes = 240;
constexpr long kOk = 200;

}  // namespace

struct LoadRun::Stream {
  Stream(LoadRun& run, std::string expected)
      : check(std::move(expected), [&run, this] { run.OnToken(*this); }) {}
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  StreamCheck check;
  Clock::time_point due;
  Clock::time_point last_token;
  long status = 0;
  std::string error_body;
};

struct LoadRun::Booking {
  std::string key;
  HttpRequest request;
  Clock::time_point due;
  int requests_sent = 0;
};

LoadRun::LoadRun(const Options& options)
    : options_(options), client_(loop_), prompts_(options) {}

Report LoadRun::Run() {
  std::array schedulers{
      RateScheduler(loop_, options_.streams_per_second, &LoadRun::StartStream),
      RateScheduler(loop_, options_.whole_per_second, &LoadRun::StartWhole),
      RateScheduler(loop_, options_.bookings_per_second,
                    &LoadRun::StartBooking)};
  start_time_ = Clock::now();
  for (RateScheduler& scheduler : schedulers) ScheduleNext(scheduler);
  loop_.run();
  report_.elapsed = Clock::now() - start_time_;
  FetchExecutedCalls();
  return std::move(report_);
}

void LoadRun::ScheduleNext(RateScheduler& scheduler) {
  if (scheduler.per_second <= 0) return;
  const std::chrono::duration<double> offset(
      static_cast<double>(scheduler.started) / scheduler.per_second);
  if (offset >= options_.duration) return;
  const Clock::time_point due =
      start_time_ + std::chrono::duration_cast<Clock::duration>(offset);
  scheduler.timer.expires_at(due);
  scheduler.timer.async_wait([this, &scheduler, due](const auto& ec) {
    if (ec) return;
    ++scheduler.started;
    (this->*scheduler.starter)(due);
    ScheduleNext(scheduler);
  });
}

HttpRequest LoadRun::ChatRequest(const ChatPrompt& prompt) {
  HttpRequest request;
  request.method = "POST";
  request.url = NextTarget() + "/v1/chat/completions";
  request.headers = {{"content-type", "application/json"}};
  if (options_.direct) {
    request.headers.push_back(
        {"x-request-id",
         fmt::format("load-{}-{}", options_.seed, ++sequence_)});
  } else {
    request.headers.push_back({"authorization", "Bearer demo-" + prompt.team});
  }
  if (!options_.chat_service.empty()) {
    request.headers.push_back({"yuccapick-service", options_.chat_service});
  }
  request.body = prompt.body;
  request.timeouts.total = options_.timeout;
  request.repeatable = true;
  return request;
}

void LoadRun::StartStream(Clock::time_point due) {
  const ChatPrompt prompt = prompts_.NextChat(true);
  auto stream = std::make_shared<Stream>(*this, prompt.expected);
  stream->due = due;
  ++report_.streams;
  report_.concurrent_peak = std::max(report_.concurrent_peak, ++concurrent_);
  HttpCallbacks callbacks;
  callbacks.on_head = [stream](long status, const auto&) {
    stream->status = status;
  };
  callbacks.on_data = [stream](std::string_view data) {
    if (stream->status == kOk) return stream->check.Add(data);
    stream->error_body.append(data);
  };
  callbacks.on_done = [this, stream](const HttpResult& result) {
    FinishStream(*stream, result);
  };
  client_.Start(ChatRequest(prompt), std::move(callbacks));
}

void LoadRun::OnToken(Stream& stream) {
  const Clock::time_point now = Clock::now();
  if (stream.check.tokens() == 1) {
    report_.first_token.Add(now - stream.due);
  } else {
    report_.between_tokens.Add(now - stream.last_token);
  }
  stream.last_token = now;
}

void LoadRun::FinishStream(Stream& stream, const HttpResult& result) {
  --concurrent_;
  report_.tokens += stream.check.tokens();
  report_.prompt_tokens += stream.check.prompt_tokens();
  report_.cached_tokens += stream.check.cached_tokens();
  const bool refused = stream.status != 0 && stream.status != kOk;
  if (refused) ++report_.refused;
  CheckResult check_result =
      refused ? CheckResult::kIncomplete : stream.check.Finish();
  if (!result.status.ok() && check_result == CheckResult::kComplete) {
    check_result = CheckResult::kIncomplete;
  }
  if (check_result == CheckResult::kComplete) ++report_.streams_complete;
  if (check_result == CheckResult::kIncomplete) ++report_.streams_incomplete;
  if (check_result == CheckResult::kWrong) ++report_.streams_wrong;
  if (check_result == CheckResult::kComplete) return;
  AddProblem(fmt::format("stream: status {} {} {} {}", stream.status,
                         result.status.ToString(), stream.error_body,
                         stream.check.error()));
}

void LoadRun::StartWhole(Clock::time_point /*due*/) {
  const ChatPrompt prompt = prompts_.NextChat(false);
  ++report_.whole;
  client_.Fetch(
      ChatRequest(prompt), kMaxAnswerBytes,
      [this, expected = prompt.expected](const HttpResponse& answer) {
        const bool ok =
            answer.result.status.ok() && answer.result.http_status == kOk;
        if (answer.result.status.ok() && !ok) ++report_.refused;
        const CheckResult check_result =
            ok ? CheckWhole(answer.body, expected) : CheckResult::kIncomplete;
        if (check_result == CheckResult::kComplete) ++report_.whole_complete;
        if (check_result == CheckResult::kIncomplete) {
          ++report_.whole_incomplete;
        }
        if (check_result == CheckResult::kWrong) ++report_.whole_wrong;
        if (check_result == CheckResult::kComplete) return;
        AddProblem(fmt::format("whole answer: status {} {} {}",
                               answer.result.http_status,
                               answer.result.status.ToString(), answer.body));
      });
}

void LoadRun::StartBooking(Clock::time_point due) {
  auto booking = std::make_shared<Booking>();
  booking->key = fmt::format("booking-{}-{}", options_.seed, ++sequence_);
  booking->due = due;
  booking->request.method = "POST";
  booking->request.headers = {
      {"content-type", "application/json"},
      {"authorization", "Bearer demo-" + prompts_.NextTeam()},
      {"idempotency-key", booking->key}};
  booking->request.body = R"({"slot":")" + booking->key + R"("})";
  booking->request.timeouts.total = options_.timeout;
  ++report_.bookings;
  booking_keys_.insert(booking->key);
  SendBooking(booking);
}

void LoadRun::SendBooking(const std::shared_ptr<Booking>& booking) {
  ++booking->requests_sent;
  HttpRequest request = booking->request;
  request.url = fmt::format("{}/services/{}{}", NextTarget(),
                            options_.plain_service, options_.plain_path);
  client_.Fetch(std::move(request), kMaxAnswerBytes,
                [this, booking](const HttpResponse& answer) {
                  OnBookingAnswer(booking, answer);
                });
}

void LoadRun::OnBookingAnswer(const std::shared_ptr<Booking>& booking,
                              const HttpResponse& answer) {
  if (answer.result.status.ok() && answer.result.http_status == kOk) {
    ++report_.bookings_confirmed;
    report_.booking.Add(Clock::now() - booking->due);
    return;
  }
  AddProblem(fmt::format("booking: status {} {} {}", answer.result.http_status,
                         answer.result.status.ToString(), answer.body));
  if (booking->requests_sent >= kMaxRequestsPerBooking) return;
  // The idempotency key makes a retry safe whatever the outcome was.
  ++report_.bookings_repeated;
  auto timer = std::make_shared<asio::steady_timer>(loop_, kBookingRetryDelay);
  timer->async_wait([this, timer, booking](const auto& ec) {
    if (!ec) SendBooking(booking);
  });
}

void LoadRun::FetchExecutedCalls() {
  if (options_.plain_services.empty() || booking_keys_.empty()) return;
  loop_.restart();
  for (const std::string& url : options_.plain_services) {
    HttpRequest request;
    request.url = url + "/standin/calls";
    request.timeouts.total = options_.timeout;
    request.repeatable = true;
    client_.Fetch(std::move(request), kMaxAnswerBytes,
                  [this, url](const HttpResponse& answer) {
                    AddExecutedCalls(url, answer);
                  });
  }
  loop_.run();
  CountBookingExecutions();
}

void LoadRun::AddExecutedCalls(const std::string& url,
                               const HttpResponse& answer) {
  const auto json = nlohmann::json::parse(answer.body, nullptr, false);
  if (!answer.result.status.ok() || !json.is_object() ||
      !json.contains("calls")) {
    ++report_.upstreams_not_queried;
    return AddProblem(url + " did not return the executed calls");
  }
  for (const auto& [key, n] : json["calls"].items()) {
    executions_by_key_[key] += n.get<std::uint64_t>();
  }
}

void LoadRun::CountBookingExecutions() {
  for (const std::string& key : booking_keys_) {
    const std::uint64_t n = executions_by_key_[key];
    if (n == 0) ++report_.bookings_missing;
    if (n > 1) ++report_.bookings_doubled;
  }
}

std::string LoadRun::NextTarget() {
  return options_.targets[next_target_++ % options_.targets.size()];
}

void LoadRun::AddProblem(const std::string& text) {
  ++report_.problems[text.substr(0, kMaxProblemBytes)];
}

}  // namespace yuccapick::load
