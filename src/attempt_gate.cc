#include "yuccapick/attempt_gate.h"

#include <fmt/format.h>

#include <algorithm>

namespace yuccapick {
namespace {

constexpr std::size_t kRememberedAttempts = 1 << 16;
constexpr std::chrono::milliseconds kAtOnce{0};

Error Refuse(ErrorKind kind, std::string message) {
  return {kind, Execution::kNotRun, std::move(message), kAtOnce};
}

bool HasWeights(const AttemptRequest& request, const UpstreamInfo& upstream) {
  const LoadedModel wanted{request.model, request.adapter, request.weights};
  return std::find(upstream.loaded.begin(), upstream.loaded.end(), wanted) !=
         upstream.loaded.end();
}

}  // namespace

void AttemptGate::ObserveConfig(ConfigVersion version) {
  config_ = std::max(config_, version);
}

bool AttemptGate::Remember(const AttemptId& attempt) {
  if (!seen_.insert(attempt).second) return false;
  order_.push_back(attempt);
  if (order_.size() > kRememberedAttempts) {
    seen_.erase(order_.front());
    order_.pop_front();
  }
  return true;
}

std::optional<Error> AttemptGate::Check(const AttemptRequest& request,
                                        const UpstreamInfo& upstream) {
  if (request.agent_incarnation != upstream.agent_incarnation) {
    return Refuse(
        ErrorKind::kWrongIncarnation,
        fmt::format("{} runs as incarnation {}, not {}; decide again",
                    upstream.id.value, upstream.agent_incarnation.value,
                    request.agent_incarnation.value));
  }
  if (request.config < config_) {
    return Refuse(
        ErrorKind::kStaleConfig,
        fmt::format("configuration {} is in force at {}, not {}; "
                    "fetch it and decide again",
                    config_.value, upstream.id.value, request.config.value));
  }
  ObserveConfig(request.config);
  if (!Remember(request.attempt)) {
    return Refuse(ErrorKind::kConflict,
                  fmt::format("attempt {} arrived before; drop this copy",
                              request.attempt.value));
  }
  if (request.deadline.count() <= 0) {
    return Refuse(ErrorKind::kDeadlineExceeded,
                  "the deadline passed on the way; give more time");
  }
  if (upstream.life >= UpstreamLife::kLeaving) {
    return Refuse(
        ErrorKind::kDraining,
        fmt::format("{} is leaving; use another upstream", upstream.id.value));
  }
  const bool cache_relied_on = request.engine_incarnation.value != 0;
  if (cache_relied_on &&
      request.engine_incarnation != upstream.engine_incarnation) {
    return Refuse(
        ErrorKind::kWrongIncarnation,
        fmt::format("engine {} restarted; decide again", upstream.id.value));
  }
  if (request.kind != RequestKind::kPlain && !HasWeights(request, upstream)) {
    return Refuse(ErrorKind::kNoUpstream,
                  fmt::format("{} holds no weights {} of {}; use another one",
                              upstream.id.value, request.weights.value,
                              request.model.value));
  }
  return std::nullopt;
}

}  // namespace yuccapick
