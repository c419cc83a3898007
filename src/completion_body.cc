#include "yuccapick/completion_body.h"

#include <nlohmann/json.hpp>

#include "yuccapick/error_messages.h"

namespace yuccapick {
namespace {

using Json = nlohmann::json;

absl::Status InvalidArgument(std::string_view text) {
  return absl::InvalidArgumentError(std::string(text));
}

/// Reads an optional string field.
absl::Status ReadString(const Json& json, const char* name,
                        std::string& value) {
  const auto it = json.find(name);
  if (it == json.end() || it->is_null()) return absl::OkStatus();
  if (!it->is_string()) {
    return InvalidArgument(error_messages::FieldNotText(name));
  }
  value = it->get<std::string>();
  return absl::OkStatus();
}

/// Adds the text parts of one message as levels; `prefix` goes before the
/// first.
absl::Status AddParts(const Json& parts, std::string prefix,
                      std::vector<std::string>& levels) {
  for (const Json& part : parts) {
    if (!part.is_object()) {
      return InvalidArgument(error_messages::kContentNotText);
    }
    std::string text;
    if (absl::Status status = ReadString(part, "text", text); !status.ok()) {
      return status;
    }
    levels.push_back(std::move(prefix) + text);
    prefix.clear();
  }
  return absl::OkStatus();
}

absl::Status AddMessage(const Json& message, std::vector<std::string>& levels) {
  if (!message.is_object()) {
    return InvalidArgument(error_messages::kMessageNotObject);
  }
  std::string role;
  if (absl::Status status = ReadString(message, "role", role); !status.ok()) {
    return status;
  }
  if (role.empty()) return InvalidArgument(error_messages::kRoleMissing);
  const auto content = message.find("content");
  std::string prefix = role + "\n";
  if (content == message.end() || content->is_null()) {
    levels.push_back(std::move(prefix));
    return absl::OkStatus();
  }
  if (content->is_array()) {
    return AddParts(*content, std::move(prefix), levels);
  }
  if (!content->is_string()) {
    return InvalidArgument(error_messages::kContentNotText);
  }
  levels.push_back(std::move(prefix) + content->get_ref<const std::string&>());
  return absl::OkStatus();
}

absl::Status ReadMessages(const Json& json, std::vector<std::string>& levels) {
  const auto messages = json.find("messages");
  if (messages == json.end() || !messages->is_array() || messages->empty()) {
    return InvalidArgument(error_messages::kMessagesMissing);
  }
  for (const Json& message : *messages) {
    if (absl::Status status = AddMessage(message, levels); !status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

absl::Status ReadPrompt(const Json& json, std::vector<std::string>& levels) {
  std::string prompt;
  if (absl::Status status = ReadString(json, "prompt", prompt); !status.ok()) {
    return status;
  }
  if (prompt.empty()) return InvalidArgument(error_messages::kPromptMissing);
  levels.push_back(std::move(prompt));
  return absl::OkStatus();
}

absl::Status ReadStreamed(const Json& json, bool& streamed) {
  const auto stream = json.find("stream");
  if (stream == json.end() || stream->is_null()) return absl::OkStatus();
  if (!stream->is_boolean()) {
    return InvalidArgument(error_messages::kStreamNotBoolean);
  }
  streamed = stream->get<bool>();
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<CompletionBody> ParseCompletionBody(RequestKind kind,
                                                   std::string_view body) {
  const Json json = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (json.is_discarded() || !json.is_object()) {
    return InvalidArgument(error_messages::kBodyNotJson);
  }
  CompletionBody parsed;
  if (absl::Status status = ReadString(json, "model", parsed.model);
      !status.ok()) {
    return status;
  }
  if (parsed.model.empty()) {
    return InvalidArgument(error_messages::kModelMissing);
  }
  if (absl::Status status = ReadString(json, "adapter", parsed.adapter);
      !status.ok()) {
    return status;
  }
  if (absl::Status status = ReadStreamed(json, parsed.streamed); !status.ok()) {
    return status;
  }
  absl::Status status = kind == RequestKind::kChatCompletion
                            ? ReadMessages(json, parsed.levels)
                            : ReadPrompt(json, parsed.levels);
  if (!status.ok()) return status;
  return parsed;
}

}  // namespace yuccapick
