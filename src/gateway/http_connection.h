#ifndef YUCCAPICK_GATEWAY_HTTP_CONNECTION_H_
#define YUCCAPICK_GATEWAY_HTTP_CONNECTION_H_

/// @file
/// Client side of HTTP/1.1 connections, without pipelining.

#include <array>
#include <asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "gateway/http_reader.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// How an exchange ended.
enum class ExchangeEnd : std::uint8_t {
  kComplete,
  kNotSent,  ///< No byte of the request was written to the socket.
  kBroken,   ///< Sent at least in part; the connection ended too soon.
  kInvalid,  ///< Sent at least in part; the answer is malformed or rejected.
};

/// How to proceed after the head of an answer.
enum class HeadDecision : std::uint8_t {
  kAccept,
  kSkip,    ///< It answers another request; wait for the next answer.
  kReject,  ///< It is not valid; close the connection.
};

/// Receives the parts of one answer. `OnExchangeEnd` is the last call.
class ExchangeHandler {
 public:
  virtual ~ExchangeHandler() = default;
  virtual HeadDecision OnAnswerHead(const HttpHead& head) = 0;
  virtual void OnAnswerBody(std::string_view bytes) = 0;
  virtual void OnExchangeEnd(ExchangeEnd end, std::string_view reason) = 0;
};

/// A request as it is sent.
struct OutgoingRequest {
  std::string head;
  /// Null if it has none. Shared by all attempts of a request.
  std::shared_ptr<const std::string> body;

  std::size_t size() const {
    return head.size() + (body == nullptr ? 0 : body->size());
  }
};

struct HttpConnectionOptions {
  std::chrono::milliseconds connect_timeout{400};
  std::size_t max_head_bytes = 65'536;
  /// Used if the server announces no keep-alive timeout; below the usual
  /// timeout of servers.
  std::chrono::milliseconds idle_limit{4'000};
};

/// One connection with one exchange at a time. Pending operations keep it
/// alive. Used on one event loop.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  /// Called when the connection is idle and can be reused.
  using OnIdle = std::function<void(std::shared_ptr<HttpConnection>)>;

  /// @param number identifies the connection in logs
  HttpConnection(asio::io_context& loop, std::string endpoint,
                 HttpConnectionOptions options, std::uint64_t number);
  ~HttpConnection();

  /// Sends `request`; connects first if needed.
  /// @param handler called from the loop only, never before this returns; kept
  ///   until the exchange ends or `Abandon` is called
  /// @param on_idle null if the connection is to be closed after the exchange
  void Start(OutgoingRequest request, bool expect_no_body,
             std::shared_ptr<ExchangeHandler> handler, OnIdle on_idle);
  /// Closes the connection without any further call to the handler.
  void Abandon();
  /// Reads nothing more of the answer until `ResumeReading` is called, so that
  /// the server must wait. What was read already is still delivered.
  void PauseReading() { reading_paused_ = true; }
  void ResumeReading();

  /// True if the idle connection is open, unexpired and has no unexpected
  /// input.
  bool IsReusable(TimePoint now);
  /// When the last byte of an answer arrived, or else the exchange started.
  TimePoint active_at() const { return active_at_; }
  const std::string& endpoint() const { return endpoint_; }
  /// When the last answer ended, if the connection is idle.
  TimePoint idle_since() const { return idle_since_; }
  bool connected() const { return connected_; }
  bool reused() const { return exchanges_ > 1; }
  std::uint64_t number() const { return number_; }
  /// Exchanges started so far.
  std::uint32_t exchanges() const { return exchanges_; }

 private:
  void Connect();
  void OnConnected(const asio::error_code& ec);
  void SendRemaining();
  /// What is left to send of head and body.
  std::array<asio::const_buffer, 2> Unsent() const;
  void Read();
  void OnRead(const asio::error_code& ec, std::size_t n);
  void Consume(std::string_view bytes);
  /// Passes the parts of an answer on until the handler abandons the exchange.
  void Deliver(const HttpParts& parts);
  void OnHead(const HttpHead& head);
  void OnPeerClosed(const asio::error_code& ec);
  /// False if the server is known not to have the whole request, or to have
  /// reset the connection.
  bool RequestArrived();
  void FinishAnswer();
  /// Closes the connection and reports `end`, or that nothing was sent.
  void Fail(std::string_view reason, ExchangeEnd end = ExchangeEnd::kBroken);
  void Close();

  asio::io_context& loop_;
  std::string endpoint_;
  HttpConnectionOptions options_;
  std::uint64_t number_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer connect_timer_;
  HttpReader reader_;
  std::array<char, 4096> buf_{};
  OutgoingRequest request_;
  std::size_t sent_ = 0;
  bool write_failed_ = false;
  bool expect_no_body_ = false;
  std::shared_ptr<ExchangeHandler> handler_;
  OnIdle on_idle_;
  std::uint32_t exchanges_ = 0;
  bool connected_ = false;
  bool closed_ = false;
  bool reading_ = false;
  bool reading_paused_ = false;
  int interim_answers_ = 0;  ///< To the current request.
  bool skipping_ = false;    ///< The current answer is not for this request.
  bool rejected_ = false;
  bool keep_alive_ = false;
  bool stray_bytes_ = false;
  std::chrono::milliseconds idle_limit_{0};
  TimePoint idle_since_;
  TimePoint active_at_;
};

/// Parses `IP:PORT`.
/// @return an unspecified endpoint with port 0 if the text is malformed
asio::ip::tcp::endpoint ParseEndpoint(std::string_view text);

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_HTTP_CONNECTION_H_
