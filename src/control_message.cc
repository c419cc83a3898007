#include "yuccapick/control_message.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace yuccapick {
namespace {

using Json = nlohmann::json;

absl::Status Malformed(std::string_view what) {
  return absl::InvalidArgumentError(fmt::format(
      "malformed control message: {}; run the same version everywhere", what));
}

}  // namespace

std::string EncodeControl(const ControlMessage& message) {
  Json json{{"have", message.have.value}};
  if (message.bundle.head.version.value != 0) {
    json["head"] = SerialiseHead(message.bundle.head);
    json["contents"] = message.bundle.contents;
  }
  std::string bytes;
  Json::to_msgpack(json, bytes);
  return bytes;
}

absl::StatusOr<ControlMessage> DecodeControl(const std::string& bytes) {
  ControlMessage message;
  try {
    const Json json = Json::from_msgpack(bytes);
    message.have = ConfigVersion(json.at("have").get<std::uint64_t>());
    if (!json.contains("head")) return message;
    absl::StatusOr<ConfigHead> head = ParseHead(json.at("head"));
    if (!head.ok()) return head.status();
    message.bundle.head = *std::move(head);
    message.bundle.contents = json.at("contents").get<ConfigContents>();
    return message;
  } catch (const Json::exception& e) {
    return Malformed(e.what());
  }
}

}  // namespace yuccapick
