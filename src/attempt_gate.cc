#include "yuccapick/attempt_gate.h"

#include <fmt/format.h>

#include <algorithm>

#include "yuccapick/prefix.h"

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
  if (!guards_.duplicate_attempt) return true;
  if (!seen_.insert(attempt).second) return false;
  order_.push_back(attempt);
  if (order_.size() > kRememberedAttempts) {
    seen_.erase(order_.front());
    order_.pop_front();
  }
  return true;
}

std::optional<Error> AttemptGate::CheckAddress(
    const AttemptRequest& request, const UpstreamInfo& upstream) const {
  const bool matches = request.agent_incarnation == upstream.agent_incarnation;
  if (matches || !guards_.agent_incarnation) return std::nullopt;
  return Refuse(ErrorKind::kWrongIncarnation,
                fmt::format("{} runs as incarnation {}, not {}; decide again",
                            upstream.id.value, upstream.agent_incarnation.value,
                            request.agent_incarnation.value));
}

std::optional<Error> AttemptGate::CheckUse(const AttemptRequest& request,
                                           const UpstreamInfo& upstream) {
  if (guards_.config_version && request.config < config_) {
    return Refuse(
        ErrorKind::kStaleConfig,
        fmt::format("configuration {} is in force at {}, not {}; "
                    "fetch it and decide again",
                    config_.value, upstream.id.value, request.config.value));
  }
  ObserveConfig(request.config);
  if (request.deadline.count() <= 0) {
    return Refuse(ErrorKind::kDeadlineExceeded,
                  "the deadline passed on the way; give more time");
  }
  if (guards_.draining_is_final && upstream.state >= UpstreamState::kLeaving) {
    return Refuse(
        ErrorKind::kDraining,
        fmt::format("{} is leaving; use another upstream", upstream.id.value));
  }
  if (request.kind == RequestKind::kPlain) return std::nullopt;
  return CheckCache(request, upstream);
}

std::optional<Error> AttemptGate::CheckCache(
    const AttemptRequest& request, const UpstreamInfo& upstream) const {
  const bool relies_on_cache = request.engine_incarnation.value != 0;
  const bool same_engine =
      request.engine_incarnation == upstream.engine_incarnation;
  if (guards_.engine_incarnation && relies_on_cache && !same_engine) {
    return Refuse(
        ErrorKind::kWrongIncarnation,
        fmt::format("engine {} restarted; decide again", upstream.id.value));
  }
  if (guards_.weights && !HasWeights(request, upstream)) {
    return Refuse(ErrorKind::kNoUpstream,
                  fmt::format("{} holds no weights {} of {}; use another one",
                              upstream.id.value, request.weights.value,
                              request.model.value));
  }
  const CacheScope scope{request.team, request.model, request.adapter,
                         request.weights};
  if (guards_.cache_scope && request.cache_salt != CacheSalt(scope)) {
    return Refuse(ErrorKind::kBadRequest,
                  fmt::format("the cache salt of attempt {} is of another team "
                              "or other weights; compute it from the request",
                              request.attempt.value));
  }
  return std::nullopt;
}

}  // namespace yuccapick
