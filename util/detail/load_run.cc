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
constexpr int kMaxTriesOfBooking = 5;
constexpr std::chrono::milliseconds kBookingRetry{200};
constexpr std::size_t kProblemBytes = 240;
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
  std::string refusal;
};

struct LoadRun::Booking {
  std::string key;
  HttpRequest request;
  Clock::time_point due;
  int tries = 0;
};

LoadRun::LoadRun(const Options& options)
    : options_(options), client_(loop_), prompts_(options) {}

Report LoadRun::Run() {
  std::array pacers{
      Pacer(loop_, options_.streams_per_second, &LoadRun::StartStream),
      Pacer(loop_, options_.whole_per_second, &LoadRun::StartWhole),
      Pacer(loop_, options_.bookings_per_second, &LoadRun::StartBooking)};
  began_ = Clock::now();
  for (Pacer& pacer : pacers) Pace(pacer);
  loop_.run();
  report_.elapsed = Clock::now() - began_;
  AskWhatRan();
  return std::move(report_);
}

void LoadRun::Pace(Pacer& pacer) {
  if (pacer.per_second <= 0) return;
  const std::chrono::duration<double> offset(
      static_cast<double>(pacer.started) / pacer.per_second);
  if (offset >= options_.duration) return;
  const Clock::time_point due =
      began_ + std::chrono::duration_cast<Clock::duration>(offset);
  pacer.timer.expires_at(due);
  pacer.timer.async_wait([this, &pacer, due](const auto& ec) {
    if (ec) return;
    ++pacer.started;
    (this->*pacer.starter)(due);
    Pace(pacer);
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
    stream->refusal.append(data);
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
  Verdict verdict = refused ? Verdict::kIncomplete : stream.check.Finish();
  if (!result.status.ok() && verdict == Verdict::kComplete) {
    verdict = Verdict::kIncomplete;
  }
  if (verdict == Verdict::kComplete) ++report_.streams_complete;
  if (verdict == Verdict::kIncomplete) ++report_.streams_incomplete;
  if (verdict == Verdict::kWrong) ++report_.streams_wrong;
  if (verdict == Verdict::kComplete) return;
  AddProblem(fmt::format("stream: status {} {} {} {}", stream.status,
                         result.status.ToString(), stream.refusal,
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
        const Verdict verdict =
            ok ? CheckWhole(answer.body, expected) : Verdict::kIncomplete;
        if (verdict == Verdict::kComplete) ++report_.whole_complete;
        if (verdict == Verdict::kIncomplete) ++report_.whole_incomplete;
        if (verdict == Verdict::kWrong) ++report_.whole_wrong;
        if (verdict == Verdict::kComplete) return;
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
  keys_.insert(booking->key);
  SendBooking(booking);
}

void LoadRun::SendBooking(const std::shared_ptr<Booking>& booking) {
  ++booking->tries;
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
  if (booking->tries >= kMaxTriesOfBooking) return;
  // The key makes it safe to send the call again, whatever became of it.
  ++report_.bookings_repeated;
  auto timer = std::make_shared<asio::steady_timer>(loop_, kBookingRetry);
  timer->async_wait([this, timer, booking](const auto& ec) {
    if (!ec) SendBooking(booking);
  });
}

void LoadRun::AskWhatRan() {
  if (options_.plain_services.empty() || keys_.empty()) return;
  loop_.restart();
  for (const std::string& url : options_.plain_services) {
    HttpRequest request;
    request.url = url + "/standin/calls";
    request.timeouts.total = options_.timeout;
    request.repeatable = true;
    client_.Fetch(
        std::move(request), kMaxAnswerBytes,
        [this, url](const HttpResponse& answer) { TakeCalls(url, answer); });
  }
  loop_.run();
  CountCalls();
}

void LoadRun::TakeCalls(const std::string& url, const HttpResponse& answer) {
  const auto json = nlohmann::json::parse(answer.body, nullptr, false);
  if (!answer.result.status.ok() || !json.is_object() ||
      !json.contains("calls")) {
    ++report_.upstreams_unread;
    return AddProblem(url + " did not say what ran");
  }
  for (const auto& [key, n] : json["calls"].items()) {
    calls_[key] += n.get<std::uint64_t>();
  }
}

void LoadRun::CountCalls() {
  for (const std::string& key : keys_) {
    const std::uint64_t n = calls_[key];
    if (n == 0) ++report_.bookings_missing;
    if (n > 1) ++report_.bookings_doubled;
  }
}

std::string LoadRun::NextTarget() {
  return options_.targets[next_target_++ % options_.targets.size()];
}

void LoadRun::AddProblem(const std::string& text) {
  ++report_.problems[text.substr(0, kProblemBytes)];
}

}  // namespace yuccapick::load
