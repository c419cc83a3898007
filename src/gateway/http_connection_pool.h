#ifndef YUCCAPICK_GATEWAY_HTTP_CONNECTION_POOL_H_
#define YUCCAPICK_GATEWAY_HTTP_CONNECTION_POOL_H_

/// @file
/// Exchanges over kept-alive HTTP/1.1 connections.

#include <asio.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway/http_connection.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// Requirements of one exchange.
struct ExchangeOptions {
  bool expect_no_body = false;
  /// Connections that may still carry an answer to an earlier exchange which
  /// can't be told from the answer to this one.
  std::vector<std::weak_ptr<HttpConnection>> excluded;
  /// Use a connection of its own, and close it afterwards.
  bool own_connection = false;
};

/// Passes the events of one exchange on to its handler, until the exchange ends
/// or is abandoned.
class ExchangeBinding : public ExchangeHandler {
 public:
  explicit ExchangeBinding(std::shared_ptr<ExchangeHandler> handler)
      : handler_(std::move(handler)) {}

  HeadDecision OnAnswerHead(const HttpHead& head) override;
  void OnAnswerBody(std::string_view bytes) override;
  void OnExchangeEnd(ExchangeEnd end, std::string_view reason) override;

  void set_handler(std::shared_ptr<ExchangeHandler> handler) {
    handler_ = std::move(handler);
  }
  /// The handler is not called any more.
  void Release() { handler_ = nullptr; }
  bool bound() const { return handler_ != nullptr; }

 private:
  std::shared_ptr<ExchangeHandler> handler_;
};

/// An exchange that was started. If it is destroyed before the exchange has
/// ended, it abandons it.
class Exchange {
 public:
  Exchange() = default;
  Exchange(std::shared_ptr<HttpConnection> connection,
           std::shared_ptr<ExchangeBinding> binding)
      : connection_(std::move(connection)), binding_(std::move(binding)) {}
  ~Exchange() { Abandon(); }
  Exchange(Exchange&& other) noexcept = default;
  Exchange& operator=(Exchange&& other) noexcept;
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// Closes the connection without any further call to the handler, unless the
  /// exchange has ended.
  void Abandon();
  /// Passes further events on to another handler, unless the exchange has
  /// ended.
  void SetHandler(std::shared_ptr<ExchangeHandler> handler) {
    if (active()) binding_->set_handler(std::move(handler));
  }
  /// True if it was started and has neither ended nor been abandoned.
  bool active() const { return binding_ != nullptr && binding_->bound(); }
  /// @return null if no exchange was started
  const std::shared_ptr<HttpConnection>& connection() const {
    return connection_;
  }

 private:
  std::shared_ptr<HttpConnection> connection_;
  std::shared_ptr<ExchangeBinding> binding_;
};

/// Keeps idle connections by endpoint.
class HttpConnectionPool {
 public:
  HttpConnectionPool(asio::io_context& loop, HttpConnectionOptions options)
      : loop_(loop), options_(options) {}

  /// Starts an exchange on an idle connection or a new one.
  /// @param handler called from the loop only, never before this returns; kept
  ///   until the exchange ends or is abandoned
  Exchange Start(const std::string& endpoint, OutgoingRequest request,
                 const ExchangeOptions& options,
                 std::shared_ptr<ExchangeHandler> handler);
  /// Abandons an exchange whose server has been silent for too long. Idle
  /// connections to the same endpoint that have not been used since may be as
  /// silent, and are closed, too.
  /// @return number of idle connections closed
  std::size_t GiveUp(Exchange& exchange);
  /// Closes idle connections that are expired or closed by the server.
  void DropExpired(TimePoint now);
  void CloseAll();
  std::size_t idle_count() const;

 private:
  /// @return the idle connection that was used last; null if there is none
  std::shared_ptr<HttpConnection> TakeIdle(const std::string& endpoint,
                                           const ExchangeOptions& options);
  void ReturnToPool(std::shared_ptr<HttpConnection> connection);

  asio::io_context& loop_;
  HttpConnectionOptions options_;
  std::uint64_t connections_made_ = 0;
  std::map<std::string, std::vector<std::shared_ptr<HttpConnection>>> idle_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_HTTP_CONNECTION_POOL_H_
