#include "shell/platform_client.h"

#include <fmt/format.h>

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace yuccapick {
namespace {

using Json = nlohmann::json;

constexpr long kHttpOk = 200;
constexpr long kHttpBadRequest = 400;
constexpr long kHttpNotFound = 404;
constexpr long kHttpRequestTimeout = 408;
constexpr long kHttpConflict = 409;
constexpr long kHttpInternalServerError = 500;

HttpRequest PostJson(std::string url, std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.url = std::move(url);
  request.headers = {{"content-type", "application/json"}};
  request.body = std::move(body);
  return request;
}

/// Serializes JSON. Invalid UTF-8 becomes replacement characters instead of an
/// exception.
std::string DumpJson(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string TransactionBody(const TableTransaction& transaction) {
  Json checks = Json::array();
  for (const TableCheck& check : transaction.checks) {
    checks.push_back({{"key", check.key}, {"version", check.version}});
  }
  Json puts = Json::array();
  for (const TablePut& put : transaction.puts) {
    puts.push_back({{"key", put.key}, {"value", put.value}});
  }
  return DumpJson({{"checks", std::move(checks)},
                   {"puts", std::move(puts)},
                   {"deletes", transaction.deletes}});
}

/// Parses the rows in field `name` of a response body. Returns nothing if it is
/// malformed.
std::optional<std::vector<TableRow>> ParseRows(const std::string& body,
                                               const char* name) {
  try {
    std::vector<TableRow> rows;
    const Json response = Json::parse(body);
    for (const Json& row : response.at(name)) {
      rows.push_back({row.at("key").get<std::string>(),
                      row.at("value").get<std::string>(),
                      row.at("version").get<std::uint64_t>()});
    }
    return rows;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

bool AppliedFieldEquals(const std::string& body, bool expected) {
  const Json response = Json::parse(body, nullptr, false);
  if (!response.is_object()) return false;
  auto it = response.find("applied");
  return it != response.end() && it->is_boolean() && *it == expected;
}

/// Whether the service rejected a call without processing it. A timeout (408)
/// does not prove this: a proxy may send it after the service got the call.
bool IsRejectedUnprocessed(long status) {
  return status >= kHttpBadRequest && status < kHttpInternalServerError &&
         status != kHttpConflict && status != kHttpRequestTimeout;
}

CommitResult ToCommitResult(const HttpResponse& response) {
  if (!response.result.status.ok()) {
    const bool sent = response.result.sent;
    return {sent ? WriteResult::kUnknown : WriteResult::kNotApplied, {}};
  }
  const long status = response.result.http_status;
  if (status == kHttpOk && AppliedFieldEquals(response.body, true)) {
    return {WriteResult::kApplied, {}};
  }
  if (status == kHttpConflict && AppliedFieldEquals(response.body, false)) {
    auto conflicts = ParseRows(response.body, "conflicts");
    return {WriteResult::kNotApplied,
            std::move(conflicts).value_or(std::vector<TableRow>())};
  }
  return {IsRejectedUnprocessed(status) ? WriteResult::kNotApplied
                                        : WriteResult::kUnknown,
          {}};
}

absl::Status ToStatus(const HttpResponse& response, const std::string& url) {
  if (!response.result.status.ok()) return response.result.status;
  const long status = response.result.http_status;
  if (status == kHttpOk) return absl::OkStatus();
  const std::string text = fmt::format(
      "{} responded with {}; check the [platform] settings and the platform's "
      "state",
      url, status);
  if (status == kHttpNotFound) return absl::NotFoundError(text);
  if (status == kHttpConflict) return absl::AlreadyExistsError(text);
  return absl::UnavailableError(text);
}

absl::Status MalformedResponseError(const std::string& url) {
  return absl::UnavailableError(fmt::format(
      "{} sent a malformed response; check that the [platform] settings name "
      "the right service",
      url));
}

std::optional<InstanceKind> ParseInstanceKind(const std::string& text) {
  if (text == "router") return InstanceKind::kRouter;
  if (text == "model_engine") return InstanceKind::kModelEngine;
  if (text == "plain_service") return InstanceKind::kPlainService;
  if (text == "kv_store") return InstanceKind::kKvStore;
  return std::nullopt;
}

std::optional<InstanceEntry> ParseInstance(const Json& json) {
  const auto kind = ParseInstanceKind(json.at("kind").get<std::string>());
  const auto port = json.at("port").get<std::int64_t>();
  if (!kind || port <= 0 || port > std::numeric_limits<std::uint16_t>::max()) {
    return std::nullopt;
  }
  InstanceEntry entry;
  entry.id = InstanceId(json.at("id").get<std::string>());
  entry.kind = *kind;
  entry.host = json.at("host").get<std::string>();
  entry.port = static_cast<std::uint16_t>(port);
  entry.domain = FailureDomain(json.value("failure_domain", ""));
  entry.region = Region(json.value("region", ""));
  entry.leaving = json.value("state", "live") == "leaving";
  for (const Json& service : json.value("services", Json::array())) {
    entry.services.emplace_back(service.get<std::string>());
  }
  return entry;
}

absl::StatusOr<std::vector<InstanceEntry>> ParseInstances(
    const std::string& body, const std::string& url) {
  try {
    std::vector<InstanceEntry> entries;
    const Json response = Json::parse(body);
    for (const Json& json : response.at("instances")) {
      if (auto entry = ParseInstance(json)) entries.push_back(*entry);
    }
    return entries;
  } catch (const Json::exception&) {
    return MalformedResponseError(url);
  }
}

}  // namespace

void HttpTableService::Commit(const TableTransaction& transaction,
                              std::function<void(CommitResult)> done) {
  channel_->Write(PostJson(url_ + "/commit", TransactionBody(transaction)),
                  [done = std::move(done)](const HttpResponse& response) {
                    done(ToCommitResult(response));
                  });
}

void HttpTableService::Read(const std::vector<std::string>& keys,
                            std::function<void(ReadResult)> done) {
  Query("/read", DumpJson({{"keys", keys}}), std::move(done));
}

void HttpTableService::Scan(const std::string& prefix, const std::string& after,
                            std::size_t limit,
                            std::function<void(ReadResult)> done) {
  Query("/scan",
        DumpJson({{"prefix", prefix}, {"after", after}, {"limit", limit}}),
        std::move(done));
}

void HttpTableService::Query(const std::string& call, std::string body,
                             std::function<void(ReadResult)> done) {
  const std::string url = url_ + call;
  channel_->Read(PostJson(url, std::move(body)),
                 [url, done = std::move(done)](const HttpResponse& response) {
                   const absl::Status status = ToStatus(response, url);
                   if (!status.ok()) return done(status);
                   auto rows = ParseRows(response.body, "rows");
                   if (!rows) return done(MalformedResponseError(url));
                   done(*std::move(rows));
                 });
}

void HttpObjectStore::Put(const std::string& name, std::string content,
                          std::function<void(absl::Status)> done) {
  HttpRequest request;
  request.method = "PUT";
  request.url = url_ + "/" + name;
  request.body = std::move(content);
  const std::string url = request.url;
  channel_->Write(std::move(request),
                  [url, done = std::move(done)](const HttpResponse& response) {
                    done(ToStatus(response, url));
                  });
}

void HttpObjectStore::Get(
    const std::string& name,
    std::function<void(absl::StatusOr<std::string>)> done) {
  HttpRequest request;
  request.url = url_ + "/" + name;
  const std::string url = request.url;
  channel_->Read(std::move(request),
                 [url, done = std::move(done)](HttpResponse response) {
                   const absl::Status status = ToStatus(response, url);
                   if (!status.ok()) return done(status);
                   done(std::move(response.body));
                 });
}

void HttpInstanceList::List(
    std::function<void(absl::StatusOr<std::vector<InstanceEntry>>)> done) {
  HttpRequest request;
  request.url = url_;
  channel_->Read(std::move(request), [url = url_, done = std::move(done)](
                                         const HttpResponse& response) {
    const absl::Status status = ToStatus(response, url);
    if (!status.ok()) return done(status);
    done(ParseInstances(response.body, url));
  });
}

}  // namespace yuccapick
