#include "gateway/http_connection_pool.h"

#include <algorithm>
#include <utility>

namespace yuccapick {
namespace {

bool Contains(const std::vector<std::weak_ptr<HttpConnection>>& connections,
              const std::shared_ptr<HttpConnection>& connection) {
  return std::any_of(
      connections.begin(), connections.end(),
      [&connection](const auto& it) { return it.lock() == connection; });
}

}  // namespace

HeadDecision ExchangeBinding::OnAnswerHead(const HttpHead& head) {
  const std::shared_ptr<ExchangeHandler> handler = handler_;
  if (handler == nullptr) return HeadDecision::kReject;
  return handler->OnAnswerHead(head);
}

void ExchangeBinding::OnAnswerBody(std::string_view bytes) {
  const std::shared_ptr<ExchangeHandler> handler = handler_;
  if (handler != nullptr) handler->OnAnswerBody(bytes);
}

void ExchangeBinding::OnExchangeEnd(ExchangeEnd end, std::string_view reason) {
  const std::shared_ptr<ExchangeHandler> handler =
      std::exchange(handler_, nullptr);
  if (handler != nullptr) handler->OnExchangeEnd(end, reason);
}

Exchange& Exchange::operator=(Exchange&& other) noexcept {
  Abandon();
  connection_ = std::move(other.connection_);
  binding_ = std::move(other.binding_);
  return *this;
}

void Exchange::Abandon() {
  if (!active()) return;
  binding_->Release();
  connection_->Abandon();
}

Exchange HttpConnectionPool::Start(const std::string& endpoint,
                                   OutgoingRequest request,
                                   const ExchangeOptions& options,
                                   std::shared_ptr<ExchangeHandler> handler) {
  std::shared_ptr<HttpConnection> connection;
  HttpConnection::OnIdle on_idle;
  if (!options.own_connection) {
    connection = TakeIdle(endpoint, options);
    on_idle = [this](std::shared_ptr<HttpConnection> c) {
      ReturnToPool(std::move(c));
    };
  }
  if (connection == nullptr) {
    connection = std::make_shared<HttpConnection>(loop_, endpoint, options_,
                                                  ++connections_made_);
  }
  auto binding = std::make_shared<ExchangeBinding>(std::move(handler));
  connection->Start(std::move(request), options.expect_no_body, binding,
                    std::move(on_idle));
  return {std::move(connection), std::move(binding)};
}

std::shared_ptr<HttpConnection> HttpConnectionPool::TakeIdle(
    const std::string& endpoint, const ExchangeOptions& options) {
  const auto it = idle_.find(endpoint);
  if (it == idle_.end()) return nullptr;
  const TimePoint now = std::chrono::steady_clock::now();
  std::vector<std::shared_ptr<HttpConnection>>& idle = it->second;
  for (std::size_t i = idle.size(); i-- > 0;) {
    if (Contains(options.excluded, idle[i])) continue;
    std::shared_ptr<HttpConnection> taken = std::move(idle[i]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    if (taken->IsReusable(now)) return taken;
    taken->Abandon();
  }
  return nullptr;
}

void HttpConnectionPool::ReturnToPool(
    std::shared_ptr<HttpConnection> connection) {
  idle_[connection->endpoint()].push_back(std::move(connection));
}

std::size_t HttpConnectionPool::GiveUp(Exchange& exchange) {
  if (!exchange.active()) return 0;
  const TimePoint silent_since = exchange.connection()->active_at();
  exchange.Abandon();
  const auto it = idle_.find(exchange.connection()->endpoint());
  if (it == idle_.end()) return 0;
  return std::erase_if(it->second, [silent_since](const auto& idle) {
    if (idle->idle_since() > silent_since) return false;
    idle->Abandon();
    return true;
  });
}

void HttpConnectionPool::DropExpired(TimePoint now) {
  for (auto it = idle_.begin(); it != idle_.end();) {
    std::erase_if(it->second, [now](const auto& connection) {
      if (connection->IsReusable(now)) return false;
      connection->Abandon();
      return true;
    });
    it = it->second.empty() ? idle_.erase(it) : std::next(it);
  }
}

void HttpConnectionPool::CloseAll() {
  for (auto& [endpoint, connections] : idle_) {
    for (const auto& connection : connections) connection->Abandon();
  }
  idle_.clear();
}

std::size_t HttpConnectionPool::idle_count() const {
  std::size_t n = 0;
  for (const auto& [endpoint, connections] : idle_) n += connections.size();
  return n;
}

}  // namespace yuccapick
