#include "yuccapick/caller_api.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

#include "yuccapick/completion_body.h"
#include "yuccapick/error_messages.h"

namespace yuccapick {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kServicesPath = "/services/";
constexpr std::string_view kOperationsPath = "/operations/";
constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

constexpr std::string_view kServiceHeader = "yuccapick-service";
constexpr std::string_view kDeadlineHeader = "yuccapick-deadline-ms";
constexpr std::string_view kKeyHeader = "idempotency-key";

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

Error BadRequest(std::string message) {
  return {ErrorKind::kBadRequest, Execution::kNotRun, std::move(message), {}};
}

bool Admits(const ServiceConfig& service, const TeamId& team) {
  return service.teams.empty() ||
         std::find(service.teams.begin(), service.teams.end(), team) !=
             service.teams.end();
}

bool Offers(const ServiceConfig& service, const ModelId& model) {
  return std::find(service.models.begin(), service.models.end(), model) !=
         service.models.end();
}

std::string_view StatusName(OperationStatus status) {
  switch (status) {
    case OperationStatus::kAbsent:
      return "absent";
    case OperationStatus::kInProgress:
      return "in_progress";
    case OperationStatus::kNotRun:
      return "not_run";
    case OperationStatus::kDone:
      return "done";
    case OperationStatus::kUnknown:
      return "unknown";
    case OperationStatus::kUnavailable:
      return "unavailable";
  }
  return "unavailable";
}

/// Returns the service that a model request names, or the first one that
/// offers the model to the team.
const ServiceConfig* FindModelService(const HttpCall& call, const TeamId& team,
                                      const ModelId& model,
                                      const ConfigSnapshot& config) {
  const std::string_view named = call.HeaderValue(kServiceHeader);
  if (!named.empty()) return config.FindService(ServiceId(std::string(named)));
  for (const ServiceConfig& service : config.services) {
    if (Admits(service, team) && Offers(service, model)) return &service;
  }
  return nullptr;
}

/// True unless the header concerns a single connection, holds the caller's
/// credentials or is addressed to the router itself.
bool IsForwarded(std::string_view name) {
  static const std::set<std::string_view> kDropped = {
      "authorization",
      "connection",
      "content-length",
      "expect",
      "host",
      "keep-alive",
      "proxy-authorization",
      "te",
      "trailer",
      "transfer-encoding",
      "upgrade",
      kServiceHeader,
      kDeadlineHeader,
  };
  return !kDropped.contains(name);
}

/// Reads the headers that all kinds of requests share.
/// @return the error, if any
std::optional<Error> ReadCommonHeaders(const HttpCall& call,
                                       CallerRequest& request) {
  const std::string_view key = call.HeaderValue(kKeyHeader);
  if (key.size() > kMaxKeyBytes) {
    return BadRequest(error_messages::KeyTooLong(kMaxKeyBytes));
  }
  request.key = IdempotencyKey(std::string(key));
  const std::string_view deadline = call.HeaderValue(kDeadlineHeader);
  if (deadline.empty()) return std::nullopt;
  std::int64_t number = 0;
  const auto [end, ec] = std::from_chars(
      deadline.data(), deadline.data() + deadline.size(), number);
  const bool whole = end == deadline.data() + deadline.size();
  if (ec != std::errc() || !whole || number <= 0 || number > kMaxDeadlineMs) {
    return BadRequest(error_messages::BadDeadline(kMaxDeadlineMs));
  }
  request.deadline = std::chrono::milliseconds(number);
  return std::nullopt;
}

/// Checks that `service` exists, admits `team` and takes a body of this size.
std::optional<Error> CheckService(const ServiceConfig* service,
                                  std::string_view name, const TeamId& team,
                                  std::size_t body_bytes) {
  if (service == nullptr) {
    return Error{ErrorKind::kNotFound,
                 Execution::kNotRun,
                 error_messages::UnknownService(name),
                 {}};
  }
  if (!Admits(*service, team)) {
    return Error{ErrorKind::kForbidden,
                 Execution::kNotRun,
                 error_messages::TeamNotAdmitted(team, service->id),
                 {}};
  }
  if (body_bytes > service->max_body_bytes) {
    return Error{
        ErrorKind::kPayloadTooLarge,
        Execution::kNotRun,
        error_messages::BodyTooLarge(body_bytes, service->max_body_bytes),
        {}};
  }
  return std::nullopt;
}

ParsedRequest ParsePlainRequest(const HttpCall& call, CallerRequest request,
                                const ConfigSnapshot& config) {
  const std::string_view target = call.target;
  const std::string_view rest = target.substr(kServicesPath.size());
  const std::size_t slash = rest.find_first_of("/?");
  const std::string name(rest.substr(0, slash));
  const ServiceConfig* service = config.FindService(ServiceId(name));
  if (service != nullptr && service->kind != ServiceKind::kPlain) {
    service = nullptr;
  }
  std::optional<Error> error =
      CheckService(service, name, request.team, call.body.size());
  if (error.has_value()) return *std::move(error);
  request.service = service->id;
  request.kind = RequestKind::kPlain;
  request.target =
      slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
  if (request.target.front() != '/') request.target.insert(0, 1, '/');
  return request;
}

ParsedRequest ParseModelRequest(CallerRoute route, const HttpCall& call,
                                CallerRequest request,
                                const ConfigSnapshot& config) {
  const bool chat = route == CallerRoute::kChatCompletion;
  request.kind = chat ? RequestKind::kChatCompletion : RequestKind::kCompletion;
  absl::StatusOr<CompletionBody> parsed =
      ParseCompletionBody(request.kind, call.body);
  if (!parsed.ok()) {
    std::string message(parsed.status().message());
    return BadRequest(std::move(message));
  }
  request.model = ModelId(parsed->model);
  request.adapter = AdapterId(parsed->adapter);
  const ServiceConfig* service =
      FindModelService(call, request.team, request.model, config);
  std::optional<Error> error =
      CheckService(service, call.HeaderValue(kServiceHeader), request.team,
                   call.body.size());
  if (error.has_value()) return *std::move(error);
  if (!Offers(*service, request.model) ||
      config.FindModel(request.model) == nullptr) {
    return Error{ErrorKind::kNotFound,
                 Execution::kNotRun,
                 error_messages::ModelNotOffered(request.model, *service),
                 {}};
  }
  const auto& adapters = service->adapters;
  if (!request.adapter.empty() &&
      std::find(adapters.begin(), adapters.end(), request.adapter) ==
          adapters.end()) {
    return Error{ErrorKind::kNotFound,
                 Execution::kNotRun,
                 error_messages::AdapterNotOffered(request.adapter, *service),
                 {}};
  }
  request.service = service->id;
  request.streamed = parsed->streamed;
  request.levels = std::move(parsed->levels);
  request.target = chat ? "/v1/chat/completions" : "/v1/completions";
  return request;
}

}  // namespace

std::string_view HttpCall::HeaderValue(std::string_view name) const {
  for (const Header& header : headers) {
    if (header.name == name) return header.value;
  }
  return {};
}

CallerRoute RouteOf(std::string_view method, std::string_view target) {
  const std::string_view path = PathOf(target);
  if (path.starts_with(kServicesPath) && path.size() > kServicesPath.size()) {
    return CallerRoute::kPlainService;
  }
  if (method == "POST") {
    if (path == "/v1/chat/completions") return CallerRoute::kChatCompletion;
    if (path == "/v1/completions") return CallerRoute::kCompletion;
  }
  if (method == "GET") {
    if (path == "/v1/models") return CallerRoute::kModels;
    if (path == "/healthz") return CallerRoute::kHealth;
    if (path == "/readyz") return CallerRoute::kReady;
    if (path == "/metrics") return CallerRoute::kMetrics;
    if (path.starts_with(kOperationsPath)) return CallerRoute::kOperation;
  }
  return CallerRoute::kUnknown;
}

std::string_view BearerToken(const HttpCall& call) {
  const std::string_view value = call.HeaderValue("authorization");
  if (!value.starts_with(kBearerPrefix)) return {};
  return value.substr(kBearerPrefix.size());
}

ParsedRequest ParseRequest(CallerRoute route, HttpCall call, const TeamId& team,
                           const ConfigSnapshot& config) {
  CallerRequest request;
  request.team = team;
  request.method = call.method;
  std::optional<Error> error = ReadCommonHeaders(call, request);
  if (error.has_value()) return *std::move(error);
  for (Header& header : call.headers) {
    if (IsForwarded(header.name)) request.headers.push_back(header);
  }
  ParsedRequest parsed =
      route == CallerRoute::kPlainService
          ? ParsePlainRequest(call, std::move(request), config)
          : ParseModelRequest(route, call, std::move(request), config);
  if (auto* accepted = std::get_if<CallerRequest>(&parsed)) {
    accepted->body = std::move(call.body);
  }
  return parsed;
}

OperationQuery ParseOperationQuery(const HttpCall& call) {
  const std::string_view path = PathOf(call.target);
  std::string key(path.substr(kOperationsPath.size()));
  std::string service(call.HeaderValue(kServiceHeader));
  return {ServiceId(std::move(service)), IdempotencyKey(std::move(key))};
}

std::string OperationBody(const OperationQueryResult& result) {
  Json body = {{"status", StatusName(result.status)}};
  if (result.answer_status != 0) body["answer_status"] = result.answer_status;
  return body.dump();
}

std::string ErrorBody(const Error& error) {
  Json detail = {{"code", ErrorKindName(error.kind)},
                 {"execution", ExecutionName(error.execution)},
                 {"message", error.message}};
  if (error.retry_after.has_value()) {
    detail["retry_after_ms"] = error.retry_after->count();
  }
  return Json{{"error", std::move(detail)}}.dump(
      -1, ' ', false, Json::error_handler_t::replace);
}

std::string ModelsBody(const TeamId& team, const ConfigSnapshot& config) {
  std::set<std::string> names;
  for (const ServiceConfig& service : config.services) {
    if (!Admits(service, team)) continue;
    for (const ModelId& model : service.models) names.insert(model.value);
  }
  Json data = Json::array();
  for (const std::string& name : names) {
    data.push_back(
        {{"id", name}, {"object", "model"}, {"owned_by", "yuccapick"}});
  }
  return Json{{"object", "list"}, {"data", std::move(data)}}.dump();
}

}  // namespace yuccapick
