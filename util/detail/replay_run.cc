#include "util/detail/replay_run.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <utility>

#include "yuccapick/engine_picture.h"

namespace yuccapick::replay {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kReportInterval{300};
constexpr milliseconds kEventDelay{1'000};
constexpr milliseconds kLinkBreakDetected{20};
constexpr milliseconds kEngineRestart{1'000};
constexpr milliseconds kFirstDigestDelay{10};
constexpr milliseconds kFirstDigestSpread{40};
constexpr microseconds kFirstDecodeStep{25'000};
constexpr double kUsualEventLoss = 0.02;
constexpr double kFaultyEventLoss = 0.5;
constexpr std::uint32_t kCrashedEngines[] = {0, 7};
constexpr TimePoint kOrigin{std::chrono::hours(1)};

/// The agent beside one engine.
struct Agent {
  EnginePicture picture;
  std::uint64_t event_sequence = 0;
  std::uint64_t report_sequence = 0;
};

struct Event {
  TimePoint when;
  std::uint64_t order = 0;
  std::function<void()> run;
};

struct Later {
  bool operator()(const Event& a, const Event& b) const {
    return std::pair(a.when, a.order) > std::pair(b.when, b.order);
  }
};

/// One replay.
class Run {
 public:
  Run(const Trace& trace, const std::string& policy, Fault fault,
      std::uint64_t seed)
      : trace_(trace),
        policy_(MakePolicy(policy, trace.deployment)),
        fault_(fault),
        random_(seed ^ 0x5eedULL),
        lives_(trace.deployment.engines, 1),
        agents_(trace.deployment.engines) {}

  std::vector<RequestResult> Execute();

 private:
  void Setup();
  void At(TimePoint when, std::function<void()> run);
  void Arrive(std::uint32_t request, std::uint32_t try_number);
  void Enqueue(std::uint32_t engine, const EngineJob& job, std::uint64_t life);
  void WatchPrefill(std::uint32_t engine);
  void EndPrefill(std::uint32_t engine);
  void EndDecode(std::uint32_t engine, const EngineJob& job);
  void CountTokens(std::uint32_t engine, const EngineJob& job);
  void SendEvents(std::uint32_t engine, const EngineJob& job,
                  std::vector<CacheEvent> events);
  void SampleReport(std::uint32_t engine);
  AgentReport MakeReport(std::uint32_t engine, bool full);
  void Deliver(std::uint32_t engine, const AgentReport& report);
  void CrashEngine(std::uint32_t engine);
  void RestartEngine(std::uint32_t engine);
  void AnnounceUpstream(std::uint32_t engine);
  void RestartRouters();
  microseconds Hop(std::uint32_t request, std::uint32_t engine) const;
  Query QueryOf(const EngineJob& job) const;
  Usage UsageOf(const EngineJob& job) const;
  double Uniform();

  const Trace& trace_;
  Policy policy_;
  Fault fault_;
  std::mt19937_64 random_;
  Fleet fleet_;
  std::vector<std::uint64_t> lives_;
  std::vector<Agent> agents_;
  std::vector<RequestResult> results_;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
  std::uint64_t order_ = 0;
  std::size_t answered_ = 0;
  TimePoint now_ = kOrigin;
  double event_loss_ = kUsualEventLoss;
};

double Run::Uniform() {
  return static_cast<double>(random_() >> 11) * 0x1.0p-53;
}

void Run::At(TimePoint when, std::function<void()> run) {
  events_.push({when, ++order_, std::move(run)});
}

void Run::Setup() {
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

std::vector<RequestResult> Run::Execute() {
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

Query Run::QueryOf(const EngineJob& job) const {
  const TraceRequest& request = trace_.requests[job.request];
  return {request.router, job.request,
          AttemptId(std::to_string(job.request) + "." +
                    std::to_string(job.try_number))};
}

Usage Run::UsageOf(const EngineJob& job) const {
  return {job.cached + job.missing, job.cached,
          trace_.requests[job.request].answer_tokens};
}

microseconds Run::Hop(std::uint32_t request, std::uint32_t engine) const {
  const Deployment& deployment = trace_.deployment;
  const std::uint32_t router = trace_.requests[request].router;
  const bool same_domain =
      router % deployment.domains == engine % deployment.domains;
  return same_domain ? microseconds(0) : deployment.domain_hop;
}

void Run::Arrive(std::uint32_t request, std::uint32_t try_number) {
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

void Run::Enqueue(std::uint32_t engine, const EngineJob& job,
                  std::uint64_t life) {
  const bool down = fleet_.infos[engine].life != UpstreamLife::kLive;
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

void Run::WatchPrefill(std::uint32_t engine) {
  const std::optional<TimePoint> ends = fleet_.engines[engine].PrefillEnds();
  if (!ends) return;
  At(*ends, [this, engine, ends] {
    if (fleet_.engines[engine].PrefillEnds() == ends) EndPrefill(engine);
  });
}

void Run::EndPrefill(std::uint32_t engine) {
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

void Run::CountTokens(std::uint32_t engine, const EngineJob& job) {
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

void Run::SendEvents(std::uint32_t engine, const EngineJob& job,
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

void Run::EndDecode(std::uint32_t engine, const EngineJob& job) {
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

AgentReport Run::MakeReport(std::uint32_t engine, bool full) {
  Agent& agent = agents_[engine];
  AgentReport report;
  report.upstream = fleet_.infos[engine];
  report.load = fleet_.engines[engine].Load(now_);
  report.digest_is_full = full;
  if (full) {
    report.digest = agent.picture.FullDigest(now_);
    return report;
  }
  report.sequence = ++agent.report_sequence;
  PictureDelta delta = agent.picture.TakeDelta(now_);
  report.digest = std::move(delta.added);
  report.evicted = std::move(delta.evicted);
  return report;
}

void Run::Deliver(std::uint32_t engine, const AgentReport& report) {
  for (std::uint32_t n = 0; n < trace_.deployment.routers; ++n) {
    std::visit([&](auto& policy) { policy.OnReport(n, engine, report, now_); },
               policy_);
  }
}

void Run::SampleReport(std::uint32_t engine) {
  if (fleet_.infos[engine].life == UpstreamLife::kLive) {
    const AgentReport report = MakeReport(engine, false);
    At(now_ + trace_.deployment.report_delay,
       [this, engine, report] { Deliver(engine, report); });
  }
  At(now_ + kReportInterval, [this, engine] { SampleReport(engine); });
}

void Run::AnnounceUpstream(std::uint32_t engine) {
  const UpstreamInfo& info = fleet_.infos[engine];
  std::visit([&](auto& policy) { policy.OnUpstream(engine, info, now_); },
             policy_);
}

void Run::CrashEngine(std::uint32_t engine) {
  ++lives_[engine];
  agents_[engine].picture.Clear();
  const std::vector<EngineJob> lost = fleet_.engines[engine].Crash();
  At(now_ + kLinkBreakDetected, [this, engine, lost] {
    fleet_.infos[engine].life = UpstreamLife::kSuspect;
    AnnounceUpstream(engine);
    for (const EngineJob& job : lost) {
      const Query query = QueryOf(job);
      std::visit(
          [&](auto& policy) { policy.OnFinished(query, std::nullopt, now_); },
          policy_);
      Arrive(job.request, job.try_number + 1);
    }
  });
  At(now_ + kEngineRestart, [this, engine] { RestartEngine(engine); });
}

void Run::RestartEngine(std::uint32_t engine) {
  UpstreamInfo& info = fleet_.infos[engine];
  info.life = UpstreamLife::kLive;
  info.engine_incarnation = Incarnation(lives_[engine]);
  AnnounceUpstream(engine);
}

void Run::RestartRouters() {
  std::visit([&](auto& policy) { policy.OnRoutersRestarted(fleet_, now_); },
             policy_);
  for (std::uint32_t n = 0; n < fleet_.engines.size(); ++n) {
    const auto delay =
        kFirstDigestDelay + kFirstDigestSpread * n / fleet_.engines.size();
    At(now_ + delay, [this, n] { Deliver(n, MakeReport(n, true)); });
  }
}

double Percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) return 0;
  const double position = share * static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(std::ceil(position))];
}

}  // namespace

const std::vector<std::string>& FaultNames() {
  static const auto* const kNames = new std::vector<std::string>{
      "none", "engine_crash", "events_lost", "routers_restarted"};
  return *kNames;
}

std::vector<RequestResult> Replay(const Trace& trace, const std::string& policy,
                                  Fault fault, std::uint64_t seed) {
  return Run(trace, policy, fault, seed).Execute();
}

Summary Summarise(const std::vector<RequestResult>& results, microseconds begin,
                  microseconds end) {
  Summary summary;
  std::vector<double> first_tokens;
  std::uint64_t prompt = 0;
  std::uint64_t cached = 0;
  std::uint64_t wasted = 0;
  for (const RequestResult& result : results) {
    if (result.arrival < begin || result.arrival >= end) continue;
    first_tokens.push_back(static_cast<double>(result.first_token.count()) /
                           1'000.0);
    prompt += result.prompt_tokens;
    cached += result.cached_tokens;
    wasted += result.wasted_tokens;
  }
  if (prompt == 0) return summary;
  std::sort(first_tokens.begin(), first_tokens.end());
  summary.hit_rate = static_cast<double>(cached) / static_cast<double>(prompt);
  summary.wasted_ratio =
      static_cast<double>(wasted) / static_cast<double>(prompt);
  summary.ttft_p50_ms = Percentile(first_tokens, 0.50);
  summary.ttft_p95_ms = Percentile(first_tokens, 0.95);
  summary.ttft_p99_ms = Percentile(first_tokens, 0.99);
  return summary;
}

}  // namespace yuccapick::replay
