#include "gateway/ingress_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "gateway/http_connection.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
/// A connection that was used more recently is not closed for another one: its
/// caller may be sending the next request.
constexpr std::chrono::milliseconds kMinIdleTime{1'000};

}  // namespace

IngressServer::IngressServer(asio::io_context& loop, IngressHandler& handler,
                             IngressOptions options)
    : loop_(loop),
      handler_(handler),
      options_(std::move(options)),
      acceptor_(loop),
      accept_retry_timer_(loop) {}

absl::Status IngressServer::Open(std::string_view endpoint) {
  const asio::ip::tcp::endpoint address = ParseEndpoint(endpoint);
  asio::error_code ec;
  acceptor_.open(asio::ip::tcp::v4(), ec);
  if (!ec) {
    acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true), ec);
  }
  if (!ec) acceptor_.bind(address, ec);
  if (!ec) acceptor_.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) {
    return absl::UnavailableError(fmt::format(
        "cannot listen on {}: {}; check the address in the settings", endpoint,
        ec.message()));
  }
  Accept();
  return absl::OkStatus();
}

void IngressServer::Accept() {
  if (sessions_.size() >= options_.max_sessions) {
    CloseIdleSession(std::chrono::steady_clock::now());
    DropClosedSessions();
  }
  if (sessions_.size() >= options_.max_sessions) return AcceptAfterDelay();
  acceptor_.async_accept(
      [this, alive = std::weak_ptr<bool>(alive_)](
          const asio::error_code& ec, asio::ip::tcp::socket socket) {
        if (alive.expired() || !acceptor_.is_open()) return;
        // For example, the process has no file descriptors left.
        if (ec) return AcceptAfterDelay();
        auto session = std::make_shared<IngressSession>(
            options_.make_stream(std::move(socket)), handler_);
        if (announce_close_) session->AnnounceClose();
        sessions_.push_back(session);
        session->Start();
        Accept();
      });
}

void IngressServer::AcceptAfterDelay() {
  accept_retry_timer_.StartAfter(kAcceptRetryDelay, [this] {
    if (!acceptor_.is_open()) return;
    DropClosedSessions();
    Accept();
  });
}

void IngressServer::CloseListener() {
  asio::error_code ignored;  // The acceptor is no longer used either way.
  acceptor_.close(ignored);
}

void IngressServer::CheckTimeouts(TimePoint now) {
  for (const auto& session : sessions_) session->CheckTimeouts(now);
  EndSlowMessages();
  DropClosedSessions();
}

void IngressServer::CloseIdleSession(TimePoint now) {
  IngressSession* idlest = nullptr;
  TimePoint since = now - kMinIdleTime;
  for (const auto& session : sessions_) {
    const auto idle_since = session->idle_since();
    if (!idle_since || *idle_since > since) continue;
    idlest = session.get();
    since = *idle_since;
  }
  if (idlest != nullptr) idlest->CloseIdle();
}

void IngressServer::EndSlowMessages() {
  const auto budget = handler_.request_memory();
  if (budget == nullptr || !budget->under_pressure()) return;
  std::vector<std::pair<double, std::shared_ptr<IngressSession>>> slow;
  for (const auto& session : sessions_) {
    if (const auto p = session->SlowProgress()) slow.emplace_back(*p, session);
  }
  std::sort(slow.begin(), slow.end());
  for (const auto& [progress, session] : slow) {
    if (!budget->under_pressure()) return;
    session->EndSlowMessage("memory pressure");
  }
}

void IngressServer::DropClosedSessions() {
  std::erase_if(sessions_, [](const auto& s) { return s->closed(); });
}

void IngressServer::AnnounceClose() {
  announce_close_ = true;
  for (const auto& session : sessions_) session->AnnounceClose();
}

void IngressServer::DrainSessions() {
  for (const auto& session : sessions_) session->Drain();
}

std::size_t IngressServer::EndRequests(const std::vector<HttpField>& refusal) {
  return static_cast<std::size_t>(std::count_if(
      sessions_.begin(), sessions_.end(),
      [&refusal](const auto& s) { return s->EndRequest(refusal); }));
}

void IngressServer::CloseAll() {
  for (const auto& session : sessions_) session->Abort();
  sessions_.clear();
}

std::size_t IngressServer::unsent_bytes() const {
  std::size_t n = 0;
  for (const auto& session : sessions_) n += session->unsent_bytes();
  return n;
}

std::size_t IngressServer::busy_count() const {
  return static_cast<std::size_t>(
      std::count_if(sessions_.begin(), sessions_.end(), [](const auto& s) {
        return !s->closed() && (s->busy() || s->receiving());
      }));
}

}  // namespace yuccapick
