#include "util/detail/replay_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace yuccapick::replay {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kEventDelay{1'000};
constexpr microseconds kFirstDecodeStep{25'000};
constexpr double kFaultyEventLoss = 0.5;
constexpr std::uint32_t kCrashedEngines[] = {0, 7};

}  // namespace

double ReplaySimulation::Uniform() {
  return static_cast<double>(random_() >> 11) * 0x1.0p-53;
}

void ReplaySimulation::Schedule(TimePoint when, std::function<void()> run) {
  events_.push({when, ++order_, std::move(run)});
}

void ReplaySimulation::Setup() {
  const Deployment& deployment = trace_.deployment;
  fleet_.trace = &trace_;
  for (std::uint32_t n = 0; n < deployment.engines; ++n) {
    fleet_.engines.emplace_back(trace_);
    UpstreamInfo info;
    info.id = UpstreamId("engine-" + std::to_string(n));
    info.domain =
        FailureDomain("domain-" + std::to_string(n % deployment.domains));
    info.agent_incarnation = Incarnation(1);
    info.engine_incarnation = Incarnation(1);
    info.loaded = {{ModelId("moor-8b"), AdapterId(), WeightVersion("w1")}};
    fleet_.infos.push_back(info);
    AnnounceUpstream(n);
    const auto offset = kReportInterval * n / deployment.engines;
    Schedule(now_ + offset, [this, n] { SendReport(n); });
  }
  for (std::uint32_t n = 0; n < trace_.requests.size(); ++n) {
    results_.push_back({trace_.requests[n].arrival});
    Schedule(kSimulationStart + trace_.requests[n].arrival,
             [this, n] { PlaceRequest(n, 0); });
  }
}

std::vector<RequestResult> ReplaySimulation::Run() {
  Setup();
  const TimePoint fault_at = kSimulationStart + kFaultTime;
  if (fault_ == Fault::kEngineCrash) {
    for (const std::uint32_t engine : kCrashedEngines) {
      Schedule(fault_at, [this, engine] { CrashEngine(engine); });
    }
  }
  if (fault_ == Fault::kEventsLost) {
    Schedule(fault_at, [this] { event_loss_ = kFaultyEventLoss; });
  }
  if (fault_ == Fault::kRoutersRestarted) {
    Schedule(fault_at, [this] { RestartRouters(); });
  }
  while (!events_.empty() && answered_ < results_.size()) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.when;
    event.run();
  }
  return std::move(results_);
}

PlacementQuery ReplaySimulation::QueryOf(const EngineJob& job) const {
  const TraceRequest& request = trace_.requests[job.request];
  return {request.router, job.request,
          AttemptId(std::to_string(job.request) + "." +
                    std::to_string(job.attempt_number))};
}

Usage ReplaySimulation::UsageOf(const EngineJob& job) const {
  return {job.cached + job.missing, job.cached,
          trace_.requests[job.request].answer_tokens};
}

microseconds ReplaySimulation::NetworkDelay(std::uint32_t request,
                                            std::uint32_t engine) const {
  const Deployment& deployment = trace_.deployment;
  const std::uint32_t router = trace_.requests[request].router;
  const bool same_domain =
      router % deployment.domains == engine % deployment.domains;
  return same_domain ? microseconds(0) : deployment.cross_domain_delay;
}

void ReplaySimulation::PlaceRequest(std::uint32_t request,
                                    std::uint32_t attempt_number) {
  EngineJob job;
  job.request = request;
  job.attempt_number = attempt_number;
  job.urgent = trace_.requests[request].urgent;
  const PlacementQuery query = QueryOf(job);
  const std::uint32_t engine = std::visit(
      [&](auto& policy) { return policy.Place(fleet_, query, now_); }, policy_);
  const std::uint64_t incarnation = engine_incarnations_[engine];
  Schedule(
      now_ + NetworkDelay(request, engine),
      [this, engine, job, incarnation] { Enqueue(engine, job, incarnation); });
}

void ReplaySimulation::Enqueue(std::uint32_t engine, const EngineJob& job,
                               std::uint64_t incarnation) {
  const bool down = fleet_.infos[engine].state != UpstreamState::kLive;
  if (down || incarnation != engine_incarnations_[engine]) {
    const std::uint32_t next_attempt = job.attempt_number + 1;
    Schedule(now_ + kLinkFailureDetectionDelay, [this, job, next_attempt] {
      PlaceRequest(job.request, next_attempt);
    });
    return;
  }
  const Document& document =
      trace_.documents[trace_.requests[job.request].document];
  std::vector<std::uint64_t> chain;
  std::vector<std::uint64_t> end_bytes;
  for (const PrefixPiece& piece : document.pieces) {
    chain.push_back(piece.chain_hash);
    end_bytes.push_back(piece.end_byte);
  }
  agents_[engine].cache_tracker.OnAttempt(
      QueryOf(job).attempt, std::move(chain), std::move(end_bytes), now_);
  fleet_.engines[engine].Enqueue(job, now_);
  SchedulePrefillEnd(engine);
}

void ReplaySimulation::SchedulePrefillEnd(std::uint32_t engine) {
  const std::optional<TimePoint> ends = fleet_.engines[engine].PrefillEnds();
  if (!ends) return;
  Schedule(*ends, [this, engine, ends] {
    if (fleet_.engines[engine].PrefillEnds() == ends) OnPrefillFinished(engine);
  });
}

void ReplaySimulation::OnPrefillFinished(std::uint32_t engine) {
  std::vector<CacheEvent> events;
  const EngineJob job = fleet_.engines[engine].FinishPrefill(now_, events);
  CountTokens(engine, job);
  ++answered_;
  const TimePoint first_token =
      now_ + kFirstDecodeStep + NetworkDelay(job.request, engine);
  results_[job.request].first_token =
      std::chrono::duration_cast<microseconds>(first_token - kSimulationStart) -
      trace_.requests[job.request].arrival + 2 * trace_.deployment.caller_delay;
  Schedule(first_token, [this, job] {
    std::visit([&](auto& policy) { policy.OnFirstToken(QueryOf(job), now_); },
               policy_);
  });
  SendEvents(engine, job, std::move(events));
  const std::uint64_t incarnation = engine_incarnations_[engine];
  Schedule(now_ + fleet_.engines[engine].DecodeTime(job),
           [this, engine, job, incarnation] {
             if (incarnation == engine_incarnations_[engine]) {
               OnDecodeFinished(engine, job);
             }
           });
  SchedulePrefillEnd(engine);
}

void ReplaySimulation::CountTokens(std::uint32_t engine, const EngineJob& job) {
  RequestResult& result = results_[job.request];
  result.prompt_tokens = job.cached + job.missing;
  result.cached_tokens = job.cached;
  const Document& document =
      trace_.documents[trace_.requests[job.request].document];
  for (std::size_t n = 0; n < document.pieces.size(); ++n) {
    if (PrefixTokens(document, n + 1) <= job.cached) continue;
    for (std::uint32_t other = 0; other < fleet_.engines.size(); ++other) {
      const PieceCache& cache = fleet_.engines[other].Cache();
      if (other == engine || !cache.Contains(document.pieces[n].chain_hash)) {
        continue;
      }
      result.wasted_tokens +=
          PrefixTokens(document, n + 1) - PrefixTokens(document, n);
      break;
    }
  }
}

void ReplaySimulation::SendEvents(std::uint32_t engine, const EngineJob& job,
                                  std::vector<CacheEvent> events) {
  const AttemptId attempt = QueryOf(job).attempt;
  std::vector<CacheEvent> kept;
  for (CacheEvent& event : events) {
    event.sequence = ++agents_[engine].event_sequence;
    if (event.kind == CacheEvent::Kind::kStored) event.attempt = attempt;
    if (Uniform() >= event_loss_) kept.push_back(event);
  }
  const std::uint64_t incarnation = engine_incarnations_[engine];
  Schedule(now_ + kEventDelay, [this, engine, incarnation, kept] {
    if (incarnation != engine_incarnations_[engine]) return;
    agents_[engine].cache_tracker.Apply(std::to_string(incarnation), kept,
                                        now_);
  });
}

void ReplaySimulation::OnDecodeFinished(std::uint32_t engine,
                                        const EngineJob& job) {
  fleet_.engines[engine].FinishDecode(job, now_);
  SchedulePrefillEnd(engine);
  const PlacementQuery query = QueryOf(job);
  const Usage usage = UsageOf(job);
  agents_[engine].cache_tracker.OnUsage(query.attempt, usage, now_);
  Schedule(now_ + NetworkDelay(job.request, engine), [this, query, usage] {
    std::visit([&](auto& policy) { policy.OnFinished(query, usage, now_); },
               policy_);
  });
}

}  // namespace yuccapick::replay
