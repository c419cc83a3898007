#include "shell/caller_frontend.h"

#include <fmt/format.h>

#include <algorithm>
#include <future>
#include <thread>
#include <utility>

#include "yuccapick/error_messages.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMailboxCapacity = 1 << 13;
constexpr std::chrono::milliseconds kBusyRetryAfter{500};
constexpr std::chrono::microseconds kMailboxFullDelay{200};
/// A connection with more unsent bytes is aborted.
constexpr std::size_t kMaxUnsentBytes = 4 << 20;

constexpr std::string_view kJson = "application/json";
constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::string_view kPrometheusText = "text/plain; version=0.0.4";

std::vector<Header> ContentType(std::string_view type) {
  return {{"content-type", std::string(type)}};
}

/// Sends an error as a complete response.
void RespondWithError(CallerExchange& exchange, const Error& error) {
  std::vector<Header> headers = ContentType(kJson);
  if (error.retry_after.has_value()) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*error.retry_after);
    headers.push_back({"retry-after", std::to_string(seconds.count())});
  }
  exchange.Respond(static_cast<std::uint32_t>(HttpStatusOf(error.kind)),
                   headers, ErrorBody(error));
}

Error NotRunError(ErrorKind kind, std::string_view message,
                  std::optional<std::chrono::milliseconds> retry_after = {}) {
  return {kind, Execution::kNotRun, std::string(message), retry_after};
}

/// Returns the headers of an answer without the hop-by-hop headers of the
/// upstream's connection.
std::vector<Header> AnswerHeaders(const std::vector<Header>& headers) {
  std::vector<Header> kept;
  for (const Header& header : headers) {
    const bool dropped =
        header.name == "content-length" || header.name == "connection" ||
        header.name == "transfer-encoding" || header.name == "keep-alive";
    if (!dropped) kept.push_back(header);
  }
  return kept;
}

bool IsEventStream(const std::vector<Header>& headers) {
  return std::any_of(headers.begin(), headers.end(), [](const Header& header) {
    return header.name == "content-type" &&
           header.value.starts_with(kEventStream);
  });
}

}  // namespace

CallerFrontend::CallerFrontend(const ProcessSettings& settings, Outputs outputs)
    : outputs_(std::move(outputs)),
      server_(CallerServer::Create(thread_.loop(), settings.router,
                                   settings.caller_tls, *this)),
      replies_(thread_.loop(), kMailboxCapacity, [this](CallerReply&& reply) {
        std::visit([this](auto& r) { On(r); }, reply);
      }) {}

CallerFrontend::~CallerFrontend() { Stop(std::chrono::milliseconds(0)); }

absl::Status CallerFrontend::Start() {
  std::promise<absl::Status> opened;
  asio::post(thread_.loop(),
             [this, &opened] { opened.set_value(server_->Open()); });
  thread_.Start();
  return opened.get_future().get();
}

void CallerFrontend::Stop(std::chrono::milliseconds write_limit) {
  asio::post(thread_.loop(), [this, write_limit] {
    server_->CloseWhenWritten(write_limit, [this] {
      asio::post(thread_.loop(), [this] { thread_.loop().stop(); });
    });
  });
  thread_.Join();
}

void CallerFrontend::Reply(const CallerReply& reply) {
  // Blocks the router core rather than losing part of an answer.
  while (!replies_.Post(reply)) {
    delayed_replies_.fetch_add(1);
    std::this_thread::sleep_for(kMailboxFullDelay);
  }
}

void CallerFrontend::SetConfig(const ConfigPtr& config) {
  auto view = std::make_shared<const ConfigView>(
      ConfigView{config, Authenticator(*config)});
  asio::post(thread_.loop(),
             [this, view = std::move(view)] { config_view_ = view; });
}

void CallerFrontend::OnCall(std::uint64_t call_id, HttpCall call,
                            std::shared_ptr<CallerExchange> exchange) {
  const CallerRoute route = RouteOf(call.method, call.target);
  switch (route) {
    case CallerRoute::kHealth:
      exchange->Respond(200, ContentType(kJson), R"({"healthy":true})");
      return;
    case CallerRoute::kReady:
      exchange->Respond(
          ready_.load() ? 200 : 503, ContentType(kJson),
          ready_.load() ? R"({"ready":true})" : R"({"ready":false})");
      return;
    case CallerRoute::kMetrics:
      RespondWithMetrics(exchange);
      return;
    case CallerRoute::kUnknown:
      RespondWithError(*exchange, NotRunError(ErrorKind::kNotFound,
                                              error_messages::kRouteUnknown));
      return;
    default:
      HandleRequest(route, RequestId(call_id), std::move(call), exchange);
  }
}

void CallerFrontend::HandleRequest(
    CallerRoute route, RequestId id, HttpCall call,
    const std::shared_ptr<CallerExchange>& exchange) {
  if (config_view_ == nullptr || !ready_.load()) {
    RespondWithError(
        *exchange, NotRunError(ErrorKind::kNotReady, error_messages::kNotReady,
                               kBusyRetryAfter));
    return;
  }
  const std::string_view token = BearerToken(call);
  if (token.empty()) {
    RespondWithError(*exchange, NotRunError(ErrorKind::kUnauthenticated,
                                            error_messages::kTokenMissing));
    return;
  }
  const auto team = config_view_->authenticator.Authenticate(token);
  if (!team.has_value()) {
    RespondWithError(*exchange, NotRunError(ErrorKind::kUnauthenticated,
                                            error_messages::kTokenUnknown));
    return;
  }
  if (route == CallerRoute::kModels) {
    exchange->Respond(200, ContentType(kJson),
                      ModelsBody(*team, *config_view_->config));
    return;
  }
  if (route == CallerRoute::kOperation) {
    HandleOperationQuery(call, *team, id, exchange);
    return;
  }
  ParsedRequest parsed =
      ParseRequest(route, std::move(call), *team, *config_view_->config);
  if (const auto* error = std::get_if<Error>(&parsed)) {
    RespondWithError(*exchange, *error);
    return;
  }
  auto& request = std::get<CallerRequest>(parsed);
  request.id = id;
  PendingCall pending{exchange, request.streamed, false};
  Submit(id, std::move(pending), RequestArrived{std::move(request)});
}

void CallerFrontend::HandleOperationQuery(
    const HttpCall& call, const TeamId& team, RequestId id,
    const std::shared_ptr<CallerExchange>& exchange) {
  const OperationQuery name = ParseOperationQuery(call);
  if (name.service.empty()) {
    RespondWithError(*exchange,
                     NotRunError(ErrorKind::kBadRequest,
                                 error_messages::kOperationServiceMissing));
    return;
  }
  Submit(id, {exchange, false, false},
         OperationQueried{id, team, name.service, name.key});
}

void CallerFrontend::Submit(RequestId id, PendingCall pending,
                            RouterEvent event) {
  if (!outputs_.post(std::move(event))) {
    return RespondWithError(
        *pending.exchange,
        NotRunError(ErrorKind::kOverloaded, error_messages::kRouterBusy,
                    kBusyRetryAfter));
  }
  pending_[id] = std::move(pending);
}

void CallerFrontend::RespondWithMetrics(
    const std::shared_ptr<CallerExchange>& exchange) {
  outputs_.metrics([this, exchange](std::string text) {
    asio::post(thread_.loop(), [exchange, text = std::move(text)] {
      exchange->Respond(200, ContentType(kPrometheusText), text);
    });
  });
}

void CallerFrontend::OnCallerDisconnected(std::uint64_t call_id) {
  const RequestId id(call_id);
  if (pending_.erase(id) == 0) return;
  // If the mailbox is full the upstream does needless work, but the answer
  // stays correct: replies to an unknown request are ignored.
  static_cast<void>(outputs_.post(CallerDisconnected{id}));
}

void CallerFrontend::On(const BeginAnswer& reply) {
  PendingCall* pending = Find(reply.request);
  if (pending == nullptr) return;
  pending->response_started = true;
  pending->event_stream = pending->event_stream && IsEventStream(reply.headers);
  pending->exchange->Begin(reply.status, AnswerHeaders(reply.headers));
}

void CallerFrontend::On(SendAnswerData& reply) {
  PendingCall* pending = Find(reply.request);
  if (pending == nullptr) return;
  if (pending->exchange->UnsentBytes() > kMaxUnsentBytes) {
    pending->exchange->Abort();
    return OnCallerDisconnected(reply.request.value);
  }
  pending->exchange->Send(pending->event_stream
                              ? fmt::format("data: {}\n\n", reply.data)
                              : std::move(reply.data));
}

void CallerFrontend::On(const FinishAnswer& reply) {
  PendingCall* pending = Find(reply.request);
  if (pending == nullptr) return;
  if (pending->event_stream) pending->exchange->Send("data: [DONE]\n\n");
  pending->exchange->Finish();
  pending_.erase(reply.request);
}

void CallerFrontend::On(const FailRequest& reply) {
  PendingCall* pending = Find(reply.request);
  if (pending == nullptr) return;
  if (!pending->response_started) {
    RespondWithError(*pending->exchange, reply.error);
  } else {
    if (pending->event_stream) {
      pending->exchange->Send(
          fmt::format("event: error\ndata: {}\n\n", ErrorBody(reply.error)));
    }
    pending->exchange->Abort();
  }
  pending_.erase(reply.request);
}

void CallerFrontend::On(const OperationQueryResult& reply) {
  PendingCall* pending = Find(reply.request);
  if (pending == nullptr) return;
  const bool readable = reply.status != OperationStatus::kUnavailable;
  pending->exchange->Respond(readable ? 200 : 503, ContentType(kJson),
                             OperationBody(reply));
  pending_.erase(reply.request);
}

CallerFrontend::PendingCall* CallerFrontend::Find(RequestId id) {
  auto it = pending_.find(id);
  return it == pending_.end() ? nullptr : &it->second;
}

}  // namespace yuccapick
