#ifndef YUCCAPICK_GATEWAY_PEER_EXCHANGE_H_
#define YUCCAPICK_GATEWAY_PEER_EXCHANGE_H_

/// @file
/// Exchanges reports with other gateways, and copies of the store's tables with
/// those that cannot reach it.

#include <array>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "gateway/call_client.h"
#include "gateway/ingress_server.h"
#include "gateway/peer_codec.h"
#include "yuccapick/peer_report.h"

namespace yuccapick {

/// Largest datagram that UDP carries.
inline constexpr std::size_t kMaxDatagramBytes = 65'507;

/// Callbacks of `PeerExchange`.
class PeerExchangeHandler {
 public:
  virtual ~PeerExchangeHandler() = default;
  virtual void OnPeerReport(const PeerReport& report) = 0;
  virtual void OnStreamOrigins(
      const std::vector<StreamOriginReport>& origins) = 0;
  virtual void OnSuspectReport(const SuspectReport& report) = 0;
  virtual void OnSuspectDecisions(
      const std::vector<SuspectDecision>& decisions) = 0;
  virtual void OnNamedLimits(const std::vector<NamedLimit>& limits) = 0;
  virtual void OnStoreConfirmation(const StoreConfirmation& confirmation) = 0;
  virtual void OnHoldersQuery(const HoldersQuery& query) = 0;
  virtual void OnHoldersAnswer(const HoldersAnswer& answer) = 0;
  virtual void OnHolderUpdates(const std::vector<HolderUpdate>& updates) = 0;
  virtual void OnQuotaQuery(const QuotaQuery& query) = 0;
  virtual void OnQuotaAnswer(const QuotaAnswer& answer) = 0;
  /// A peer's copy of the tables was fetched.
  virtual void OnPeerTables(const PeerTables& tables,
                            const CallProgress& progress) = 0;
  /// A peer's copy of the tables could not be fetched.
  virtual void OnPeerTablesFailed(const std::string& peer_endpoint,
                                  const CallProgress& progress,
                                  std::string_view reason) = 0;
  /// @param known what the peer has; what it lacks suffices
  virtual PeerTables TablesForPeer(const KnownTables& known) const = 0;
};

/// Sends and receives reports over UDP and serves table copies over HTTP. Used
/// on one event loop.
class PeerExchange : private IngressHandler {
 public:
  /// @param endpoint `IP:PORT` for the reports and calls of peers
  PeerExchange(asio::io_context& loop, CallClient& calls, std::string endpoint,
               PeerExchangeHandler& handler);

  absl::Status Open();
  void Close();
  /// Sends a report to every target; datagrams may be lost.
  void Send(const PeerReport& report, const std::vector<std::string>& targets);
  /// Tells every target where streams began; datagrams may be lost.
  void Send(const std::vector<StreamOriginReport>& origins,
            const std::vector<std::string>& targets);
  /// Tells every target what was observed of prompt parts.
  void Send(const SuspectReport& report,
            const std::vector<std::string>& targets);
  /// Tells every target which prompt parts are blocked.
  void Send(const std::vector<SuspectDecision>& decisions,
            const std::vector<std::string>& targets);
  /// Tells every target which limits upstreams name.
  void Send(const std::vector<NamedLimit>& limits,
            const std::vector<std::string>& targets);
  /// Tells every target how new the store's tables are.
  void Send(const StoreConfirmation& confirmation,
            const std::vector<std::string>& targets);
  /// Asks a part's owner which engines hold the part.
  void Send(const HoldersQuery& query, const std::string& target);
  void Send(const HoldersAnswer& answer, const std::string& target);
  /// Tells a parts' owner what engines hold of them.
  void Send(const std::vector<HolderUpdate>& updates,
            const std::string& target);
  /// Asks the coordinator of teams' quotas for credit.
  void Send(const QuotaQuery& query, const std::string& target);
  void Send(const QuotaAnswer& answer, const std::string& target);
  /// Fetches from a peer what it has of the tables and this gateway lacks,
  /// unless another fetch is in progress.
  void FetchTables(const std::string& peer_endpoint, const KnownTables& known);
  void CheckTimeouts(TimePoint now) { server_.CheckTimeouts(now); }

  const std::string& endpoint() const { return endpoint_; }
  /// Connections of peers that fetch tables.
  std::size_t session_count() const { return server_.session_count(); }
  /// Bytes of tables that peers have not taken yet.
  std::size_t unsent_bytes() const { return server_.unsent_bytes(); }
  /// Bytes of tables that were written for peers since the start.
  std::uint64_t table_bytes_written() const { return table_bytes_written_; }
  /// Datagrams that the system didn't take.
  std::uint64_t datagrams_unsent() const { return datagrams_unsent_; }
  /// Datagrams of peers that hold no known message.
  std::uint64_t datagrams_unreadable() const { return datagrams_unreadable_; }
  /// Fetches refused since peers had too much still to take.
  std::uint64_t table_requests_refused() const {
    return table_requests_refused_;
  }

 private:
  std::shared_ptr<PendingRequest> OnRequest(
      IngressRequest request, std::shared_ptr<IngressSession> session) override;
  std::string OnBadRequest(int /*status*/, std::string_view reason) override {
    return std::string(reason);
  }
  CallerLimits limits() const override { return {}; }

  void OnTablesAnswer(const std::string& peer_endpoint,
                      const absl::StatusOr<CallAnswer>& answer,
                      const CallProgress& progress);
  void Receive();
  void OnDatagram(std::string_view bytes);
  /// Sends messages in as few datagrams as hold them.
  /// @param encode encodes a list of messages
  template <typename T, typename Encode>
  void SendInParts(const std::vector<T>& messages, const Encode& encode,
                   const std::vector<std::string>& targets);
  void SendDatagram(const std::string& bytes,
                    const std::vector<std::string>& targets);

  asio::io_context& loop_;
  CallClient& calls_;
  std::string endpoint_;
  PeerExchangeHandler& handler_;
  asio::ip::udp::socket socket_;
  asio::ip::udp::endpoint sender_;
  std::array<char, kMaxDatagramBytes> buf_{};
  IngressServer server_;
  bool fetching_ = false;
  std::uint64_t table_bytes_written_ = 0;
  std::uint64_t table_requests_refused_ = 0;
  std::uint64_t datagrams_unsent_ = 0;
  std::uint64_t datagrams_unreadable_ = 0;
  /// Expires with this object, which queued handlers outlive.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_PEER_EXCHANGE_H_
