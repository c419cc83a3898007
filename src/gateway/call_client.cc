#include "gateway/call_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace yuccapick {
namespace {

std::int64_t Milliseconds(TimePoint::duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// One call in flight; kept alive by its connection and its timer.
class PendingCall : public ExchangeHandler,
                    public CallCancellation,
                    public std::enable_shared_from_this<PendingCall> {
 public:
  PendingCall(asio::io_context& loop, CallClientOptions options,
              const CallOptions& call_options,
              std::shared_ptr<HttpConnectionPool> connections,
              CallClient::Done done)
      : options_(std::move(options)),
        timer_(loop),
        connections_(std::move(connections)),
        done_(std::move(done)) {
    progress_->began_at = std::chrono::steady_clock::now();
    if (call_options.within_budget) memory_ = MemoryShare(options_.memory);
    if (call_options.max_body_bytes > 0) {
      options_.max_body_bytes = call_options.max_body_bytes;
    }
  }

  /// @param timeout until the answer begins to arrive
  void StartTimer(std::chrono::milliseconds timeout) {
    begins_until_ = progress_->began_at + timeout;
    ArmTimer();
  }

  /// Makes `Done` depend on the client's life.
  void set_client(std::weak_ptr<bool> alive) { client_ = std::move(alive); }

  void set_exchange(Exchange exchange) { exchange_ = std::move(exchange); }

  CallProgressPtr progress() const { return progress_; }

  void Cancel() override {
    done_ = nullptr;
    GiveUp(absl::CancelledError("call was cancelled"));
  }

  HeadDecision OnAnswerHead(const HttpHead& head) override {
    RecordArrival(0);
    answer_.status = head.status;
    answer_.fields = head.fields;
    return HeadDecision::kAccept;
  }

  void OnAnswerBody(std::string_view bytes) override {
    RecordArrival(bytes.size());
    if (progress_->body_bytes > options_.max_body_bytes) {
      return GiveUp(absl::ResourceExhaustedError(fmt::format(
          "answer is longer than {} bytes", options_.max_body_bytes)));
    }
    if (!Reserve(answer_.body.size() + bytes.size())) {
      return GiveUp(absl::ResourceExhaustedError("no memory for the answer"));
    }
    answer_.body.append(bytes);
  }

  void OnExchangeEnd(ExchangeEnd end, std::string_view reason) override {
    const std::string text(reason);
    switch (end) {
      case ExchangeEnd::kComplete:
        return End(std::move(answer_));
      case ExchangeEnd::kNotSent:
        return End(absl::UnavailableError(text));
      case ExchangeEnd::kBroken:
      case ExchangeEnd::kInvalid:
        return End(absl::UnknownError(text));
    }
  }

 private:
  /// Makes room for a body of `size` bytes, and for as much again to come.
  bool Reserve(std::size_t size) {
    const std::size_t old = answer_.body.capacity();
    if (size <= old) return true;
    const std::size_t wanted =
        std::min(std::max(size, old * 2), options_.max_body_bytes);
    // While the body moves to a larger buffer, both are held.
    if (!memory_.Resize(old + wanted)) return false;
    answer_.body.reserve(wanted);
    memory_.Set(answer_.body.capacity());
    return true;
  }

  void RecordArrival(std::size_t body_bytes) {
    const TimePoint now = std::chrono::steady_clock::now();
    if (!progress_->first_byte_at) progress_->first_byte_at = now;
    progress_->last_byte_at = now;
    progress_->body_bytes += body_bytes;
  }

  TimePoint GiveUpAt() const {
    if (!progress_->first_byte_at) return begins_until_;
    return std::min(*progress_->last_byte_at + options_.stall_timeout,
                    *progress_->first_byte_at + options_.max_receiving_time);
  }

  void ArmTimer() {
    timer_.expires_at(GiveUpAt());
    timer_.async_wait([self = shared_from_this()](const asio::error_code& ec) {
      if (!ec) self->OnTimer();
    });
  }

  void OnTimer() {
    if (progress_->ended) return;
    if (std::chrono::steady_clock::now() < GiveUpAt()) return ArmTimer();
    GiveUp(absl::DeadlineExceededError(TimeoutReason()));
  }

  void GiveUp(absl::Status reason) {
    connections_->GiveUp(exchange_);
    End(std::move(reason));
  }

  std::string TimeoutReason() const {
    if (!progress_->first_byte_at) return "call timed out";
    return fmt::format("call timed out after {} bytes in {} ms",
                       progress_->body_bytes,
                       Milliseconds(progress_->ReceivingTime()));
  }

  void End(absl::StatusOr<CallAnswer> result) {
    timer_.cancel();
    progress_->ended = true;
    const CallClient::Done done = std::exchange(done_, nullptr);
    if (done == nullptr || client_.expired()) return;
    done(std::move(result), *progress_);
  }

  CallClientOptions options_;
  asio::steady_timer timer_;
  TimePoint begins_until_;
  std::shared_ptr<HttpConnectionPool> connections_;
  CallClient::Done done_;
  std::weak_ptr<bool> client_;
  Exchange exchange_;
  std::shared_ptr<CallProgress> progress_ = std::make_shared<CallProgress>();
  CallAnswer answer_;
  MemoryShare memory_;  ///< Of the answer's body, if it is limited.
};

}  // namespace

CallHandle CallClient::Call(const std::string& endpoint, std::string request,
                            std::chrono::milliseconds timeout, Done done,
                            const CallOptions& call_options) {
  auto call = std::make_shared<PendingCall>(loop_, options_, call_options,
                                            connections_, std::move(done));
  call->set_client(alive_);
  call->StartTimer(timeout);
  ExchangeOptions options;
  options.own_connection = call_options.use == ConnectionUse::kOwn;
  call->set_exchange(connections_->Start(
      endpoint, {std::move(request), nullptr}, options, call));
  return {call->progress(), call};
}

}  // namespace yuccapick
