#include "shell/platform_channel.h"

#include <algorithm>
#include <utility>

namespace yuccapick {
namespace {

constexpr long kTooManyRequests = 429;
constexpr long kServerError = 500;

bool IsUsable(const HttpResponse& answer) {
  const long status = answer.result.http_status;
  return answer.result.status.ok() && status < kServerError &&
         status != kTooManyRequests;
}

std::chrono::milliseconds TimeLeft(TimePoint deadline) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - TimePoint::clock::now());
}

}  // namespace

struct PlatformChannel::RetriedRead {
  HttpRequest request;
  Done done;
  TimePoint deadline;
  std::uint32_t retries = 0;
};

PlatformChannel::PlatformChannel(asio::io_context& loop,
                                 PlatformChannelOptions options)
    : loop_(loop), options_(options), budget_(options.budget), client_(loop) {}

void PlatformChannel::Read(HttpRequest request, Done done) {
  request.repeatable = true;
  auto read = std::make_shared<RetriedRead>();
  read->request = std::move(request);
  read->done = std::move(done);
  read->deadline = TimePoint::clock::now() + options_.deadline;
  Try(read);
}

void PlatformChannel::Try(const std::shared_ptr<RetriedRead>& read) {
  if (!budget_.TakeRead(TimePoint::clock::now())) return Refuse(read->done);
  ++stats_.reads;
  HttpRequest request = read->request;
  request.timeouts.total =
      std::max(TimeLeft(read->deadline), std::chrono::milliseconds(1));
  client_.Fetch(std::move(request), options_.max_answer_bytes,
                [self = weak_from_this(), read](HttpResponse answer) {
                  if (auto channel = self.lock()) {
                    channel->OnReadAnswer(read, std::move(answer));
                  }
                });
}

void PlatformChannel::OnReadAnswer(const std::shared_ptr<RetriedRead>& read,
                                   HttpResponse answer) {
  CountAnswer(answer);
  if (IsUsable(answer)) return read->done(std::move(answer));
  RetryOrFail(read, std::move(answer));
}

void PlatformChannel::RetryOrFail(const std::shared_ptr<RetriedRead>& read,
                                  HttpResponse answer) {
  const auto delay =
      budget_.TakeRetry(++read->retries, TimePoint::clock::now());
  if (!delay || *delay >= TimeLeft(read->deadline)) {
    return read->done(std::move(answer));
  }
  ++stats_.retries;
  auto timer = std::make_shared<asio::steady_timer>(loop_, *delay);
  timer->async_wait([self = weak_from_this(), read, timer](const auto& ec) {
    auto channel = self.lock();
    if (!ec && channel) channel->Try(read);
  });
}

void PlatformChannel::Write(HttpRequest request, Done done) {
  if (!budget_.TakeWrite(TimePoint::clock::now())) {
    return Refuse(std::move(done));
  }
  ++stats_.writes;
  request.repeatable = false;
  request.timeouts.total = options_.deadline;
  client_.Fetch(
      std::move(request), options_.max_answer_bytes,
      [self = weak_from_this(), done = std::move(done)](HttpResponse answer) {
        if (auto channel = self.lock()) {
          channel->CountAnswer(answer);
          done(std::move(answer));
        }
      });
}

void PlatformChannel::CountAnswer(const HttpResponse& answer) {
  if (IsUsable(answer)) {
    budget_.OnAnswered();
  } else {
    ++stats_.failures;
  }
}

void PlatformChannel::Refuse(Done done) {
  ++stats_.refusals;
  asio::post(loop_, [done = std::move(done)] {
    HttpResponse answer;
    answer.result.status = absl::ResourceExhaustedError(
        "this process has spent its budget of platform calls; try again "
        "after a back-off");
    done(std::move(answer));
  });
}

}  // namespace yuccapick
