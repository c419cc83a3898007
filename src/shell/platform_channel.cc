#include "shell/platform_channel.h"

#include <algorithm>
#include <utility>

#include "easylogging++.h"

namespace yuccapick {
namespace {

constexpr long kHttpTooManyRequests = 429;
constexpr long kHttpInternalServerError = 500;
constexpr std::chrono::seconds kMaxIdle{60};

bool IsUsable(const HttpResponse& response) {
  const long status = response.result.http_status;
  return response.result.status.ok() && status < kHttpInternalServerError &&
         status != kHttpTooManyRequests;
}

std::chrono::milliseconds TimeLeft(TimePoint deadline) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - TimePoint::clock::now());
}

}  // namespace

struct PlatformChannel::PendingRead {
  HttpRequest request;
  Done done;
  TimePoint deadline;
  TimePoint sent_at;  ///< Of the last attempt.
  std::uint32_t retries = 0;
  bool timed_out = false;  ///< An attempt got no answer in time.
};

PlatformChannel::PlatformChannel(asio::io_context& loop,
                                 PlatformChannelOptions options)
    : loop_(loop), options_(options), budget_(options.budget), client_(loop) {}

void PlatformChannel::Read(HttpRequest request, Done done) {
  request.repeatable = true;
  auto read = std::make_shared<PendingRead>();
  read->request = std::move(request);
  read->done = std::move(done);
  read->deadline = TimePoint::clock::now() + options_.deadline;
  SendRead(read);
}

void PlatformChannel::SendRead(const std::shared_ptr<PendingRead>& read) {
  if (!budget_.TakeRead(TimePoint::clock::now())) return RejectCall(read->done);
  ++stats_.reads;
  HttpRequest request = read->request;
  request.timeouts.total = AttemptLimit(*read);
  request.timeouts.until_response = true;
  request.max_idle = MaxIdle();
  read->sent_at = TimePoint::clock::now();
  client_.Fetch(std::move(request), options_.max_response_bytes,
                [self = weak_from_this(), read](HttpResponse response) {
                  if (auto channel = self.lock()) {
                    channel->OnReadResponse(read, std::move(response));
                  }
                });
}

std::chrono::milliseconds PlatformChannel::AttemptLimit(
    const PendingRead& read) const {
  const auto left =
      std::max(TimeLeft(read.deadline), std::chrono::milliseconds(1));
  const bool last = read.timed_out || left < options_.attempt_timeout * 2;
  return last ? left : options_.attempt_timeout;
}

std::chrono::seconds PlatformChannel::MaxIdle() const {
  if (!silent_since_) return kMaxIdle;
  const auto age = std::chrono::floor<std::chrono::seconds>(
      TimePoint::clock::now() - *silent_since_);
  // Idle times are compared in whole seconds.
  return std::clamp(age - std::chrono::seconds(1), std::chrono::seconds(0),
                    kMaxIdle);
}

void PlatformChannel::RecordSilence(TimePoint sent_at) {
  ++stats_.timeouts;
  silent_since_ = sent_at;
}

void PlatformChannel::OnReadResponse(const std::shared_ptr<PendingRead>& read,
                                     HttpResponse response) {
  RecordResponse(response);
  if (IsUsable(response)) return read->done(std::move(response));
  if (absl::IsDeadlineExceeded(response.result.status)) {
    RecordSilence(read->sent_at);
    read->timed_out = true;
    LOG(WARNING) << "event=platform_read_unanswered url=" << read->request.url
                 << " waited_ms="
                 << std::chrono::duration_cast<std::chrono::milliseconds>(
                        TimePoint::clock::now() - read->sent_at)
                        .count()
                 << " retries=" << read->retries;
  }
  RetryOrFail(read, std::move(response));
}

void PlatformChannel::RetryOrFail(const std::shared_ptr<PendingRead>& read,
                                  HttpResponse response) {
  const auto delay =
      budget_.TakeRetry(++read->retries, TimePoint::clock::now());
  if (!delay || *delay >= TimeLeft(read->deadline)) {
    return read->done(std::move(response));
  }
  ++stats_.retries;
  auto timer = std::make_shared<asio::steady_timer>(loop_, *delay);
  timer->async_wait([self = weak_from_this(), read, timer](const auto& ec) {
    auto channel = self.lock();
    if (!ec && channel) channel->SendRead(read);
  });
}

void PlatformChannel::Write(HttpRequest request, Done done) {
  if (!budget_.TakeWrite(TimePoint::clock::now())) {
    return RejectCall(std::move(done));
  }
  ++stats_.writes;
  request.repeatable = false;
  request.timeouts.total = options_.deadline;
  client_.Fetch(
      std::move(request), options_.max_response_bytes,
      [self = weak_from_this(), done = std::move(done)](HttpResponse response) {
        if (auto channel = self.lock()) {
          channel->RecordResponse(response);
          done(std::move(response));
        }
      });
}

void PlatformChannel::RecordResponse(const HttpResponse& response) {
  if (IsUsable(response)) {
    budget_.OnAnswered();
  } else {
    ++stats_.failures;
  }
}

void PlatformChannel::RejectCall(Done done) {
  ++stats_.budget_rejections;
  asio::post(loop_, [done = std::move(done)] {
    HttpResponse response;
    response.result.status = absl::ResourceExhaustedError(
        "this process has used up its budget of platform calls; retry after "
        "a back-off");
    done(std::move(response));
  });
}

}  // namespace yuccapick
