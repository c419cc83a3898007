#include "shell/link_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace yuccapick {
namespace {

constexpr int kMaxBackoffDoublings = 10;

}  // namespace

std::shared_ptr<LinkClient> LinkClient::Make(asio::io_context& loop,
                                             LinkClientOptions options,
                                             LinkClientHandlers handlers) {
  return std::shared_ptr<LinkClient>(
      new LinkClient(loop, std::move(options), std::move(handlers)));
}

LinkClient::LinkClient(asio::io_context& loop, LinkClientOptions options,
                       LinkClientHandlers handlers)
    : loop_(loop),
      options_(std::move(options)),
      handlers_(std::move(handlers)),
      socket_(loop),
      timer_(loop),
      random_(options_.seed) {}

void LinkClient::Start() { Connect(); }

void LinkClient::Stop() {
  if (stopped_) return;
  stopped_ = true;
  asio::error_code ec;
  socket_.close(ec);
  timer_.cancel();
  const auto session = std::exchange(session_, nullptr);
  if (session != nullptr) session->Close(absl::CancelledError("link stopped"));
}

void LinkClient::Connect() {
  asio::error_code ec;
  const auto address = asio::ip::make_address(options_.peer.host, ec);
  if (ec) {
    return OnLinkDown(absl::InvalidArgumentError(
        fmt::format("'{}' is not an IP address; correct the peer's settings",
                    options_.peer.host)));
  }
  socket_ = asio::ip::tcp::socket(loop_);
  timer_.expires_after(options_.connect_timeout);
  timer_.async_wait([weak = weak_from_this()](asio::error_code timer_ec) {
    const auto self = weak.lock();
    if (timer_ec || self == nullptr) return;
    asio::error_code close_ec;
    self->socket_.close(close_ec);
  });
  socket_.async_connect({address, options_.peer.port},
                        [weak = weak_from_this()](asio::error_code connect_ec) {
                          const auto self = weak.lock();
                          if (self && !self->stopped_) {
                            self->OnConnected(connect_ec);
                          }
                        });
}

void LinkClient::OnConnected(asio::error_code ec) {
  timer_.cancel();
  if (ec) {
    return OnLinkDown(absl::UnavailableError(fmt::format(
        "{}:{}: {}", options_.peer.host, options_.peer.port, ec.message())));
  }
  LinkSessionHandlers handlers;
  handlers.on_ready = [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr || self->stopped_) return;
    self->failures_ = 0;
    if (self->handlers_.on_up) self->handlers_.on_up();
  };
  handlers.on_closed = [weak = weak_from_this()](const absl::Status& status) {
    const auto self = weak.lock();
    if (self && !self->stopped_) self->OnLinkDown(status);
  };
  session_ = LinkSession::Make(
      MakeTransport(std::move(socket_), options_.tls),
      {LinkRole::kClient, options_.secret, options_.name, options_.timings},
      std::move(handlers));
  session_->Start();
}

void LinkClient::OnLinkDown(const absl::Status& status) {
  session_.reset();
  timer_.expires_after(NextBackoff());
  timer_.async_wait([weak = weak_from_this()](asio::error_code ec) {
    const auto self = weak.lock();
    if (!ec && self && !self->stopped_) self->Connect();
  });
  if (handlers_.on_down) handlers_.on_down(status);
}

std::chrono::milliseconds LinkClient::NextBackoff() {
  const int doublings = std::min(failures_++, kMaxBackoffDoublings);
  const auto max_delay = std::min(options_.max_backoff,
                                  options_.initial_backoff * (1 << doublings));
  std::uniform_int_distribution<std::int64_t> jitter(0, max_delay.count());
  return std::chrono::milliseconds(jitter(random_));
}

LinkStreamPtr LinkClient::Open(const std::string& path,
                               LinkStreamHandlers handlers) {
  if (!up()) return nullptr;
  const auto session = session_;
  return session->Open(path, std::move(handlers));
}

void LinkClient::CloseIfSilentSince(
    std::chrono::steady_clock::time_point since) {
  const auto session = session_;
  if (session == nullptr || session->last_receive_time() >= since) return;
  session->Close(absl::DeadlineExceededError("peer sent nothing since a call"));
}

void LinkClient::Call(const std::string& name, std::string_view bytes,
                      std::chrono::milliseconds timeout, CallDone done) {
  auto timer = std::make_shared<asio::steady_timer>(loop_, timeout);
  auto pending = std::make_shared<CallDone>(std::move(done));
  const CallDone finish = [timer, pending](absl::StatusOr<std::string> result) {
    timer->cancel();
    const CallDone call_done = std::exchange(*pending, nullptr);
    if (call_done) call_done(std::move(result));
  };
  const LinkStreamPtr stream =
      Open(std::string(kCallPrefix) + name, MakeCallResultHandlers(finish));
  if (stream == nullptr) {
    return finish(absl::UnavailableError(
        fmt::format("link to {}:{} is down; the call was not sent",
                    options_.peer.host, options_.peer.port)));
  }
  stream->SendFrame(LinkMessageType::kCall, bytes);
  stream->Finish();
  timer->async_wait([stream, pending](asio::error_code ec) {
    if (ec || *pending == nullptr) return;
    const CallDone call_done = std::exchange(*pending, nullptr);
    stream->Reset();
    call_done(absl::DeadlineExceededError(
        "peer did not answer the call in time; the call may have run"));
  });
}

}  // namespace yuccapick
