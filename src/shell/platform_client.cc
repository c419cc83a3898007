#include "shell/platform_client.h"

#include <fmt/format.h>

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace yuccapick {
namespace {

using Json = nlohmann::json;

constexpr long kOk = 200;
constexpr long kClientError = 400;
constexpr long kNotFound = 404;
constexpr long kRequestTimeout = 408;
constexpr long kConflict = 409;
constexpr long kServerError = 500;

HttpRequest PostJson(std::string url, std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.url = std::move(url);
  request.headers = {{"content-type", "application/json"}};
  request.body = std::move(body);
  return request;
}

/// Turns values that are no UTF-8 into replacement characters rather than an
/// exception.
std::string Dump(const Json& json) {
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
  return Dump({{"checks", std::move(checks)},
               {"puts", std::move(puts)},
               {"deletes", transaction.deletes}});
}

/// Reads the rows in field `name` of an answer; nothing if it is malformed.
std::optional<std::vector<TableRow>> ParseRows(const std::string& body,
                                               const char* name) {
  try {
    std::vector<TableRow> rows;
    const Json answer = Json::parse(body);
    for (const Json& row : answer.at(name)) {
      rows.push_back({row.at("key").get<std::string>(),
                      row.at("value").get<std::string>(),
                      row.at("version").get<std::uint64_t>()});
    }
    return rows;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

bool SaysApplied(const std::string& body, bool expected) {
  const Json answer = Json::parse(body, nullptr, false);
  if (!answer.is_object()) return false;
  auto it = answer.find("applied");
  return it != answer.end() && it->is_boolean() && *it == expected;
}

/// Whether the service turned a call away unread. A time-out (408) may come
/// from a hop in between, after the service has read it.
bool IsTurnedAway(long status) {
  return status >= kClientError && status < kServerError &&
         status != kConflict && status != kRequestTimeout;
}

CommitResult ToCommitResult(const HttpResponse& answer) {
  if (!answer.result.status.ok()) {
    const bool sent = answer.result.sent;
    return {sent ? WriteResult::kUnknown : WriteResult::kNotApplied, {}};
  }
  const long status = answer.result.http_status;
  if (status == kOk && SaysApplied(answer.body, true)) {
    return {WriteResult::kApplied, {}};
  }
  if (status == kConflict && SaysApplied(answer.body, false)) {
    auto conflicts = ParseRows(answer.body, "conflicts");
    return {WriteResult::kNotApplied,
            std::move(conflicts).value_or(std::vector<TableRow>())};
  }
  return {
      IsTurnedAway(status) ? WriteResult::kNotApplied : WriteResult::kUnknown,
      {}};
}

absl::Status ToStatus(const HttpResponse& answer, const std::string& url) {
  if (!answer.result.status.ok()) return answer.result.status;
  const long status = answer.result.http_status;
  if (status == kOk) return absl::OkStatus();
  const std::string text = fmt::format(
      "{} answered {}; check the [platform] settings and the platform's "
      "state",
      url, status);
  if (status == kNotFound) return absl::NotFoundError(text);
  if (status == kConflict) return absl::AlreadyExistsError(text);
  return absl::UnavailableError(text);
}

absl::Status Malformed(const std::string& url) {
  return absl::UnavailableError(fmt::format(
      "{} sent a malformed answer; check that the [platform] settings name "
      "the right service",
      url));
}

std::optional<InstanceKind> ParseKind(const std::string& text) {
  if (text == "router") return InstanceKind::kRouter;
  if (text == "model_engine") return InstanceKind::kModelEngine;
  if (text == "plain_service") return InstanceKind::kPlainService;
  if (text == "kv_store") return InstanceKind::kKvStore;
  return std::nullopt;
}

std::optional<InstanceEntry> ParseInstance(const Json& json) {
  const auto kind = ParseKind(json.at("kind").get<std::string>());
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
    const Json answer = Json::parse(body);
    for (const Json& json : answer.at("instances")) {
      if (auto entry = ParseInstance(json)) entries.push_back(*entry);
    }
    return entries;
  } catch (const Json::exception&) {
    return Malformed(url);
  }
}

}  // namespace

void HttpTableService::Commit(const TableTransaction& transaction,
                              std::function<void(CommitResult)> done) {
  channel_->Write(PostJson(url_ + "/commit", TransactionBody(transaction)),
                  [done = std::move(done)](const HttpResponse& answer) {
                    done(ToCommitResult(answer));
                  });
}

void HttpTableService::Read(const std::vector<std::string>& keys,
                            std::function<void(ReadResult)> done) {
  Query("/read", Dump({{"keys", keys}}), std::move(done));
}

void HttpTableService::Scan(const std::string& prefix, const std::string& after,
                            std::size_t limit,
                            std::function<void(ReadResult)> done) {
  Query("/scan", Dump({{"prefix", prefix}, {"after", after}, {"limit", limit}}),
        std::move(done));
}

void HttpTableService::Query(const std::string& call, std::string body,
                             std::function<void(ReadResult)> done) {
  const std::string url = url_ + call;
  channel_->Read(PostJson(url, std::move(body)),
                 [url, done = std::move(done)](const HttpResponse& answer) {
                   const absl::Status status = ToStatus(answer, url);
                   if (!status.ok()) return done(status);
                   auto rows = ParseRows(answer.body, "rows");
                   if (!rows) return done(Malformed(url));
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
                  [url, done = std::move(done)](const HttpResponse& answer) {
                    done(ToStatus(answer, url));
                  });
}

void HttpObjectStore::Get(
    const std::string& name,
    std::function<void(absl::StatusOr<std::string>)> done) {
  HttpRequest request;
  request.url = url_ + "/" + name;
  const std::string url = request.url;
  channel_->Read(std::move(request),
                 [url, done = std::move(done)](HttpResponse answer) {
                   const absl::Status status = ToStatus(answer, url);
                   if (!status.ok()) return done(status);
                   done(std::move(answer.body));
                 });
}

void HttpInstanceList::List(
    std::function<void(absl::StatusOr<std::vector<InstanceEntry>>)> done) {
  HttpRequest request;
  request.url = url_;
  channel_->Read(std::move(request), [url = url_, done = std::move(done)](
                                         const HttpResponse& answer) {
    const absl::Status status = ToStatus(answer, url);
    if (!status.ok()) return done(status);
    done(ParseInstances(answer.body, url));
  });
}

}  // namespace yuccapick
