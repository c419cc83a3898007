#include "yuccapick/engine_protocol.h"

#include <fmt/format.h>

#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace yuccapick {
namespace {

using Json = nlohmann::json;

constexpr int kUrgentPriority = 0;
constexpr int kNormalPriority = 1;

absl::Status Malformed(std::string_view what, const std::exception& e) {
  return absl::InvalidArgumentError(
      fmt::format("malformed {} ({}); check that the upstream implements "
                  "the model engine API",
                  what, e.what()));
}

/// Runs `read` and converts exceptions of the JSON library into a status.
template <typename Result, typename Read>
absl::StatusOr<Result> CatchExceptions(std::string_view what, Read read) {
  try {
    return read();
  } catch (const std::exception& e) {
    return Malformed(what, e);
  }
}

std::optional<Usage> ReadUsage(const Json& json) {
  const auto it = json.find("usage");
  if (it == json.end() || !it->is_object()) return std::nullopt;
  Usage usage;
  usage.prompt_tokens = it->value("prompt_tokens", std::uint64_t{0});
  usage.completion_tokens = it->value("completion_tokens", std::uint64_t{0});
  const auto details = it->find("prompt_tokens_details");
  if (details != it->end() && details->is_object()) {
    usage.cached_tokens = details->value("cached_tokens", std::uint64_t{0});
  }
  return usage;
}

std::string StringField(const Json& json, const char* name) {
  const auto it = json.find(name);
  return it != json.end() && it->is_string() ? it->get<std::string>() : "";
}

std::string ReadText(const Json& json) {
  const auto choices = json.find("choices");
  if (choices == json.end() || choices->empty()) return {};
  const Json& choice = choices->at(0);
  for (const char* field : {"delta", "message"}) {
    const auto it = choice.find(field);
    if (it != choice.end()) return StringField(*it, "content");
  }
  return StringField(choice, "text");
}

std::optional<CacheEvent> ReadCacheEvent(const Json& json) {
  CacheEvent event;
  const std::string kind = json.value("kind", "");
  if (kind == "stored") {
    event.kind = CacheEvent::Kind::kStored;
  } else if (kind == "evicted") {
    event.kind = CacheEvent::Kind::kEvicted;
  } else if (kind == "cleared") {
    event.kind = CacheEvent::Kind::kCleared;
  } else {
    return std::nullopt;
  }
  event.sequence = json.value("sequence", std::uint64_t{0});
  event.block = StringField(json, "block");
  event.attempt = AttemptId(StringField(json, "request"));
  event.end_token = json.value("end_token", std::uint32_t{0});
  return event;
}

std::string OrderKindName(EngineOrder::Kind kind) {
  if (kind == EngineOrder::Kind::kLoad) return "load";
  if (kind == EngineOrder::Kind::kUnload) return "unload";
  return "set_role";
}

}  // namespace

absl::StatusOr<std::string> EngineRequestBody(const AttemptRequest& request) {
  return CatchExceptions<std::string>("request body", [&request] {
    Json body = Json::parse(request.body);
    body["model"] = request.model.value;
    if (!request.adapter.empty()) body["adapter"] = request.adapter.value;
    body["stream"] = request.streamed;
    body["cache_salt"] = std::to_string(request.cache_salt);
    body["priority"] = request.urgent ? kUrgentPriority : kNormalPriority;
    body.erase("continuation");
    body.erase("first_position");
    if (!request.continuation.empty()) {
      body["continuation"] = request.continuation;
      body["first_position"] = request.resume_from;
    }
    return body.dump();
  });
}

absl::StatusOr<EngineAnswer> ParseEngineAnswer(std::string_view json) {
  return CatchExceptions<EngineAnswer>("answer", [json] {
    const Json body = Json::parse(json);
    EngineAnswer answer;
    answer.id = body.at("id").get<std::string>();
    const auto position = body.find("position");
    if (position != body.end()) {
      if (!position->is_number_unsigned()) {
        throw std::invalid_argument("position is not an unsigned integer");
      }
      answer.position = position->get<std::uint64_t>();
    }
    answer.text = ReadText(body);
    answer.usage = ReadUsage(body);
    return answer;
  });
}

absl::StatusOr<UpstreamPolled> ParseEngineLoad(std::string_view json) {
  return CatchExceptions<UpstreamPolled>("load report", [json] {
    const Json body = Json::parse(json);
    UpstreamPolled polled;
    polled.boot_id = body.at("boot_id").get<std::string>();
    LoadReport& load = polled.load;
    load.running = body.value("running", std::uint32_t{0});
    load.queued = body.value("queued", std::uint32_t{0});
    load.queued_prefill_tokens =
        body.value("queued_prefill_tokens", std::uint64_t{0});
    load.prefill_tokens_per_second =
        body.value("prefill_tokens_per_second", 0.0);
    load.decode_tokens_per_second = body.value("decode_tokens_per_second", 0.0);
    load.cached_blocks = body.value("cached_blocks", std::uint64_t{0});
    load.capacity_blocks = body.value("capacity_blocks", std::uint64_t{0});
    for (const Json& it : body.value("loaded", Json::array())) {
      polled.loaded.push_back({ModelId(StringField(it, "model")),
                               AdapterId(StringField(it, "adapter")),
                               WeightVersion(StringField(it, "weights"))});
    }
    return polled;
  });
}

absl::StatusOr<EngineEvents> ParseEngineEvents(std::string_view json) {
  return CatchExceptions<EngineEvents>("cache events", [json] {
    const Json body = Json::parse(json);
    EngineEvents result;
    result.boot_id = body.at("boot_id").get<std::string>();
    result.next_sequence = body.at("next").get<std::uint64_t>();
    for (const Json& it : body.at("events")) {
      if (auto event = ReadCacheEvent(it)) {
        result.events.push_back(*std::move(event));
      }
    }
    return result;
  });
}

std::string EngineOrderBody(const EngineOrder& order) {
  const Json body = {{"id", order.id},
                     {"fence", order.fence.value},
                     {"kind", OrderKindName(order.kind)},
                     {"model", order.target.model.value},
                     {"adapter", order.target.adapter.value},
                     {"weights", order.target.weights.value},
                     {"role", order.role}};
  return body.dump();
}

}  // namespace yuccapick
