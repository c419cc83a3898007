#include "shell/caller_server.h"

#include <fmt/format.h>

#include <asio/ssl.hpp>
#include <utility>

#include "absl/strings/ascii.h"
#include "easylogging++.h"
#include "gateway/http_status.h"
#include "gateway/ingress_server.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kTimeoutCheckInterval{250};
/// How often a server that closes looks whether its answers are written.
constexpr std::chrono::milliseconds kWrittenCheckInterval{20};
/// Bodies up to this multiple of the limit are read, so that the error names
/// their size; larger ones are rejected unread.
constexpr std::size_t kOversizeReadFactor = 4;

HttpCall ToCall(IngressRequest request) {
  HttpCall call;
  call.method = std::move(request.head.method);
  call.target = std::move(request.head.target);
  call.body = std::move(request.body);
  for (HttpField& field : request.head.fields) {
    call.headers.push_back(
        {absl::AsciiStrToLower(field.name), std::move(field.value)});
  }
  return call;
}

std::vector<HttpField> ToFields(const std::vector<Header>& headers) {
  std::vector<HttpField> fields;
  fields.reserve(headers.size());
  for (const Header& header : headers) {
    fields.push_back({header.name, header.value});
  }
  return fields;
}

/// Keeps the session alive until the response has ended.
class IngressExchange : public CallerExchange, public PendingRequest {
 public:
  IngressExchange(std::uint64_t call_id, CallerHandler& handler,
                  std::shared_ptr<IngressSession> session)
      : call_id_(call_id), handler_(handler), session_(std::move(session)) {}

  void Respond(std::uint32_t status, const std::vector<Header>& headers,
               std::string body) override {
    if (state_ != State::kWaiting) return;
    const auto session = ReleaseSession();
    session->Respond(static_cast<int>(status), ToFields(headers), body);
  }

  void Begin(std::uint32_t status,
             const std::vector<Header>& headers) override {
    if (state_ != State::kWaiting) return;
    state_ = State::kStreaming;
    session_->BeginStream(static_cast<int>(status), ToFields(headers));
  }

  void Send(std::string data) override {
    if (state_ == State::kStreaming) session_->StreamBody(data);
  }

  void Finish() override {
    if (state_ != State::kStreaming) return;
    ReleaseSession()->EndStream();
  }

  void Abort() override {
    if (state_ == State::kEnded) return;
    ReleaseSession()->Abort();
  }

  std::size_t UnsentBytes() const override {
    return session_ == nullptr ? 0 : session_->unsent_bytes();
  }

  void OnCallerDisconnected() override {
    if (state_ == State::kEnded) return;
    ReleaseSession();
    handler_.OnCallerDisconnected(call_id_);
  }

  /// The router core answers what is left when its drain ends.
  void OnShutdown() override {}

 private:
  enum class State : std::uint8_t { kWaiting, kStreaming, kEnded };

  std::shared_ptr<IngressSession> ReleaseSession() {
    state_ = State::kEnded;
    return std::move(session_);
  }

  State state_ = State::kWaiting;
  std::uint64_t call_id_;
  CallerHandler& handler_;
  std::shared_ptr<IngressSession> session_;
};

CallerStreamFactory MakeStreamFactory(const TlsSettings& tls) {
  if (!tls.enabled()) return MakePlainStreamFactory();
  auto context =
      std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
  context->set_options(asio::ssl::context::default_workarounds |
                       asio::ssl::context::no_tlsv1 |
                       asio::ssl::context::no_tlsv1_1);
  context->use_certificate_chain_file(tls.certificate_file);
  context->use_private_key_file(tls.key_file, asio::ssl::context::pem);
  return MakeTlsStreamFactory(std::move(context));
}

class Server : public CallerServer, private IngressHandler {
 public:
  Server(asio::io_context& loop, const RouterSettings& settings,
         const TlsSettings& tls, CallerHandler& handler)
      : endpoint_(
            fmt::format("{}:{}", settings.listen.host, settings.listen.port)),
        handler_(handler),
        timer_(loop),
        ingress_(loop, *this,
                 {MakeStreamFactory(tls), settings.max_connections}) {
    limits_.max_header_bytes = settings.max_header_bytes;
    limits_.max_body_bytes = kOversizeReadFactor * settings.max_body_bytes;
    limits_.header_timeout = settings.read_timeout;
    limits_.idle_timeout = settings.read_timeout;
  }

  absl::Status Open() override {
    absl::Status status = ingress_.Open(endpoint_);
    if (status.ok()) CheckTimeouts();
    return status;
  }

  void Close() override {
    timer_.cancel();
    ingress_.CloseListener();
    ingress_.CloseAll();
  }

  void CloseWhenWritten(std::chrono::milliseconds limit,
                        std::function<void()> closed) override {
    ingress_.CloseListener();
    ingress_.DrainSessions();
    AwaitWritten(std::chrono::steady_clock::now() + limit, std::move(closed));
  }

 private:
  void AwaitWritten(TimePoint until, std::function<void()> closed) {
    const TimePoint now = std::chrono::steady_clock::now();
    const std::size_t unsent = ingress_.unsent_bytes();
    if (unsent == 0 || now >= until) {
      if (unsent > 0) {
        LOG(WARNING) << "event=answers_cut unsent_bytes=" << unsent;
      }
      Close();
      return closed();
    }
    timer_.expires_after(kWrittenCheckInterval);
    timer_.async_wait([this, until, closed = std::move(closed)](
                          const asio::error_code& ec) mutable {
      if (!ec) AwaitWritten(until, std::move(closed));
    });
  }

  std::shared_ptr<PendingRequest> OnRequest(
      IngressRequest request,
      std::shared_ptr<IngressSession> session) override {
    const std::uint64_t call_id = ++last_call_id_;
    auto exchange = std::make_shared<IngressExchange>(call_id, handler_,
                                                      std::move(session));
    handler_.OnCall(call_id, ToCall(std::move(request)), exchange);
    return exchange;
  }

  std::string OnBadRequest(int status, std::string_view reason) override {
    const ErrorKind kind = status == kHttpPayloadTooLarge
                               ? ErrorKind::kPayloadTooLarge
                               : ErrorKind::kBadRequest;
    return ErrorBody({kind, Execution::kNotRun, std::string(reason), {}});
  }

  CallerLimits limits() const override { return limits_; }

  void CheckTimeouts() {
    ingress_.CheckTimeouts(std::chrono::steady_clock::now());
    timer_.expires_after(kTimeoutCheckInterval);
    timer_.async_wait([this](const asio::error_code& ec) {
      if (!ec) CheckTimeouts();
    });
  }

  std::string endpoint_;
  CallerHandler& handler_;
  CallerLimits limits_;
  std::uint64_t last_call_id_ = 0;
  asio::steady_timer timer_;
  IngressServer ingress_;
};

}  // namespace

std::unique_ptr<CallerServer> CallerServer::Create(
    asio::io_context& loop, const RouterSettings& settings,
    const TlsSettings& tls, CallerHandler& handler) {
  return std::make_unique<Server>(loop, settings, tls, handler);
}

}  // namespace yuccapick
