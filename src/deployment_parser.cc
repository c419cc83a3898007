#include "deployment_parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace yuccapick {
namespace {

constexpr std::size_t kSha256HexDigits = 64;
constexpr double kMaxTeamWeight = 1000;
constexpr std::int64_t kMaxReplicas = 10'000;

bool IsSha256(std::string_view text) {
  const auto hex = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  };
  return text.size() == kSha256HexDigits &&
         std::all_of(text.begin(), text.end(), hex);
}

}  // namespace

KnownNames DeploymentParser::Parse() {
  const auto table = ParseTomlFile(file_, out_.problems);
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

void DeploymentParser::ParseTeam(const ConfigText& name,
                                 const toml::table& table) {
  ConfigReader reader(file_.path, table, out_.problems);
  CheckConfigName(reader, "team", name);
  TeamConfig team;
  team.id = TeamId(name.value);
  ParseTokens(reader, name, team);
  reader.Real("weight", {0.001, kMaxTeamWeight}, team.weight);
  reader.Finish();
  known_.teams.insert(team.id);
  out_.snapshot.teams.push_back(std::move(team));
}

void DeploymentParser::ParseTokens(ConfigReader& reader, const ConfigText& name,
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

void DeploymentParser::ParseModel(const ConfigText& name,
                                  const toml::table& table) {
  ConfigReader reader(file_.path, table, out_.problems);
  CheckConfigName(reader, "model", name);
  ModelConfig model;
  model.id = ModelId(name.value);
  reader.Text("weights", model.weights.value);
  if (!IsConfigName(model.weights.value)) {
    reader.Report(reader.LineOf("weights"), "weights",
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

void DeploymentParser::ParseAdapters(ConfigReader& reader, ModelConfig& model) {
  std::vector<ConfigText> adapters;
  reader.TextList("adapters", adapters);
  for (const ConfigText& adapter : adapters) {
    CheckConfigName(reader, "adapter", adapter);
    model.adapters.emplace_back(adapter.value);
    known_.adapters.insert(AdapterId(adapter.value));
  }
  std::sort(model.adapters.begin(), model.adapters.end());
}

}  // namespace yuccapick
