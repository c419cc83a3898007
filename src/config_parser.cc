#include "yuccapick/config_parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>

#include "config_reader.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxNamesInRemedy = 8;
constexpr std::size_t kSha256HexDigits = 64;
constexpr double kMaxTeamWeight = 1000;
constexpr std::int64_t kMaxReplicas = 10'000;
constexpr std::int64_t kMaxBodyBytes = 64 << 20;
constexpr std::int64_t kMaxConcurrency = 1'000'000;
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;

bool IsName(std::string_view text) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  };
  return !text.empty() && text.size() <= kMaxNameBytes && text.front() != '.' &&
         std::all_of(text.begin(), text.end(), allowed);
}

bool IsSha256(std::string_view text) {
  const auto hex = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  };
  return text.size() == kSha256HexDigits &&
         std::all_of(text.begin(), text.end(), hex);
}

void CheckName(ConfigReader& reader, std::string_view kind,
               const ConfigText& name) {
  if (IsName(name.value)) return;
  reader.Report(
      name.line, kind,
      fmt::format("'{}' is not a valid {} name", name.value, kind),
      fmt::format("use 1 to {} of a-z, 0-9, '-', '_' and '.'", kMaxNameBytes));
}

/// Names that other files can refer to.
template <typename Id>
using NameSet = std::set<Id>;

template <typename Id>
std::string UseOneOf(const NameSet<Id>& known) {
  if (known.empty()) return "";
  std::string out = " or use one of:";
  std::size_t listed = 0;
  for (const Id& id : known) {
    if (listed == kMaxNamesInRemedy) return fmt::format("{}, ...", out);
    out += fmt::format("{} {}", listed == 0 ? "" : ",", id.value);
    ++listed;
  }
  return out;
}

/// Names that the services' files can refer to.
struct KnownNames {
  NameSet<TeamId> teams;
  NameSet<ModelId> models;
  NameSet<AdapterId> adapters;
};

template <typename Id>
void ReadReferences(ConfigReader& reader, std::string_view key,
                    std::string_view kind, std::string_view place,
                    const NameSet<Id>& known, std::vector<Id>& out) {
  std::vector<ConfigText> names;
  reader.TextList(key, names);
  for (const ConfigText& name : names) {
    const Id id(name.value);
    if (!known.contains(id)) {
      reader.Report(
          name.line, key,
          fmt::format("unknown {} '{}' in '{}'", kind, name.value, key),
          fmt::format("add it under {}{}", place, UseOneOf(known)));
      continue;
    }
    if (std::find(out.begin(), out.end(), id) != out.end()) {
      reader.Report(
          name.line, key,
          fmt::format("'{}' is listed twice in '{}'", name.value, key),
          "remove one of them");
      continue;
    }
    out.push_back(id);
  }
  std::sort(out.begin(), out.end());
}

std::optional<toml::table> ParseFile(const ConfigFile& file,
                                     std::vector<ConfigProblem>& problems) {
  try {
    return toml::parse(file.text, file.path);
  } catch (const toml::parse_error& error) {
    problems.push_back({file.path, error.source().begin.line, "",
                        std::string(error.description()),
                        "correct the TOML syntax"});
    return std::nullopt;
  }
}

class DeploymentParser {
 public:
  DeploymentParser(const ConfigFile& file, ParsedConfig& out)
      : file_(file), out_(out) {}

  KnownNames Parse() {
    const auto table = ParseFile(file_, out_.problems);
    if (!table) return {};
    ConfigReader reader(file_.path, *table, out_.problems);
    reader.NamedTables("teams",
                       [this](const ConfigText& name, const toml::table& t) {
                         ParseTeam(name, t);
                       });
    reader.NamedTables("models",
                       [this](const ConfigText& name, const toml::table& t) {
                         ParseModel(name, t);
                       });
    if (!reader.Has("teams")) {
      reader.Report(1, "teams", "no team is defined",
                    "add a [teams.NAME] table with token_sha256");
    }
    reader.Finish();
    return std::move(known_);
  }

 private:
  void ParseTeam(const ConfigText& name, const toml::table& table) {
    ConfigReader reader(file_.path, table, out_.problems);
    CheckName(reader, "team", name);
    TeamConfig team;
    team.id = TeamId(name.value);
    ParseTokens(reader, name, team);
    reader.Real("weight", {0.001, kMaxTeamWeight}, team.weight);
    reader.Finish();
    known_.teams.insert(team.id);
    out_.snapshot.teams.push_back(std::move(team));
  }

  void ParseTokens(ConfigReader& reader, const ConfigText& name,
                   TeamConfig& team) {
    std::vector<ConfigText> tokens;
    reader.TextList("token_sha256", tokens);
    if (!reader.Has("token_sha256")) {
      reader.Report(name.line, "token_sha256",
                    fmt::format("team '{}' has no 'token_sha256'", name.value),
                    "add the SHA-256 of its bearer token: "
                    "printf %s TOKEN | sha256sum");
    }
    for (const ConfigText& token : tokens) {
      if (!IsSha256(token.value)) {
        reader.Report(token.line, "token_sha256",
                      "'token_sha256' contains a value that is not a SHA-256",
                      "give 64 lower-case hex digits, never the token itself");
      }
      const auto [it, inserted] = token_owners_.emplace(token.value, team.id);
      if (!inserted) {
        reader.Report(
            token.line, "token_sha256",
            fmt::format("team '{}' already has this token", it->second.value),
            "give each team its own token");
      }
      team.token_sha256.push_back(token.value);
    }
  }

  void ParseModel(const ConfigText& name, const toml::table& table) {
    ConfigReader reader(file_.path, table, out_.problems);
    CheckName(reader, "model", name);
    ModelConfig model;
    model.id = ModelId(name.value);
    reader.Text("weights", model.weights.value);
    if (!IsName(model.weights.value)) {
      reader.Report(
          reader.LineOf("weights"), "weights",
          fmt::format("model '{}' has no usable 'weights'", name.value),
          "name the weight version, such as weights = \"2026-11\"");
    }
    ParseAdapters(reader, model);
    std::int64_t replicas = model.min_replicas;
    reader.Integer("min_replicas", {0, kMaxReplicas}, replicas);
    model.min_replicas = static_cast<std::uint32_t>(replicas);
    reader.Finish();
    known_.models.insert(model.id);
    out_.snapshot.models.push_back(std::move(model));
  }

  void ParseAdapters(ConfigReader& reader, ModelConfig& model) {
    std::vector<ConfigText> adapters;
    reader.TextList("adapters", adapters);
    for (const ConfigText& adapter : adapters) {
      CheckName(reader, "adapter", adapter);
      model.adapters.emplace_back(adapter.value);
      known_.adapters.insert(AdapterId(adapter.value));
    }
    std::sort(model.adapters.begin(), model.adapters.end());
  }

  const ConfigFile& file_;
  ParsedConfig& out_;
  KnownNames known_;
  std::map<std::string, TeamId> token_owners_;  ///< By token hash.
};

class ServiceParser {
 public:
  ServiceParser(const KnownNames& known, ParsedConfig& out)
      : known_(known), out_(out) {}

  void Parse(const ConfigFile& file) {
    const auto table = ParseFile(file, out_.problems);
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

 private:
  void ParseIdentity(ConfigReader& reader, const ConfigFile& file,
                     ServiceConfig& service) {
    reader.Text("service", service.id.value);
    const std::uint32_t line = reader.LineOf("service");
    if (service.id.empty()) {
      reader.Report(1, "service", "'service' is missing",
                    "name the service: service = \"NAME\"");
    } else {
      CheckName(reader, "service", {service.id.value, line});
    }
    const auto [it, inserted] = service_files_.emplace(service.id, file.path);
    if (!inserted && !service.id.empty()) {
      reader.Report(line, "service",
                    fmt::format("service '{}' is already in {}",
                                service.id.value, it->second),
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

  static void ParseOutage(ConfigReader& reader) {
    std::string outage = "refuse";
    reader.Text("outage", outage);
    if (outage != "refuse") {
      reader.Report(reader.LineOf("outage"), "outage",
                    fmt::format("unknown 'outage' policy '{}'", outage),
                    "remove it or use: refuse");
    }
  }

  static void ParseLimits(ConfigReader& reader, ServiceConfig& service) {
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

  void ParseRoute(const ConfigFile& file, const toml::table& table,
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

  static void CheckKind(ConfigReader& reader, const ServiceConfig& service) {
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

  const KnownNames& known_;
  ParsedConfig& out_;
  std::map<ServiceId, std::string> service_files_;
};

bool IsFileNamed(const ConfigFile& file, std::string_view name) {
  return file.path == name || file.path.ends_with(fmt::format("/{}", name));
}

}  // namespace

std::string ToString(const ConfigProblem& problem) {
  return fmt::format("{}:{}: {}; {}", problem.file, problem.line,
                     problem.message, problem.remedy);
}

ParsedConfig ParseConfig(const std::vector<ConfigFile>& files) {
  ParsedConfig out;
  const auto deployment = std::find_if(
      files.begin(), files.end(),
      [](const ConfigFile& file) { return file.path == kDeploymentFile; });
  if (deployment == files.end()) {
    out.problems.push_back({std::string(kDeploymentFile), 1, "",
                            "the file is missing",
                            "add it with [teams.NAME] and [models.NAME]"});
    return out;
  }
  const KnownNames known = DeploymentParser(*deployment, out).Parse();
  ServiceParser services(known, out);
  for (const ConfigFile& file : files) {
    if (IsFileNamed(file, kServiceFile)) services.Parse(file);
  }
  std::sort(out.snapshot.services.begin(), out.snapshot.services.end(),
            [](const ServiceConfig& a, const ServiceConfig& b) {
              return a.id < b.id;
            });
  std::stable_sort(out.problems.begin(), out.problems.end(),
                   [](const ConfigProblem& a, const ConfigProblem& b) {
                     return std::tie(a.file, a.line) < std::tie(b.file, b.line);
                   });
  return out;
}

}  // namespace yuccapick
