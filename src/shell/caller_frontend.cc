#include "shell/caller_duty.h"

#include <fmt/format.h>

#include <algorithm>
#include <future>
#include <thread>
#include <utility>

#include "yuccapick/error_messages.h"

namespace yuccapick {
namespace {

constexpr std::size_t kRingCapacity = 1 << 13;
constexpr std::chrono::milliseconds kBusyRetryAfter{500};
constexpr std::chrono::microseconds kFullRingPause{200};
/// A caller that leaves this much unread is cut off.
constexpr std::size_t kMaxUnsentBytes = 4 << 20;

constexpr std::string_view kJson = "application/json";
constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::string_view kPrometheusText = "text/plain; version=0.0.4";

std::vector<Header> ContentType(std::string_view type) {
  return {{"content-type", std::string(type)}};
}

/// Sends an error as a whole answer.
void Refuse(CallerExchange& exchange, const Error& error) {
  std::vector<Header> headers = ContentType(kJson);
  if (error.retry_after.has_value()) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*error.retry_after);
    headers.push_back({"retry-after", std::to_string(seconds.count())});
  }
  exchange.Respond(static_cast<std::uint32_t>(HttpStatusOf(error.kind)),
                   headers, ErrorBody(error));
}

Error NotRun(ErrorKind kind, std::string_view message,
             std::optional<std::chrono::milliseconds> retry_after = {}) {
  return {kind, Execution::kNotRun, std::string(message), retry_after};
}

/// Headers of an answer, less those that concern the upstream's connection.
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

CallerDuty::CallerDuty(const ProcessSettings& settings, Outputs outputs)
    : outputs_(std::move(outputs)),
      server_(CallerServer::Create(thread_.loop(), settings.router,
                                   settings.caller_tls, *this)),
      replies_(thread_.loop(), kRingCapacity, [this](CallerReply&& reply) {
        std::visit([this](auto& r) { On(r); }, reply);
      }) {}

CallerDuty::~CallerDuty() { Stop(); }

absl::Status CallerDuty::Start() {
  std::promise<absl::Status> opened;
  asio::post(thread_.loop(),
             [this, &opened] { opened.set_value(server_->Open()); });
  thread_.Start();
  return opened.get_future().get();
}

void CallerDuty::Stop() {
  asio::post(thread_.loop(), [this] {
    server_->Close();
    asio::post(thread_.loop(), [this] { thread_.loop().stop(); });
  });
  thread_.Join();
}

void CallerDuty::Reply(const CallerReply& reply) {
  // The decisions wait for a full ring rather than lose part of an answer.
  while (!replies_.Post(reply)) {
    delayed_.fetch_add(1);
    std::this_thread::sleep_for(kFullRingPause);
  }
}

void CallerDuty::SetConfig(const ConfigPtr& config) {
  auto view =
      std::make_shared<const View>(View{config, Authenticator(*config)});
  asio::post(thread_.loop(), [this, view = std::move(view)] { view_ = view; });
}

void CallerDuty::OnCall(std::uint64_t call_id, HttpCall call,
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
      AnswerMetrics(exchange);
      return;
    case CallerRoute::kUnknown:
      Refuse(*exchange,
             NotRun(ErrorKind::kNotFound, error_messages::kRouteUnknown));
      return;
    default:
      TakeRequest(route, RequestId(call_id), std::move(call), exchange);
  }
}

void CallerDuty::TakeRequest(CallerRoute route, RequestId id, HttpCall call,
                             const std::shared_ptr<CallerExchange>& exchange) {
  if (view_ == nullptr || !ready_.load()) {
    Refuse(*exchange, NotRun(ErrorKind::kNotReady, error_messages::kNotReady,
                             kBusyRetryAfter));
    return;
  }
  const std::string_view token = BearerToken(call);
  if (token.empty()) {
    Refuse(*exchange,
           NotRun(ErrorKind::kUnauthenticated, error_messages::kTokenMissing));
    return;
  }
  const auto team = view_->authenticator.Authenticate(token);
  if (!team.has_value()) {
    Refuse(*exchange,
           NotRun(ErrorKind::kUnauthenticated, error_messages::kTokenUnknown));
    return;
  }
  if (route == CallerRoute::kModels) {
    exchange->Respond(200, ContentType(kJson),
                      ModelsBody(*team, *view_->config));
    return;
  }
  if (route == CallerRoute::kOperation) {
    TakeQuery(call, *team, id, exchange);
    return;
  }
  ParsedRequest parsed =
      ParseRequest(route, std::move(call), *team, *view_->config);
  if (const auto* error = std::get_if<Error>(&parsed)) {
    Refuse(*exchange, *error);
    return;
  }
  auto& request = std::get<CallerRequest>(parsed);
  request.id = id;
  Pending pending{exchange, request.streamed, false};
  Submit(id, std::move(pending), RequestArrived{std::move(request)});
}

void CallerDuty::TakeQuery(const HttpCall& call, const TeamId& team,
                           RequestId id,
                           const std::shared_ptr<CallerExchange>& exchange) {
  const OperationQuery name = ParseOperationQuery(call);
  if (name.service.empty()) {
    Refuse(*exchange, NotRun(ErrorKind::kBadRequest,
                             error_messages::kOperationServiceMissing));
    return;
  }
  Submit(id, {exchange, false, false},
         OperationQueried{id, team, name.service, name.key});
}

void CallerDuty::Submit(RequestId id, Pending pending, RouterEvent event) {
  if (!outputs_.post(std::move(event))) {
    return Refuse(*pending.exchange,
                  NotRun(ErrorKind::kOverloaded, error_messages::kRouterBusy,
                         kBusyRetryAfter));
  }
  pending_[id] = std::move(pending);
}

void CallerDuty::AnswerMetrics(
    const std::shared_ptr<CallerExchange>& exchange) {
  outputs_.metrics([this, exchange](std::string text) {
    asio::post(thread_.loop(), [exchange, text = std::move(text)] {
      exchange->Respond(200, ContentType(kPrometheusText), text);
    });
  });
}

void CallerDuty::OnCallerDisconnected(std::uint64_t call_id) {
  const RequestId id(call_id);
  if (pending_.erase(id) == 0) return;
  // A lost notice costs work, not truth: the answer finds no caller.
  static_cast<void>(outputs_.post(CallerDisconnected{id}));
}

void CallerDuty::On(const BeginAnswer& reply) {
  Pending* pending = Find(reply.request);
  if (pending == nullptr) return;
  pending->begun = true;
  pending->event_stream = pending->event_stream && IsEventStream(reply.headers);
  pending->exchange->Begin(reply.status, AnswerHeaders(reply.headers));
}

void CallerDuty::On(SendAnswerData& reply) {
  Pending* pending = Find(reply.request);
  if (pending == nullptr) return;
  if (pending->exchange->UnsentBytes() > kMaxUnsentBytes) {
    pending->exchange->BreakOff();
    return OnCallerDisconnected(reply.request.value);
  }
  pending->exchange->Send(pending->event_stream
                              ? fmt::format("data: {}\n\n", reply.data)
                              : std::move(reply.data));
}

void CallerDuty::On(const FinishAnswer& reply) {
  Pending* pending = Find(reply.request);
  if (pending == nullptr) return;
  if (pending->event_stream) pending->exchange->Send("data: [DONE]\n\n");
  pending->exchange->Finish();
  pending_.erase(reply.request);
}

void CallerDuty::On(const FailRequest& reply) {
  Pending* pending = Find(reply.request);
  if (pending == nullptr) return;
  if (!pending->begun) {
    Refuse(*pending->exchange, reply.error);
  } else {
    if (pending->event_stream) {
      pending->exchange->Send(
          fmt::format("event: error\ndata: {}\n\n", ErrorBody(reply.error)));
    }
    pending->exchange->BreakOff();
  }
  pending_.erase(reply.request);
}

void CallerDuty::On(const OperationQueryResult& reply) {
  Pending* pending = Find(reply.request);
  if (pending == nullptr) return;
  const bool readable = reply.status != OperationStatus::kUnavailable;
  pending->exchange->Respond(readable ? 200 : 503, ContentType(kJson),
                             OperationBody(reply));
  pending_.erase(reply.request);
}

CallerDuty::Pending* CallerDuty::Find(RequestId id) {
  auto it = pending_.find(id);
  return it == pending_.end() ? nullptr : &it->second;
}

}  // namespace yuccapick
