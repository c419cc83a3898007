#include "gateway/http_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"
#include "gateway/http_status.h"
#include "shell/socket_state.h"

namespace yuccapick {
namespace {

/// Interim answers (1xx), which a final answer follows.
bool IsInformational(int status) { return status >= 100 && status < 200; }

/// A server that sends more of them to one request sends them without end.
constexpr int kMaxInterimAnswers = 16;

/// Share of the server's keep-alive timeout after which an idle connection is
/// no longer used, since the server might be closing it.
constexpr double kUsableKeepAliveShare = 0.6;

/// Reads the `timeout=N` parameter of a Keep-Alive field.
std::optional<std::chrono::seconds> KeepAliveTimeout(const HttpHead& head) {
  static constexpr std::string_view kParameter = "timeout=";
  const std::string* field = head.Find("keep-alive");
  if (field == nullptr) return std::nullopt;
  const std::size_t at = field->find(kParameter);
  if (at == std::string::npos) return std::nullopt;
  const std::string digits = field->substr(at + kParameter.size());
  const std::size_t end = digits.find_first_not_of("0123456789");
  int seconds = 0;
  if (!absl::SimpleAtoi(digits.substr(0, end), &seconds)) return std::nullopt;
  return std::chrono::seconds(seconds);
}

}  // namespace

asio::ip::tcp::endpoint ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return {};
  asio::error_code ec;
  const asio::ip::address address =
      asio::ip::make_address(std::string(text.substr(0, colon)), ec);
  std::uint32_t port = 0;
  const std::string_view digits = text.substr(colon + 1);
  const bool number =
      std::all_of(digits.begin(), digits.end(), absl::ascii_isdigit) &&
      absl::SimpleAtoi(absl::string_view(digits.data(), digits.size()), &port);
  if (ec || !number || port > 0xFFFF) return {};
  return {address, static_cast<std::uint16_t>(port)};
}

HttpConnection::HttpConnection(asio::io_context& loop, std::string endpoint,
                               HttpConnectionOptions options,
                               std::uint64_t number)
    : loop_(loop),
      endpoint_(std::move(endpoint)),
      options_(options),
      number_(number),
      socket_(loop),
      connect_timer_(loop),
      reader_(HttpReader::Kind::kResponse, options.max_head_bytes) {}

HttpConnection::~HttpConnection() { Close(); }

void HttpConnection::Start(OutgoingRequest request, bool expect_no_body,
                           std::shared_ptr<ExchangeHandler> handler,
                           OnIdle on_idle) {
  request_ = std::move(request);
  sent_ = 0;
  write_failed_ = false;
  expect_no_body_ = expect_no_body;
  handler_ = std::move(handler);
  on_idle_ = std::move(on_idle);
  ++exchanges_;
  active_at_ = std::chrono::steady_clock::now();
  interim_answers_ = 0;
  skipping_ = false;
  rejected_ = false;
  reader_.Reset(expect_no_body_);
  if (!connected_) return Connect();
  SendRemaining();
}

void HttpConnection::Connect() {
  const asio::ip::tcp::endpoint peer = ParseEndpoint(endpoint_);
  auto self = shared_from_this();
  if (peer.port() == 0) {
    return asio::post(loop_, [self] { self->Fail("malformed endpoint"); });
  }
  connect_timer_.expires_after(options_.connect_timeout);
  connect_timer_.async_wait([self](const asio::error_code& ec) {
    if (!ec && !self->connected_) self->Fail("connect timed out");
  });
  socket_.async_connect(
      peer, [self](const asio::error_code& ec) { self->OnConnected(ec); });
}

void HttpConnection::OnConnected(const asio::error_code& ec) {
  connect_timer_.cancel();
  if (closed_) return;
  if (ec) return Fail(ec.message());
  connected_ = true;
  asio::error_code ignored;  // Options are best effort.
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  SendRemaining();
  Read();
}

std::array<asio::const_buffer, 2> HttpConnection::Unsent() const {
  const asio::const_buffer head = asio::buffer(request_.head);
  asio::const_buffer body;
  if (request_.body != nullptr) body = asio::buffer(*request_.body);
  return {head + sent_, body + (sent_ - std::min(sent_, head.size()))};
}

void HttpConnection::SendRemaining() {
  asio::error_code ec;
  while (sent_ < request_.size() && !ec) {
    sent_ += socket_.write_some(Unsent(), ec);
  }
  if (!ec) return;
  const auto self = shared_from_this();
  if (ec != asio::error::would_block) {
    write_failed_ = true;
    // `Start` must return before its handler is called.
    return asio::post(loop_, [self, ec] { self->Fail(ec.message()); });
  }
  socket_.async_wait(asio::ip::tcp::socket::wait_write,
                     [self](const asio::error_code& wait_ec) {
                       if (self->closed_ || wait_ec) return;
                       self->SendRemaining();
                     });
}

void HttpConnection::Read() {
  if (reading_ || reading_paused_ || closed_) return;
  reading_ = true;
  auto self = shared_from_this();
  socket_.async_read_some(asio::buffer(buf_),
                          [self](const asio::error_code& ec, std::size_t n) {
                            self->reading_ = false;
                            self->OnRead(ec, n);
                          });
}

void HttpConnection::ResumeReading() {
  if (!std::exchange(reading_paused_, false) || !connected_) return;
  Read();
}

void HttpConnection::OnRead(const asio::error_code& ec, std::size_t n) {
  if (closed_) return;
  if (ec) return OnPeerClosed(ec);
  active_at_ = std::chrono::steady_clock::now();
  Consume({buf_.data(), n});
  Read();
}

void HttpConnection::Consume(std::string_view bytes) {
  while (!bytes.empty() && !closed_) {
    if (handler_ == nullptr) {
      stray_bytes_ = true;
      return Close();
    }
    HttpParts parts;
    const absl::Status status = reader_.Feed(bytes, parts);
    Deliver(parts);
    if (closed_) return;
    if (!status.ok()) {
      return Fail(status.message().data(), ExchangeEnd::kInvalid);
    }
    if (rejected_) return Fail("answer rejected", ExchangeEnd::kInvalid);
    bytes.remove_prefix(std::min(parts.consumed, bytes.size()));
    if (!reader_.complete()) continue;
    if (skipping_) {
      skipping_ = false;
      reader_.Reset(expect_no_body_);
      continue;
    }
    stray_bytes_ = !bytes.empty();
    FinishAnswer();
    return;
  }
}

void HttpConnection::Deliver(const HttpParts& parts) {
  const auto self = shared_from_this();
  if (parts.head) OnHead(*parts.head);
  for (const std::string_view bytes : parts.body) {
    if (closed_ || skipping_ || rejected_) return;
    const auto handler = handler_;
    handler->OnAnswerBody(bytes);
  }
}

bool HttpConnection::RequestArrived() {
  if (write_failed_ || sent_ < request_.size()) return false;
  return PeerHasReceivedAll(socket_.native_handle());
}

void HttpConnection::OnPeerClosed(const asio::error_code& ec) {
  if (handler_ == nullptr) return Close();
  const bool ends_answer =
      ec == asio::error::eof && !skipping_ && reader_.FeedEof().ok();
  if (!ends_answer) return Fail(ec.message());
  // Nothing else tells where the answer ends, and servers that fail end, too.
  if (!RequestArrived()) return Fail("ended before it had the whole request");
  keep_alive_ = false;
  FinishAnswer();
}

void HttpConnection::OnHead(const HttpHead& head) {
  if (IsInformational(head.status)) {
    skipping_ = true;
    // No request asks for another protocol, so no answer follows the switch.
    rejected_ = head.status == kHttpSwitchingProtocols ||
                ++interim_answers_ > kMaxInterimAnswers;
    return;
  }
  // The handler may abandon the exchange.
  const auto handler = handler_;
  switch (handler->OnAnswerHead(head)) {
    case HeadDecision::kAccept:
      break;
    case HeadDecision::kSkip:
      skipping_ = true;
      break;
    case HeadDecision::kReject:
      rejected_ = true;
      break;
  }
  keep_alive_ = head.keep_alive;
  idle_limit_ = options_.idle_limit;
  if (const auto announced = KeepAliveTimeout(head)) {
    idle_limit_ = std::chrono::duration_cast<std::chrono::milliseconds>(
        *announced * kUsableKeepAliveShare);
  }
}

void HttpConnection::FinishAnswer() {
  const auto self = shared_from_this();
  const auto handler = std::exchange(handler_, nullptr);
  const OnIdle on_idle = std::exchange(on_idle_, nullptr);
  reading_paused_ = false;
  const bool request_sent = sent_ == request_.size();
  const bool reusable =
      keep_alive_ && request_sent && !stray_bytes_ && on_idle != nullptr;
  request_ = OutgoingRequest();
  if (reusable) {
    idle_since_ = std::chrono::steady_clock::now();
    on_idle(self);
  } else {
    Close();
  }
  handler->OnExchangeEnd(ExchangeEnd::kComplete, "");
}

void HttpConnection::Fail(std::string_view reason, ExchangeEnd end) {
  if (closed_) return;
  const auto self = shared_from_this();
  const std::string text(reason);
  if (sent_ == 0) end = ExchangeEnd::kNotSent;
  Close();
  request_ = OutgoingRequest();
  const auto handler = std::exchange(handler_, nullptr);
  on_idle_ = nullptr;
  if (handler != nullptr) handler->OnExchangeEnd(end, text);
}

void HttpConnection::Abandon() {
  const auto self = shared_from_this();
  handler_ = nullptr;
  on_idle_ = nullptr;
  request_ = OutgoingRequest();
  Close();
}

void HttpConnection::Close() {
  if (closed_) return;
  closed_ = true;
  connect_timer_.cancel();
  asio::error_code ignored;  // The socket is unusable afterwards either way.
  socket_.close(ignored);
}

bool HttpConnection::IsReusable(TimePoint now) {
  if (closed_ || now - idle_since_ >= idle_limit_) return false;
  char byte = 0;
  const ssize_t n = ::recv(socket_.native_handle(), &byte, sizeof(byte),
                           MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace yuccapick
