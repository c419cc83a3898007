#include "util/detail/replay_world.h"

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

double ReplayWorld::Uniform() {
  return static_cast<double>(random_() >> 11) * 0x1.0p-53;
}

void ReplayWorld::At(TimePoint when, std::function<void()> run) {
  events_.push({when, ++order_, std::move(run)});
}

void ReplayWorld::Setup() {
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
    At(now_ + offset, [this, n] { SampleReport(n); });
  }
  for (std::uint32_t n = 0; n < trace_.requests.size(); ++n) {
    results_.push_back({trace_.requests[n].arrival});
    At(kOrigin + trace_.requests[n].arrival, [this, n] { Arrive(n, 0); });
  }
}

std::vector<RequestResult> ReplayWorld::Execute() {
  Setup();
  const TimePoint fault_at = kOrigin + kFaultAt;
  if (fault_ == Fault::kEngineCrash) {
    for (const std::uint32_t engine : kCrashedEngines) {
      At(fault_at, [this, engine] { CrashEngine(engine); });
    }
  }
  if (fault_ == Fault::kEventsLost) {
    At(fault_at, [this] { event_loss_ = kFaultyEventLoss; });
  }
  if (fault_ == Fault::kRoutersRestarted) {
    At(fault_at, [this] { RestartRouters(); });
  }
  while (!events_.empty() && answered_ < results_.size()) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.when;
    event.run();
  }
  return std::move(results_);
}

Query ReplayWorld::QueryOf(const EngineJob& job) const {
  const TraceRequest& request = trace_.requests[job.request];
  return {request.router, job.request,
          AttemptId(std::to_string(job.request) + "." +
                    std::to_string(job.try_number))};
}

Usage ReplayWorld::UsageOf(const EngineJob& job) const {
  return {job.cached + job.missing, job.cached,
          trace_.requests[job.request].answer_tokens};
}

microseconds ReplayWorld::Hop(std::uint32_t request,
                              std::uint32_t engine) const {
  const Deployment& deployment = trace_.deployment;
  const std::uint32_t router = trace_.requests[request].router;
  const bool same_domain =
      router % deployment.domains == engine % deployment.domains;
  return same_domain ? microseconds(0) : deployment.domain_hop;
}

void ReplayWorld::Arrive(std::uint32_t request, std::uint32_t try_number) {
  EngineJob job;
  job.request = request;
  job.try_number = try_number;
  job.urgent = trace_.requests[request].urgent;
  const Query query = QueryOf(job);
  const std::uint32_t engine = std::visit(
      [&](auto& policy) { return policy.Place(fleet_, query, now_); }, policy_);
  const std::uint64_t life = lives_[engine];
  At(now_ + Hop(request, engine),
     [this, engine, job, life] { Enqueue(engine, job, life); });
}

void ReplayWorld::Enqueue(std::uint32_t engine, const EngineJob& job,
                          std::uint64_t life) {
  const bool down = fleet_.infos[engine].state != UpstreamState::kLive;
  if (down || life != lives_[engine]) {
    const std::uint32_t next_try = job.try_number + 1;
    At(now_ + kLinkBreakDetected,
       [this, job, next_try] { Arrive(job.request, next_try); });
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
  agents_[engine].picture.OnAttempt(QueryOf(job).attempt, std::move(chain),
                                    std::move(end_bytes), now_);
  fleet_.engines[engine].Enqueue(job, now_);
  WatchPrefill(engine);
}

void ReplayWorld::WatchPrefill(std::uint32_t engine) {
  const std::optional<TimePoint> ends = fleet_.engines[engine].PrefillEnds();
  if (!ends) return;
  At(*ends, [this, engine, ends] {
    if (fleet_.engines[engine].PrefillEnds() == ends) EndPrefill(engine);
  });
}

void ReplayWorld::EndPrefill(std::uint32_t engine) {
  std::vector<CacheEvent> events;
  const EngineJob job = fleet_.engines[engine].FinishPrefill(now_, events);
  CountTokens(engine, job);
  ++answered_;
  const TimePoint first_token =
      now_ + kFirstDecodeStep + Hop(job.request, engine);
  results_[job.request].first_token =
      std::chrono::duration_cast<microseconds>(first_token - kOrigin) -
      trace_.requests[job.request].arrival + 2 * trace_.deployment.caller_hop;
  At(first_token, [this, job] {
    std::visit([&](auto& policy) { policy.OnFirstToken(QueryOf(job), now_); },
               policy_);
  });
  SendEvents(engine, job, std::move(events));
  const std::uint64_t life = lives_[engine];
  At(now_ + fleet_.engines[engine].DecodeTime(job), [this, engine, job, life] {
    if (life == lives_[engine]) EndDecode(engine, job);
  });
  WatchPrefill(engine);
}

void ReplayWorld::CountTokens(std::uint32_t engine, const EngineJob& job) {
  RequestResult& result = results_[job.request];
  result.prompt_tokens = job.cached + job.missing;
  result.cached_tokens = job.cached;
  const Document& document =
      trace_.documents[trace_.requests[job.request].document];
  for (std::size_t n = 0; n < document.pieces.size(); ++n) {
    if (PrefixTokens(document, n + 1) <= job.cached) continue;
    for (std::uint32_t other = 0; other < fleet_.engines.size(); ++other) {
      const PieceCache& cache = fleet_.engines[other].Cache();
      if (other == engine || !cache.Holds(document.pieces[n].chain_hash)) {
        continue;
      }
      result.wasted_tokens +=
          PrefixTokens(document, n + 1) - PrefixTokens(document, n);
      break;
    }
  }
}

void ReplayWorld::SendEvents(std::uint32_t engine, const EngineJob& job,
                             std::vector<CacheEvent> events) {
  const AttemptId attempt = QueryOf(job).attempt;
  std::vector<CacheEvent> kept;
  for (CacheEvent& event : events) {
    event.sequence = ++agents_[engine].event_sequence;
    if (event.kind == CacheEvent::Kind::kStored) event.attempt = attempt;
    if (Uniform() >= event_loss_) kept.push_back(event);
  }
  const std::uint64_t life = lives_[engine];
  At(now_ + kEventDelay, [this, engine, life, kept] {
    if (life != lives_[engine]) return;
    agents_[engine].picture.Apply(std::to_string(life), kept, now_);
  });
}

void ReplayWorld::EndDecode(std::uint32_t engine, const EngineJob& job) {
  fleet_.engines[engine].FinishDecode(job, now_);
  WatchPrefill(engine);
  const Query query = QueryOf(job);
  const Usage usage = UsageOf(job);
  agents_[engine].picture.OnUsage(query.attempt, usage, now_);
  At(now_ + Hop(job.request, engine), [this, query, usage] {
    std::visit([&](auto& policy) { policy.OnFinished(query, usage, now_); },
               policy_);
  });
}

}  // namespace yuccapick::replay
