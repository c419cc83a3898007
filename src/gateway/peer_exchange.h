#ifndef YUCCAPICK_GATEWAY_PEER_EXCHANGE_H_
#define YUCCAPICK_GATEWAY_PEER_EXCHANGE_H_

/// @file
/// Reports to and from the other gateways, and copies of the store's tables
/// for those that cannot reach it.

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "gateway/call_client.h"
#include "gateway/ingress_session.h"
#include "gateway/peer_codec.h"
#include "yuccapick/peer_report.h"

namespace yuccapick {

/// What the exchange needs from the process.
class PeerExchangeHandler {
 public:
  virtual ~PeerExchangeHandler() = default;
  virtual void OnPeerReport(const PeerReport& report) = 0;
  /// A peer's copy of the tables.
  virtual void OnPeerTables(const PeerTables& tables) = 0;
  virtual PeerTables TablesForPeers() const = 0;
};

/// Used on one loop.
class PeerExchange : private IngressHandler {
 public:
  /// @param endpoint `IP:PORT` for datagrams and for calls of peers
  PeerExchange(asio::io_context& loop, CallClient& calls, std::string endpoint,
               PeerExchangeHandler& handler);

  absl::Status Open();
  void Close();
  /// Sends one report to every target; datagrams may be lost.
  void Send(const PeerReport& report, const std::vector<std::string>& targets);
  /// Asks a peer for its tables. One question is under way at a time.
  void FetchTables(const std::string& peer_endpoint);
  void CheckTimeouts(TimePoint now) { server_.CheckTimeouts(now); }

  const std::string& endpoint() const { return endpoint_; }

 private:
  std::shared_ptr<PendingRequest> OnRequest(
      IngressRequest request, std::shared_ptr<IngressSession> session) override;
  std::string OnBadRequest(int /*status*/, std::string_view reason) override {
    return std::string(reason);
  }
  CallerLimits limits() const override { return {}; }

  void Receive();

  asio::io_context& loop_;
  CallClient& calls_;
  std::string endpoint_;
  PeerExchangeHandler& handler_;
  asio::ip::udp::socket socket_;
  asio::ip::udp::endpoint sender_;
  std::array<char, 16'384> buf_{};
  IngressServer server_;
  bool fetching_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_PEER_EXCHANGE_H_
