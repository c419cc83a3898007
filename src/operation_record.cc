#include "yuccapick/operation_record.h"

#include <fmt/format.h>
#include <openssl/sha.h>

#include <array>
#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"

namespace yuccapick {
namespace {

using Json = nlohmann::json;

constexpr std::array<const char*, 4> kStateNames{"claimed", "released", "done",
                                                 "unknown"};

/// Percent-encodes `/`, which separates the parts of a row key, and `%`.
std::string EscapePart(const std::string& part) {
  std::string escaped;
  for (const char c : part) {
    const bool special = c == '/' || c == '%';
    if (special) {
      escaped += fmt::format("%{:02x}", static_cast<unsigned char>(c));
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string ToBase64(const std::string& text) {
  return absl::Base64Escape(text);
}

std::string FromBase64(const std::string& text) {
  std::string bytes;
  absl::Base64Unescape(text, &bytes);
  return bytes;
}

Json AnswerToJson(const StoredAnswer& answer) {
  Json json{{"status", answer.status}, {"partial", answer.partial}};
  json["headers"] = Json::array();
  for (const Header& header : answer.headers) {
    json["headers"].push_back({ToBase64(header.name), ToBase64(header.value)});
  }
  json["parts"] = Json::array();
  for (const std::string& part : answer.parts) {
    json["parts"].push_back(ToBase64(part));
  }
  return json;
}

StoredAnswer AnswerFromJson(const Json& json) {
  StoredAnswer answer;
  answer.status = json.at("status");
  answer.partial = json.at("partial");
  answer.complete = true;
  for (const Json& header : json.at("headers")) {
    answer.headers.push_back(
        {FromBase64(header.at(0)), FromBase64(header.at(1))});
  }
  for (const Json& part : json.at("parts")) {
    answer.parts.push_back(FromBase64(part));
  }
  return answer;
}

OperationState StateFromName(const std::string& name) {
  for (std::size_t n = 0; n < kStateNames.size(); ++n) {
    if (name == kStateNames[n]) return static_cast<OperationState>(n);
  }
  return OperationState::kUnknown;
}

}  // namespace

std::string OperationStateName(OperationState state) {
  return kStateNames[static_cast<std::size_t>(state)];
}

std::string OperationRowKey(const OperationId& id) {
  return fmt::format("{}{}/{}/{}", kOperationPrefix, EscapePart(id.team.value),
                     EscapePart(id.service.value), EscapePart(id.key.value));
}

std::string EncodeOperation(const OperationRecord& record) {
  Json json{{"state", OperationStateName(record.state)},
            {"fence", record.fence.value},
            {"digest", record.digest},
            {"upstream", record.upstream.value},
            {"agent", record.agent_incarnation.value},
            {"writer", record.writer},
            {"epoch", record.epoch}};
  if (record.state == OperationState::kDone) {
    json["answer"] = AnswerToJson(record.answer);
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

absl::StatusOr<OperationRecord> DecodeOperation(const std::string& value) {
  try {
    const Json json = Json::parse(value);
    OperationRecord record;
    record.state = StateFromName(json.at("state"));
    record.fence = FencingToken(json.at("fence"));
    record.digest = json.at("digest");
    record.upstream = UpstreamId(json.at("upstream"));
    record.agent_incarnation = Incarnation(json.at("agent"));
    record.writer = json.at("writer");
    record.epoch = json.at("epoch");
    if (json.contains("answer")) record.answer = AnswerFromJson(json["answer"]);
    return record;
  } catch (const Json::exception& error) {
    return absl::DataLossError(
        fmt::format("malformed operation row ({}); check the table for rows "
                    "written by another program",
                    error.what()));
  }
}

std::string RequestDigest(const std::string& method, const std::string& target,
                          const std::string& body) {
  const std::string text =
      fmt::format("{}\n{}\n{}\n{}", method, target.size(), target, body);
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  std::string hex;
  for (const unsigned char byte : digest) hex += fmt::format("{:02x}", byte);
  return hex;
}

}  // namespace yuccapick
