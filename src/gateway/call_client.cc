#include "gateway/call_client.h"

#include <utility>

namespace yuccapick {
namespace {

/// One call in flight; kept alive by its connection and its timer.
class PendingCall : public ExchangeHandler,
                    public std::enable_shared_from_this<PendingCall> {
 public:
  PendingCall(asio::io_context& loop,
              std::shared_ptr<HttpConnectionPool> connections,
              CallClient::Done done)
      : timer_(loop),
        connections_(std::move(connections)),
        done_(std::move(done)) {}

  void StartTimer(std::chrono::milliseconds timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](const asio::error_code& ec) {
      if (!ec) self->OnTimeout();
    });
  }

  void set_connection(std::shared_ptr<HttpConnection> connection) {
    if (done_ != nullptr) connection_ = std::move(connection);
  }

  HeadDecision OnAnswerHead(const HttpHead& head) override {
    answer_.status = head.status;
    answer_.fields = head.fields;
    return HeadDecision::kAccept;
  }

  void OnAnswerBody(std::string_view bytes) override {
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
  void OnTimeout() {
    if (connection_ != nullptr) connections_->GiveUp(connection_);
    End(absl::DeadlineExceededError("call timed out"));
  }

  void End(absl::StatusOr<CallAnswer> result) {
    timer_.cancel();
    connection_ = nullptr;
    const CallClient::Done done = std::exchange(done_, nullptr);
    if (done != nullptr) done(std::move(result));
  }

  asio::steady_timer timer_;
  std::shared_ptr<HttpConnectionPool> connections_;
  CallClient::Done done_;
  std::shared_ptr<HttpConnection> connection_;
  CallAnswer answer_;
};

}  // namespace

void CallClient::Call(const std::string& endpoint, std::string request,
                      std::chrono::milliseconds timeout, Done done) {
  auto call =
      std::make_shared<PendingCall>(loop_, connections_, std::move(done));
  call->StartTimer(timeout);
  call->set_connection(
      connections_->Start(endpoint, std::move(request), false, call));
}

}  // namespace yuccapick
