#include "service_parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace yuccapick {
namespace {

constexpr std::int64_t kMaxBodyBytes = 64 << 20;
constexpr std::int64_t kMaxConcurrency = 1'000'000;
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

void ParseOutage(ConfigReader& reader) {
  std::string outage = "refuse";
  reader.Text("outage", outage);
  if (outage != "refuse") {
    reader.Report(reader.LineOf("outage"), "outage",
                  fmt::format("unknown 'outage' policy '{}'", outage),
                  "remove it or use: refuse");
  }
}

void ParseLimits(ConfigReader& reader, ServiceConfig& service) {
  reader.Real("reuse_weight", {0, 1}, service.reuse_weight);
  auto body = static_cast<std::int64_t>(service.max_body_bytes);
  reader.Integer("max_body_bytes", {1, kMaxBodyBytes}, body);
  service.max_body_bytes = static_cast<std::uint64_t>(body);
  std::int64_t concurrency = service.max_concurrency;
  reader.Integer("max_concurrency", {0, kMaxConcurrency}, concurrency);
  service.max_concurrency = static_cast<std::uint32_t>(concurrency);
  std::int64_t deadline = service.deadline.count();
  reader.Integer("deadline_ms", {1, kMaxDeadlineMs}, deadline);
  service.deadline = std::chrono::milliseconds(deadline);
}

void CheckKind(ConfigReader& reader, const ServiceConfig& service) {
  if (service.kind == ServiceKind::kModel && !reader.Has("models")) {
    reader.Report(1, "models", "a model service has no 'models'",
                  "add models = [...] or set kind = \"plain\"");
  }
  if (service.kind != ServiceKind::kPlain) return;
  for (const std::string_view key : {"models", "adapters", "reuse_weight"}) {
    if (!reader.Has(key)) continue;
    reader.Report(reader.LineOf(key), key,
                  fmt::format("'{}' does not apply to a plain service", key),
                  "remove it or set kind = \"model\"");
  }
}

}  // namespace

void ServiceParser::Parse(const ConfigFile& file) {
  const auto table = ParseTomlFile(file, out_.problems);
  if (!table) return;
  ConfigReader reader(file.path, *table, out_.problems);
  ServiceConfig service;
  ParseIdentity(reader, file, service);
  ReadReferences(reader, "teams", "team", "[teams]", known_.teams,
                 service.teams);
  ReadReferences(reader, "models", "model", "[models]", known_.models,
                 service.models);
  ReadReferences(reader, "adapters", "adapter", "a model's 'adapters'",
                 known_.adapters, service.adapters);
  reader.Flag("urgent", service.urgent);
  reader.Flag("idempotent", service.idempotent);
  ParseOutage(reader);
  ParseLimits(reader, service);
  reader.Tables("routes", [&](const toml::table& route) {
    ParseRoute(file, route, service);
  });
  reader.Finish();
  CheckKind(reader, service);
  out_.snapshot.services.push_back(std::move(service));
}

void ServiceParser::ParseIdentity(ConfigReader& reader, const ConfigFile& file,
                                  ServiceConfig& service) {
  reader.Text("service", service.id.value);
  const std::uint32_t line = reader.LineOf("service");
  if (service.id.empty()) {
    reader.Report(1, "service", "'service' is missing",
                  "name the service: service = \"NAME\"");
  } else {
    CheckConfigName(reader, "service", {service.id.value, line});
  }
  const auto [it, inserted] = service_files_.emplace(service.id, file.path);
  if (!inserted && !service.id.empty()) {
    reader.Report(line, "service",
                  fmt::format("service '{}' is already in {}", service.id.value,
                              it->second),
                  "rename one of them");
  }
  std::string kind = "model";
  reader.Text("kind", kind);
  service.kind = kind == "plain" ? ServiceKind::kPlain : ServiceKind::kModel;
  if (kind != "plain" && kind != "model") {
    reader.Report(reader.LineOf("kind"), "kind",
                  fmt::format("unknown 'kind' '{}'", kind),
                  "use one of: model, plain");
  }
}

void ServiceParser::ParseRoute(const ConfigFile& file, const toml::table& table,
                               ServiceConfig& service) {
  ConfigReader reader(file.path, table, out_.problems);
  RouteRule rule;
  rule.idempotent = service.idempotent;
  rule.urgent = service.urgent;
  reader.Text("method", rule.method);
  const auto upper = [](char c) { return c >= 'A' && c <= 'Z'; };
  if (!std::all_of(rule.method.begin(), rule.method.end(), upper)) {
    reader.Report(reader.LineOf("method"), "method",
                  fmt::format("'{}' is not an HTTP method", rule.method),
                  "write it in capitals, such as POST");
  }
  rule.path_prefix = std::string(1, '/');
  reader.Text("path_prefix", rule.path_prefix);
  if (!rule.path_prefix.starts_with('/')) {
    reader.Report(reader.LineOf("path_prefix"), "path_prefix",
                  fmt::format("'path_prefix' '{}' does not begin with '/'",
                              rule.path_prefix),
                  "write it as a path below the service");
  }
  reader.Flag("idempotent", rule.idempotent);
  reader.Flag("urgent", rule.urgent);
  reader.Finish();
  service.routes.push_back(std::move(rule));
}

}  // namespace yuccapick
