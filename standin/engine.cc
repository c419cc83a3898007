#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "standin/answer_writer.h"
#include "standin/engine_model.h"
#include "standin/event_log.h"
#include "standin/kv_index.h"
#include "standin/role.h"
#include "standin/weight_loader.h"

namespace yuccapick::standin {
namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kDefaultTokens = 16;
constexpr std::chrono::milliseconds kEvictionInterval{250};
/// Reported if prefill takes no time, in tokens per second.
constexpr double kUnlimitedPrefillRate = 1e9;
constexpr std::string_view kStreamsPath = "/v1/streams/";

/// HTTP interface of a simulated model engine.
class Engine : public Role {
 public:
  explicit Engine(Context& context)
      : context_(context),
        loaded_(context.options.loaded),
        role_(context.options.engine_role),
        model_(context, [this](const GenerationPtr& it) { OnProgress(it); }),
        events_(context) {
    if (context.options.cache_idle.count() > 0) EvictIdle();
  }

  void Handle(const Request& request, ResponderPtr responder) override {
    try {
      Dispatch(request, responder);
    } catch (const nlohmann::json::exception& failure) {
      responder->SendJson(400, {{"error", failure.what()}});
    }
  }

  void Crash() override {
    writers_.clear();
    formats_.clear();
    imported_.Clear();
    model_.Crash();
    events_.Crash();
    highest_fence_ = 0;
    orders_.clear();
  }

 private:
  void Dispatch(const Request& request, const ResponderPtr& responder) {
    const std::string& path = request.path;
    if (path == "/v1/chat/completions") {
      return StartGeneration(request, true, responder);
    }
    if (path == "/v1/completions") {
      return StartGeneration(request, false, responder);
    }
    if (path.starts_with(kStreamsPath)) return HandleStream(request, responder);
    if (path == "/engine/load") return responder->SendJson(200, LoadJson());
    if (path == "/engine/events") {
      return events_.HandlePoll(request.QueryNumber("after", 0), responder);
    }
    if (path == "/engine/orders") return HandleOrder(request.Json(), responder);
    if (path == "/kv/export") return responder->SendJson(200, Json::object());
    if (path == "/kv/import") {
      imported_.Add(request.Json());
      return responder->SendJson(200, Json::object());
    }
    SendNotFound(request, responder);
  }

  // Answers.

  void StartGeneration(const Request& request, bool chat,
                       const ResponderPtr& responder) {
    const Json body = request.Json();
    const Weights* weights = FindLoaded(body);
    if (weights == nullptr) {
      return responder->SendJson(
          404, {{"error", "model not loaded: " + body.value("model", "")}});
    }
    AnswerFormat format{.id = request.HeaderValue("x-request-id"),
                        .model = body.value("model", ""),
                        .weights = weights->version,
                        .chat = chat,
                        .streamed = body.value("stream", false)};
    if (format.id.empty()) format.id = "request-" + std::to_string(++requests_);
    auto generation = MakeGeneration(format.id, *weights, body);
    formats_[format.id] = format;
    AttachWriter(generation, responder, generation->first_position);
    model_.Submit(generation);
  }

  GenerationPtr MakeGeneration(const std::string& id, const Weights& weights,
                               const Json& body) const {
    const std::string prompt = PromptText(body);
    const std::string continuation = body.value("continuation", "");
    auto generation = std::make_shared<Generation>();
    generation->id = id;
    generation->priority = body.value("priority", std::int64_t{0});
    generation->seed = AnswerSeed(weights.model, prompt);
    generation->blocks =
        model_.cache().Blocks(NumberField(body, "cache_salt"), prompt);
    generation->prompt_tokens = TokenCount(prompt) + TokenCount(continuation);
    generation->imported_tokens = imported_.LongestPrefixTokens(body);
    generation->first_token = TokenCount(continuation);
    generation->end_token = std::max(body.value("max_tokens", kDefaultTokens),
                                     generation->first_token);
    generation->first_position =
        body.value("first_position", generation->first_token);
    return generation;
  }

  /// Writes the answer to `responder`, starting at position `from`.
  void AttachWriter(const GenerationPtr& generation,
                    const ResponderPtr& responder, std::uint64_t from) {
    AnswerFormat format = formats_[generation->id];
    format.truncate_after = context_.faults.truncate_after;
    if (context_.faults.cross_answers) {
      const GenerationPtr other = model_.FindOther(format.id);
      format.id = other != nullptr ? other->id : format.id + "-crossed";
    }
    writers_.insert_or_assign(generation->id,
                              AnswerWriter(std::move(format), responder, from));
  }

  void OnProgress(const GenerationPtr& generation) {
    events_.Publish(model_.TakeEvents());
    auto it = writers_.find(generation->id);
    if (it != writers_.end() && !it->second.Update(*generation)) {
      writers_.erase(it);
    }
    PruneFormats();
  }

  /// Evicts idle blocks periodically.
  void EvictIdle() {
    model_.EvictIdle();
    events_.Publish(model_.TakeEvents());
    context_.After(kEvictionInterval, [this] { EvictIdle(); });
  }

  /// Removes the formats of answers that can no longer be resumed.
  void PruneFormats() {
    constexpr std::size_t kMinPruneThreshold = 4096;
    if (formats_.size() < prune_threshold_) return;
    std::erase_if(formats_, [this](const auto& entry) {
      return model_.Find(entry.first) == nullptr;
    });
    prune_threshold_ = std::max(kMinPruneThreshold, 2 * formats_.size());
  }

  void HandleStream(const Request& request, const ResponderPtr& responder) {
    const std::string rest = request.path.substr(kStreamsPath.size());
    const std::size_t slash = rest.rfind('/');
    const std::string id = rest.substr(0, slash);
    const GenerationPtr generation = model_.Find(id);
    if (slash == std::string::npos || generation == nullptr) {
      return SendNotFound(request, responder);
    }
    if (rest.substr(slash) == "/cancel") {
      model_.Cancel(id);
      return responder->SendJson(200, {{"cancelled", id}});
    }
    const std::uint64_t from =
        std::max(request.QueryNumber("from", 0), generation->first_position);
    AttachWriter(generation, responder, from);
    OnProgress(generation);
  }

  // Load and orders.

  const Weights* FindLoaded(const Json& body) const {
    const std::string name = body.value("model", "");
    const std::string adapter = body.value("adapter", "");
    for (const Weights& weights : loaded_) {
      const std::string full = weights.model + ":" + weights.adapter;
      const bool named = name == weights.model && adapter == weights.adapter;
      if (named || (name == full && !weights.adapter.empty())) return &weights;
    }
    return nullptr;
  }

  Json LoadJson() const {
    const EngineLoad load = model_.Load();
    const double rate = context_.options.prefill_tokens_per_second;
    Json loaded = Json::array();
    for (const Weights& weights : loaded_) {
      loaded.push_back({{"model", weights.model},
                        {"adapter", weights.adapter},
                        {"weights", weights.version}});
    }
    return {
        {"boot_id", events_.boot_id()},
        {"running", load.running},
        {"queued", load.queued},
        {"queued_prefill_tokens", load.queued_prefill_tokens},
        {"prefill_tokens_per_second", rate > 0 ? rate : kUnlimitedPrefillRate},
        {"decode_tokens_per_second", load.decode_tokens_per_second},
        {"cached_blocks", model_.cache().size()},
        {"capacity_blocks", model_.cache().options().capacity_blocks},
        {"role", role_},
        {"loaded", std::move(loaded)}};
  }

  void HandleOrder(const Json& order, const ResponderPtr& responder) {
    const auto fence = order.value("fence", std::uint64_t{0});
    const bool checks =
        context_.options.check_fence && !context_.faults.ignore_fence;
    if (checks && fence < highest_fence_) {
      return responder->SendJson(
          409, {{"error", "stale fence"}, {"highest_fence", highest_fence_}});
    }
    highest_fence_ = std::max(highest_fence_, fence);
    responder->SendJson(202, {{"id", order.value("id", "")}});
    if (orders_.insert(order.value("id", "")).second) ExecuteOrder(order);
  }

  void ExecuteOrder(const Json& order) {
    const std::string kind = order.value("kind", "");
    const Weights target{.model = order.value("model", ""),
                         .adapter = order.value("adapter", ""),
                         .version = order.value("weights", "")};
    if (kind == "set_role") role_ = order.value("role", role_);
    if (kind == "unload") Unload(target);
    if (kind != "load") return;
    LoadWeights(context_, target,
                [this, target, boot = events_.boot_id()](bool fetched) {
                  if (!fetched || boot != events_.boot_id()) return;
                  Unload(target);
                  loaded_.push_back(target);
                });
  }

  void Unload(const Weights& target) {
    std::erase_if(loaded_, [&target](const Weights& weights) {
      return weights.SameModel(target);
    });
  }

  Context& context_;
  std::vector<Weights> loaded_;
  std::string role_;
  EngineModel model_;
  EventLog events_;
  KvIndex imported_;
  std::map<std::string, AnswerWriter> writers_;
  std::map<std::string, AnswerFormat> formats_;
  std::set<std::string> orders_;
  std::uint64_t highest_fence_ = 0;
  std::uint64_t requests_ = 0;
  std::size_t prune_threshold_ = 0;
};

}  // namespace

std::unique_ptr<Role> MakeEngine(Context& context) {
  return std::make_unique<Engine>(context);
}

}  // namespace yuccapick::standin
