#include "yuccapick/config_documents.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "yuccapick/sha256.h"

namespace yuccapick {
namespace {

using Json =
    nlohmann::json;  // Sorts objects by key, so the encoding is canonical.

constexpr std::uint32_t kTeamShards = 16;
constexpr std::string_view kModelsName = "models";
constexpr std::string_view kTeamsPrefix = "teams/";
constexpr std::string_view kServicesPrefix = "services/";

template <typename Id>
Json NamesToJson(const std::vector<Id>& ids) {
  Json out = Json::array();
  for (const Id& id : ids) out.push_back(id.value);
  return out;
}

template <typename Id>
std::vector<Id> NamesFromJson(const Json& json) {
  std::vector<Id> out;
  for (const Json& name : json) out.emplace_back(name.get<std::string>());
  return out;
}

Json ToJson(const TeamConfig& team) {
  return {{"id", team.id.value},
          {"token_sha256", team.token_sha256},
          {"weight", team.weight}};
}

TeamConfig TeamFromJson(const Json& json) {
  TeamConfig team;
  team.id = TeamId(json.at("id"));
  team.token_sha256 = json.at("token_sha256").get<std::vector<std::string>>();
  team.weight = json.at("weight");
  return team;
}

Json ToJson(const ModelConfig& model) {
  return {{"id", model.id.value},
          {"weights", model.weights.value},
          {"adapters", NamesToJson(model.adapters)},
          {"min_replicas", model.min_replicas}};
}

ModelConfig ModelFromJson(const Json& json) {
  ModelConfig model;
  model.id = ModelId(json.at("id"));
  model.weights = WeightVersion(json.at("weights"));
  model.adapters = NamesFromJson<AdapterId>(json.at("adapters"));
  model.min_replicas = json.at("min_replicas");
  return model;
}

Json ToJson(const RouteRule& rule) {
  return {{"method", rule.method},
          {"path_prefix", rule.path_prefix},
          {"idempotent", rule.idempotent},
          {"urgent", rule.urgent}};
}

RouteRule RouteFromJson(const Json& json) {
  RouteRule rule;
  rule.method = json.at("method");
  rule.path_prefix = json.at("path_prefix");
  rule.idempotent = json.at("idempotent");
  rule.urgent = json.at("urgent");
  return rule;
}

Json ToJson(const ServiceConfig& service) {
  Json routes = Json::array();
  for (const RouteRule& rule : service.routes) routes.push_back(ToJson(rule));
  const bool plain = service.kind == ServiceKind::kPlain;
  return {{"id", service.id.value},
          {"kind", plain ? "plain" : "model"},
          {"teams", NamesToJson(service.teams)},
          {"models", NamesToJson(service.models)},
          {"adapters", NamesToJson(service.adapters)},
          {"routes", std::move(routes)},
          {"urgent", service.urgent},
          {"idempotent", service.idempotent},
          {"reuse_weight", service.reuse_weight},
          {"max_body_bytes", service.max_body_bytes},
          {"max_concurrency", service.max_concurrency},
          {"deadline_ms", service.deadline.count()}};
}

ServiceConfig ServiceFromJson(const Json& json) {
  ServiceConfig service;
  service.id = ServiceId(json.at("id"));
  const bool plain = json.at("kind") == "plain";
  service.kind = plain ? ServiceKind::kPlain : ServiceKind::kModel;
  service.teams = NamesFromJson<TeamId>(json.at("teams"));
  service.models = NamesFromJson<ModelId>(json.at("models"));
  service.adapters = NamesFromJson<AdapterId>(json.at("adapters"));
  for (const Json& route : json.at("routes")) {
    service.routes.push_back(RouteFromJson(route));
  }
  service.urgent = json.at("urgent");
  service.idempotent = json.at("idempotent");
  service.reuse_weight = json.at("reuse_weight");
  service.max_body_bytes = json.at("max_body_bytes");
  service.max_concurrency = json.at("max_concurrency");
  service.deadline =
      std::chrono::milliseconds(json.at("deadline_ms").get<std::int64_t>());
  return service;
}

std::string TeamShard(const TeamId& id) {
  std::uint32_t sum = 0;
  for (const char c : id.value) sum = sum * 31 + static_cast<unsigned char>(c);
  return fmt::format("{}{}", kTeamsPrefix, sum % kTeamShards);
}

void Add(ConfigDocuments& out, std::string name, const Json& json) {
  std::string bytes = json.dump();
  std::string hash = Sha256Hex(bytes);
  out.index.emplace(std::move(name), hash);
  out.contents.emplace(std::move(hash), std::move(bytes));
}

void AddToSnapshot(std::string_view name, const Json& json,
                   ConfigSnapshot& out) {
  if (name == kModelsName) {
    for (const Json& model : json) out.models.push_back(ModelFromJson(model));
  } else if (name.starts_with(kTeamsPrefix)) {
    for (const Json& team : json) out.teams.push_back(TeamFromJson(team));
  } else if (name.starts_with(kServicesPrefix)) {
    out.services.push_back(ServiceFromJson(json));
  }
}

template <typename Entry>
void SortById(std::vector<Entry>& entries) {
  std::sort(entries.begin(), entries.end(),
            [](const Entry& a, const Entry& b) { return a.id < b.id; });
}

}  // namespace

ConfigDocuments ToDocuments(const ConfigSnapshot& snapshot) {
  ConfigDocuments out;
  Json models = Json::array();
  for (const ModelConfig& model : snapshot.models) {
    models.push_back(ToJson(model));
  }
  Add(out, std::string(kModelsName), models);
  std::map<std::string, Json> shards;
  for (const TeamConfig& team : snapshot.teams) {
    shards[TeamShard(team.id)].push_back(ToJson(team));
  }
  for (const auto& [name, teams] : shards) Add(out, name, teams);
  for (const ServiceConfig& service : snapshot.services) {
    Add(out, fmt::format("{}{}", kServicesPrefix, service.id.value),
        ToJson(service));
  }
  return out;
}

absl::StatusOr<ConfigSnapshot> FromDocuments(const ConfigIndex& index,
                                             const ConfigContents& contents) {
  ConfigSnapshot out;
  out.content_hash = Sha256Hex(SerialiseIndex(index));
  for (const auto& [name, hash] : index) {
    const auto it = contents.find(hash);
    if (it == contents.end()) {
      return absl::NotFoundError(fmt::format(
          "document {} ({}) is missing; fetch it first", name, hash));
    }
    try {
      AddToSnapshot(name, Json::parse(it->second), out);
    } catch (const Json::exception& e) {
      return absl::DataLossError(
          fmt::format("document {} ({}) cannot be parsed: {}; publish again",
                      name, hash, e.what()));
    }
  }
  SortById(out.teams);
  SortById(out.models);
  SortById(out.services);
  return out;
}

std::string SerialiseIndex(const ConfigIndex& index) {
  return Json(index).dump();
}

absl::StatusOr<ConfigIndex> ParseIndex(const std::string& bytes) {
  try {
    return Json::parse(bytes).get<ConfigIndex>();
  } catch (const Json::exception& e) {
    return absl::DataLossError(
        fmt::format("the index cannot be parsed: {}; publish again", e.what()));
  }
}

std::vector<ConfigChange> Diff(const ConfigIndex& from, const ConfigIndex& to) {
  std::vector<ConfigChange> out;
  for (const auto& [name, hash] : to) {
    const auto it = from.find(name);
    if (it == from.end() || it->second != hash) out.push_back({name, hash});
  }
  for (const auto& [name, hash] : from) {
    if (!to.contains(name)) out.push_back({name, ""});
  }
  std::sort(out.begin(), out.end(),
            [](const ConfigChange& a, const ConfigChange& b) {
              return a.name < b.name;
            });
  return out;
}

ConfigIndex Apply(ConfigIndex index, const std::vector<ConfigChange>& changes) {
  for (const ConfigChange& change : changes) {
    if (change.hash.empty()) {
      index.erase(change.name);
    } else {
      index[change.name] = change.hash;
    }
  }
  return index;
}

}  // namespace yuccapick
