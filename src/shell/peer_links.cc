#include "shell/peer_links.h"

#include <utility>

#include "easylogging++.h"
#include "shell/link_transport.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kCallTimeout{1'000};
/// A call that waits for its link takes no longer than others: the handshake's
/// timeout is noticed at the first heartbeat, 1 s after the start.
constexpr std::chrono::milliseconds kConnectTimeout{500};
constexpr std::chrono::milliseconds kHandshakeTimeout{800};
constexpr std::chrono::seconds kIdleTimeout{30};

}  // namespace

PeerLinks::PeerLinks(asio::io_context& loop, const ProcessSettings& settings,
                     std::string name, std::uint64_t seed)
    : loop_(loop) {
  options_.secret = settings.secret;
  options_.name = std::move(name);
  options_.seed = seed;
  options_.connect_timeout = kConnectTimeout;
  options_.timings.handshake_timeout = kHandshakeTimeout;
  if (settings.link_tls.enabled()) {
    auto tls = MakeTlsContext(settings.link_tls, LinkRole::kClient);
    if (tls.ok()) options_.tls = *tls;
  }
}

void PeerLinks::Call(const Endpoint& peer, const std::string& name,
                     std::string bytes, CallDone done) {
  Peer& entry = FindOrConnect(peer);
  entry.last_used = std::chrono::steady_clock::now();
  PendingCall call{name, std::move(bytes), std::move(done)};
  if (entry.client->up()) {
    return Send({peer.host, peer.port}, *entry.client, call);
  }
  entry.pending_calls.push_back(std::move(call));
}

void PeerLinks::Send(const Address& address, LinkClient& client,
                     const PendingCall& call) {
  const auto sent_at = std::chrono::steady_clock::now();
  client.Call(call.name, call.bytes, kCallTimeout,
              [weak = weak_from_this(), address, sent_at,
               done = call.done](absl::StatusOr<std::string> result) {
                const auto self = weak.lock();
                if (self && absl::IsDeadlineExceeded(result.status())) {
                  self->OnCallTimeout(address, sent_at);
                }
                done(std::move(result));
              });
}

void PeerLinks::OnCallTimeout(const Address& address,
                              std::chrono::steady_clock::time_point sent_at) {
  const auto it = peers_.find(address);
  if (it == peers_.end()) return;
  LOG(WARNING) << "event=peer_call_unanswered peer=" << address.first << ':'
               << address.second << " waited_ms=" << kCallTimeout.count();
  const std::shared_ptr<LinkClient> client = it->second.client;
  client->CloseIfSilentSince(sent_at);
}

PeerLinks::Peer& PeerLinks::FindOrConnect(const Endpoint& endpoint) {
  const Address address(endpoint.host, endpoint.port);
  Peer& peer = peers_[address];
  if (peer.client != nullptr) return peer;
  LinkClientOptions options = options_;
  options.peer = endpoint;
  LinkClientHandlers handlers;
  handlers.on_up = [weak = weak_from_this(), address] {
    if (const auto self = weak.lock()) self->OnUp(address);
  };
  handlers.on_down = [weak = weak_from_this(),
                      address](const absl::Status& status) {
    if (const auto self = weak.lock()) self->OnDown(address, status);
  };
  peer.client = LinkClient::Make(loop_, std::move(options), handlers);
  peer.client->Start();
  return peer;
}

void PeerLinks::OnUp(const Address& address) {
  const auto it = peers_.find(address);
  if (it == peers_.end()) return;
  const auto pending_calls = std::exchange(it->second.pending_calls, {});
  for (const PendingCall& call : pending_calls) {
    Send(address, *it->second.client, call);
  }
}

void PeerLinks::OnDown(const Address& address, const absl::Status& status) {
  const auto it = peers_.find(address);
  if (it == peers_.end()) return;
  const auto pending_calls = std::exchange(it->second.pending_calls, {});
  for (const PendingCall& call : pending_calls) call.done(status);
}

void PeerLinks::CloseIdle(std::chrono::steady_clock::time_point now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    const bool idle = now - it->second.last_used >= kIdleTimeout;
    if (idle) it->second.client->Stop();
    it = idle ? peers_.erase(it) : std::next(it);
  }
}

void PeerLinks::Stop() {
  for (auto& [address, peer] : peers_) peer.client->Stop();
  peers_.clear();
}

}  // namespace yuccapick
