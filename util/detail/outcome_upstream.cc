#include "util/detail/outcome_upstream.h"

#include <utility>

namespace yuccapick::outcome {
namespace {

constexpr microseconds kMinExecutionTime{200};
constexpr microseconds kMaxExecutionTime{20'000};
constexpr microseconds kMinPartInterval{300};
constexpr microseconds kMaxPartInterval{8'000};
constexpr double kTruncateProbability = 0.15;

}  // namespace

InMemoryUpstream::InMemoryUpstream(Timeline& timeline, const FaultSet& faults,
                                   SimulatedCallers& callers, UpstreamKind kind,
                                   Notify notify)
    : timeline_(timeline),
      faults_(faults),
      callers_(callers),
      kind_(kind),
      notify_(std::move(notify)) {}

void InMemoryUpstream::Execute(const AttemptRequest& request) {
  if (!up_) {
    notify_(UpstreamFailed{request.attempt, false, "connection refused"});
    return;
  }
  running_[request.attempt] = boots_;
  const std::uint64_t boot = boots_;
  timeline_.After(timeline_.RandomBetween(kMinExecutionTime, kMaxExecutionTime),
                  [this, request, boot] {
                    if (boots_ != boot) return;
                    Answer(request,
                           callers_.OnExecuted(request.team, request.body));
                  });
}

void InMemoryUpstream::Answer(const AttemptRequest& request,
                              std::uint32_t executions) {
  const AttemptId& attempt = request.attempt;
  const bool is_model = kind_ == UpstreamKind::kModelEngine;
  const std::vector<std::string> parts =
      is_model ? ModelAnswer(request.body)
               : PlainAnswer(request.team, request.body, executions);
  const bool truncated = Has(faults_, Fault::kTruncate) &&
                         timeline_.RandomChance(kTruncateProbability);
  const std::size_t cut =
      truncated ? timeline_.RandomBelow(parts.size()) : parts.size();
  microseconds after{0};
  Emit(attempt, after, UpstreamHead{{attempt, 200, {}}}, false);
  for (std::size_t n = is_model ? request.resume_from : 0; n < cut; ++n) {
    after += timeline_.RandomBetween(kMinPartInterval, kMaxPartInterval);
    Emit(attempt, after,
         UpstreamChunk{{attempt, n, parts[n], is_model ? parts[n] : ""}},
         false);
  }
  after += timeline_.RandomBetween(kMinPartInterval, kMaxPartInterval);
  if (truncated) {
    Emit(attempt, after, UpstreamFailed{attempt, true, "broke off"}, true);
    return;
  }
  Emit(attempt, after, UpstreamEnd{{attempt, parts.size(), {}}}, true);
}

void InMemoryUpstream::Emit(const AttemptId& attempt, microseconds after,
                            AgentEvent event, bool last) {
  timeline_.After(after, [this, attempt, event = std::move(event), last] {
    if (!running_.contains(attempt)) return;
    if (last) running_.erase(attempt);
    notify_(event);
  });
}

void InMemoryUpstream::Crash(microseconds down_for) {
  up_ = false;
  ++boots_;
  const std::map<AttemptId, std::uint64_t> broken = std::exchange(running_, {});
  for (const auto& [attempt, boot] : broken) {
    notify_(UpstreamFailed{attempt, true, "connection reset"});
  }
  timeline_.After(down_for, [this] { up_ = true; });
}

}  // namespace yuccapick::outcome
