#include "yuccapick/config_head.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace yuccapick {
namespace {

using Json = nlohmann::json;

Json ToJson(const ConfigChange& change) {
  return {{"name", change.name}, {"hash", change.hash}};
}

ConfigHead HeadFromJson(const Json& json) {
  ConfigHead head;
  head.version = ConfigVersion(json.at("version").get<std::uint64_t>());
  head.index_hash = json.at("index");
  head.base_hash = json.at("base");
  for (const Json& change : json.at("changes")) {
    head.changes.push_back({change.at("name"), change.at("hash")});
  }
  head.publish_id = json.at("publish_id");
  head.operator_name = json.at("operator");
  head.published_at =
      std::chrono::milliseconds(json.at("published_at_ms").get<std::int64_t>());
  head.restored = ConfigVersion(json.at("restored").get<std::uint64_t>());
  return head;
}

}  // namespace

std::string SerialiseHead(const ConfigHead& head) {
  Json changes = Json::array();
  for (const ConfigChange& change : head.changes) {
    changes.push_back(ToJson(change));
  }
  const Json json{{"version", head.version.value},
                  {"index", head.index_hash},
                  {"base", head.base_hash},
                  {"changes", std::move(changes)},
                  {"publish_id", head.publish_id},
                  {"operator", head.operator_name},
                  {"published_at_ms", head.published_at.count()},
                  {"restored", head.restored.value}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<ConfigHead> ParseHead(const std::string& bytes) {
  try {
    return HeadFromJson(Json::parse(bytes));
  } catch (const Json::exception& e) {
    return absl::DataLossError(fmt::format(
        "the head row cannot be parsed: {}; publish again", e.what()));
  }
}

std::string ConfigHistoryKey(ConfigVersion version) {
  return fmt::format("{}{:020}", kConfigHistoryPrefix, version.value);
}

std::string Describe(const ConfigHead& head) {
  return fmt::format(
      "version {} by {}", head.version.value,
      head.operator_name.empty() ? "an unnamed operator" : head.operator_name);
}

}  // namespace yuccapick
