#include "shell/link_server.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace yuccapick {
namespace {

constexpr int kHttpNotFound = 404;
/// Delay after a failed accept, such as when no file descriptors are left.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

}  // namespace

std::shared_ptr<LinkServer> LinkServer::Make(asio::io_context& loop,
                                             LinkServerOptions options) {
  return std::shared_ptr<LinkServer>(new LinkServer(loop, std::move(options)));
}

LinkServer::LinkServer(asio::io_context& loop, LinkServerOptions options)
    : loop_(loop),
      options_(std::move(options)),
      acceptor_(loop),
      accept_timer_(loop) {}

void LinkServer::HandlePath(const std::string& path, StreamHandler handler) {
  paths_[path] = std::move(handler);
}

void LinkServer::HandleCall(const std::string& name, CallHandler handler) {
  HandlePath(std::string(kCallPrefix) + name,
             [handler = std::move(handler)](const LinkStreamPtr& stream) {
               ServeCall(stream, handler);
             });
}

absl::Status LinkServer::Start() {
  auto tls = MakeTlsContext(options_.tls, LinkRole::kServer);
  if (!tls.ok()) return tls.status();
  tls_ = *std::move(tls);
  asio::error_code ec;
  const auto address = asio::ip::make_address(options_.listen.host, ec);
  const asio::ip::tcp::endpoint endpoint(address, options_.listen.port);
  if (!ec) acceptor_.open(endpoint.protocol(), ec);
  if (!ec) acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor_.bind(endpoint, ec);
  if (!ec) acceptor_.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) {
    return absl::FailedPreconditionError(fmt::format(
        "cannot listen on {}:{} ({}); set a free address of this instance",
        options_.listen.host, options_.listen.port, ec.message()));
  }
  Accept();
  return absl::OkStatus();
}

void LinkServer::Accept() {
  acceptor_.async_accept(
      [weak = weak_from_this()](asio::error_code ec, asio::ip::tcp::socket s) {
        const auto self = weak.lock();
        if (self == nullptr || !self->acceptor_.is_open()) return;
        if (!ec) {
          self->AddConnection(std::move(s));
          return self->Accept();
        }
        self->accept_timer_.expires_after(kAcceptRetryDelay);
        self->accept_timer_.async_wait([weak](asio::error_code timer_ec) {
          const auto again = weak.lock();
          if (!timer_ec && again && again->acceptor_.is_open()) again->Accept();
        });
      });
}

void LinkServer::AddConnection(asio::ip::tcp::socket socket) {
  if (sessions_.size() >= options_.max_connections) {
    ++stats_.refused;
    return;
  }
  ++stats_.accepted;
  LinkSessionHandlers handlers;
  auto session_slot = std::make_shared<std::weak_ptr<LinkSession>>();
  handlers.on_stream = [weak = weak_from_this(),
                        session_slot](const LinkStreamPtr& stream) {
    if (auto self = weak.lock()) self->Dispatch(*session_slot, stream);
  };
  handlers.on_closed = [weak = weak_from_this(),
                        session_slot](const absl::Status& status) {
    const auto self = weak.lock();
    const auto session = session_slot->lock();
    if (self && session) self->OnSessionClosed(session.get(), status);
  };
  auto session = LinkSession::Make(
      MakeTransport(std::move(socket), tls_),
      {LinkRole::kServer, options_.secret, options_.name, options_.timings},
      std::move(handlers));
  *session_slot = session;
  sessions_[session.get()] = session;
  session->Start();
}

void LinkServer::Dispatch(const std::weak_ptr<LinkSession>& session,
                          const LinkStreamPtr& stream) {
  const auto it = paths_.find(stream->path());
  if (it != paths_.end()) return it->second(stream);
  if (auto owner = session.lock()) owner->RejectStream(stream, kHttpNotFound);
}

void LinkServer::OnSessionClosed(LinkSession* session,
                                 const absl::Status& status) {
  if (absl::IsUnauthenticated(status)) ++stats_.unauthenticated;
  sessions_.erase(session);
}

void LinkServer::StopAccepting() {
  asio::error_code ec;
  acceptor_.close(ec);
  accept_timer_.cancel();
}

void LinkServer::Stop() {
  StopAccepting();
  const auto sessions = sessions_;
  for (const auto& [raw, session] : sessions) session->Shutdown();
}

bool LinkServer::flushed() const {
  return std::all_of(sessions_.begin(), sessions_.end(),
                     [](const auto& entry) { return entry.second->flushed(); });
}

std::uint16_t LinkServer::port() const {
  asio::error_code ec;
  return acceptor_.local_endpoint(ec).port();
}

}  // namespace yuccapick
