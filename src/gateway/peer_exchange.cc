#include "gateway/peer_exchange.h"

#include <fmt/format.h>

#include <utility>

#include "gateway/http_connection.h"
#include "gateway/http_status.h"

namespace yuccapick {
namespace {

constexpr std::string_view kTablesPath = "/tables";
constexpr std::chrono::milliseconds kFetchTimeout{500};
/// Tells what the asking gateway has of the tables.
constexpr std::string_view kKnownTablesField = "Known-Tables";
/// Longer lists of messages are sent in several datagrams, since a datagram is
/// lost with any of its packets.
constexpr std::size_t kMaxListBytes = 8'192;
/// While peers have more than this still to take, others get no tables.
constexpr std::size_t kMaxUnsentTableBytes = 8'388'608;
constexpr std::string_view kRetryAfterSeconds = "0.5";

/// @return what the peer has; nothing if it doesn't tell
KnownTables KnownTablesOf(const HttpHead& request) {
  const std::string* field = request.Find(kKnownTablesField);
  if (field == nullptr) return {};
  return DecodeKnownTables(*field).value_or(KnownTables());
}

}  // namespace

PeerExchange::PeerExchange(asio::io_context& loop, CallClient& calls,
                           std::string endpoint, PeerExchangeHandler& handler)
    : loop_(loop),
      calls_(calls),
      endpoint_(std::move(endpoint)),
      handler_(handler),
      socket_(loop),
      server_(loop, *this) {}

absl::Status PeerExchange::Open() {
  const asio::ip::tcp::endpoint address = ParseEndpoint(endpoint_);
  asio::error_code ec;
  socket_.open(asio::ip::udp::v4(), ec);
  if (!ec) socket_.bind({address.address(), address.port()}, ec);
  if (!ec) socket_.non_blocking(true, ec);
  if (ec) {
    return absl::UnavailableError(
        fmt::format("cannot receive datagrams on {}: {}; check the peer port",
                    endpoint_, ec.message()));
  }
  Receive();
  return server_.Open(endpoint_);
}

void PeerExchange::Close() {
  asio::error_code ignored;  // The socket is no longer used either way.
  socket_.close(ignored);
  server_.CloseListener();
  server_.CloseAll();
}

void PeerExchange::Receive() {
  const std::weak_ptr<bool> alive = alive_;
  socket_.async_receive_from(
      asio::buffer(buf_), sender_,
      [this, alive](const asio::error_code& ec, std::size_t n) {
        if (alive.expired() || !socket_.is_open()) return;
        if (ec == asio::error::operation_aborted) return;
        if (!ec) OnDatagram({buf_.data(), n});
        Receive();
      });
}

void PeerExchange::OnDatagram(std::string_view bytes) {
  if (const auto query = DecodeHoldersQuery(bytes)) {
    return handler_.OnHoldersQuery(*query);
  }
  if (const auto answer = DecodeHoldersAnswer(bytes)) {
    return handler_.OnHoldersAnswer(*answer);
  }
  if (const auto updates = DecodeHolderUpdates(bytes)) {
    return handler_.OnHolderUpdates(*updates);
  }
  if (const auto query = DecodeQuotaQuery(bytes)) {
    return handler_.OnQuotaQuery(*query);
  }
  if (const auto answer = DecodeQuotaAnswer(bytes)) {
    return handler_.OnQuotaAnswer(*answer);
  }
  if (const auto origins = DecodeStreamOrigins(bytes)) {
    return handler_.OnStreamOrigins(*origins);
  }
  if (const auto report = DecodeSuspectReport(bytes)) {
    return handler_.OnSuspectReport(*report);
  }
  if (const auto decisions = DecodeSuspectDecisions(bytes)) {
    return handler_.OnSuspectDecisions(*decisions);
  }
  if (const auto limits = DecodeNamedLimits(bytes)) {
    return handler_.OnNamedLimits(*limits);
  }
  if (const auto confirmation = DecodeStoreConfirmation(bytes)) {
    return handler_.OnStoreConfirmation(*confirmation);
  }
  const auto report = DecodePeerReport(bytes);
  if (!report) {
    ++datagrams_unreadable_;
    return;
  }
  handler_.OnPeerReport(*report);
}

template <typename T, typename Encode>
void PeerExchange::SendInParts(const std::vector<T>& messages,
                               const Encode& encode,
                               const std::vector<std::string>& targets) {
  const std::string bytes = encode(messages);
  if (bytes.size() <= kMaxListBytes || messages.size() == 1) {
    return SendDatagram(bytes, targets);
  }
  const auto middle =
      messages.begin() + static_cast<std::ptrdiff_t>(messages.size() / 2);
  SendInParts(std::vector<T>(messages.begin(), middle), encode, targets);
  SendInParts(std::vector<T>(middle, messages.end()), encode, targets);
}

void PeerExchange::Send(const PeerReport& report,
                        const std::vector<std::string>& targets) {
  if (!targets.empty()) SendDatagram(EncodePeerReport(report), targets);
}

void PeerExchange::Send(const std::vector<StreamOriginReport>& origins,
                        const std::vector<std::string>& targets) {
  if (targets.empty()) return;
  SendInParts(origins, EncodeStreamOrigins, targets);
}

void PeerExchange::Send(const SuspectReport& report,
                        const std::vector<std::string>& targets) {
  if (!targets.empty()) SendDatagram(EncodeSuspectReport(report), targets);
}

void PeerExchange::Send(const std::vector<SuspectDecision>& decisions,
                        const std::vector<std::string>& targets) {
  if (targets.empty()) return;
  SendInParts(decisions, EncodeSuspectDecisions, targets);
}

void PeerExchange::Send(const std::vector<NamedLimit>& limits,
                        const std::vector<std::string>& targets) {
  if (limits.empty() || targets.empty()) return;
  SendInParts(limits, EncodeNamedLimits, targets);
}

void PeerExchange::Send(const StoreConfirmation& confirmation,
                        const std::vector<std::string>& targets) {
  if (targets.empty()) return;
  SendDatagram(EncodeStoreConfirmation(confirmation), targets);
}

void PeerExchange::Send(const HoldersQuery& query, const std::string& target) {
  SendDatagram(EncodeHoldersQuery(query), {target});
}

void PeerExchange::Send(const HoldersAnswer& answer,
                        const std::string& target) {
  SendDatagram(EncodeHoldersAnswer(answer), {target});
}

void PeerExchange::Send(const std::vector<HolderUpdate>& updates,
                        const std::string& target) {
  SendInParts(updates, EncodeHolderUpdates, {target});
}

void PeerExchange::Send(const QuotaQuery& query, const std::string& target) {
  SendDatagram(EncodeQuotaQuery(query), {target});
}

void PeerExchange::Send(const QuotaAnswer& answer, const std::string& target) {
  SendDatagram(EncodeQuotaAnswer(answer), {target});
}

void PeerExchange::SendDatagram(const std::string& bytes,
                                const std::vector<std::string>& targets) {
  for (const std::string& target : targets) {
    if (target == endpoint_) continue;
    const asio::ip::tcp::endpoint address = ParseEndpoint(target);
    if (address.port() == 0) continue;
    asio::error_code ec;
    socket_.send_to(asio::buffer(bytes), {address.address(), address.port()}, 0,
                    ec);
    if (ec) ++datagrams_unsent_;
  }
}

std::shared_ptr<PendingRequest> PeerExchange::OnRequest(
    IngressRequest request, std::shared_ptr<IngressSession> session) {
  if (request.head.target != kTablesPath) {
    session->Respond(kHttpNotFound, {}, "");
    return nullptr;
  }
  if (server_.unsent_bytes() > kMaxUnsentTableBytes) {
    ++table_requests_refused_;
    session->Respond(kHttpUnavailable,
                     {{"Retry-After", std::string(kRetryAfterSeconds)}}, "");
    return nullptr;
  }
  const std::string tables =
      EncodePeerTables(handler_.TablesForPeer(KnownTablesOf(request.head)));
  table_bytes_written_ += tables.size();
  session->Respond(kHttpOk, {}, tables);
  return nullptr;
}

void PeerExchange::FetchTables(const std::string& peer_endpoint,
                               const KnownTables& known) {
  if (fetching_) return;
  fetching_ = true;
  calls_.Call(
      peer_endpoint,
      fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n\r\n", kTablesPath,
                  peer_endpoint, kKnownTablesField, EncodeKnownTables(known)),
      kFetchTimeout,
      [this, peer_endpoint](const absl::StatusOr<CallAnswer>& answer,
                            const CallProgress& progress) {
        OnTablesAnswer(peer_endpoint, answer, progress);
      });
}

void PeerExchange::OnTablesAnswer(const std::string& peer_endpoint,
                                  const absl::StatusOr<CallAnswer>& answer,
                                  const CallProgress& progress) {
  fetching_ = false;
  if (!answer.ok()) {
    return handler_.OnPeerTablesFailed(peer_endpoint, progress,
                                       answer.status().message().data());
  }
  if (answer->status != kHttpOk) {
    return handler_.OnPeerTablesFailed(
        peer_endpoint, progress, fmt::format("status {}", answer->status));
  }
  const auto tables = DecodePeerTables(answer->body);
  if (!tables) {
    return handler_.OnPeerTablesFailed(peer_endpoint, progress,
                                       "tables can't be decoded");
  }
  handler_.OnPeerTables(*tables, progress);
}

}  // namespace yuccapick
