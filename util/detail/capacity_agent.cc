#include <fmt/format.h>

#include <variant>

#include "util/detail/capacity_meter.h"
#include "util/detail/capacity_samples.h"
#include "yuccapick/agent_core.h"
#include "yuccapick/engine_cache_tracker.h"
#include "yuccapick/operation_dedup.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kBlocksPerPrompt = 8;
constexpr std::size_t kBlocksPerEngine = 40'500;
// 1,550 events and 5 polls per second.
constexpr std::size_t kEventsPerPoll = 310;
constexpr std::uint64_t kHashStep = 0x9e3779b97f4a7c15ULL;
constexpr std::size_t kTokens = 400;
constexpr std::uint64_t kPieceBytes = 16'000;
constexpr std::uint32_t kPieceTokens = 4'000;
constexpr char kBootId[] = "boot-1";

TimePoint Start() { return TimePoint(std::chrono::hours(1)); }

/// Applies the events of an engine to a cache tracker, as an agent that polls
/// the engine does.
class SampleEvents {
 public:
  explicit SampleEvents(EngineCacheTracker& cache_tracker)
      : cache_tracker_(cache_tracker) {}

  /// Stores `blocks` more blocks, in prompts of `kBlocksPerPrompt` blocks.
  void Store(std::size_t blocks) {
    for (std::size_t i = 0; i < blocks; ++i) StoreNext();
    Flush();
  }

  /// Adds `events` events that alternately evict the oldest block and store a
  /// new one.
  void Replace(std::size_t events) {
    for (std::size_t i = 0; i < events / 2; ++i) {
      Add({CacheEvent::Kind::kEvicted, 0, BlockName(evicted_++), {}, 0});
      StoreNext();
    }
    Flush();
  }

 private:
  static std::string BlockName(std::size_t index) {
    return fmt::format("{:016x}", index);
  }

  void StoreNext() {
    const std::size_t prompt = stored_ / kBlocksPerPrompt;
    const std::size_t piece = stored_ % kBlocksPerPrompt;
    const AttemptId attempt(fmt::format("attempt-{}", prompt));
    if (piece == 0) AddAttempt(attempt, prompt);
    Add({CacheEvent::Kind::kStored, 0, BlockName(stored_++), attempt,
         static_cast<std::uint32_t>(piece + 1) * kPieceTokens});
  }

  void AddAttempt(const AttemptId& attempt, std::size_t prompt) {
    std::vector<std::uint64_t> chain;
    std::vector<std::uint64_t> end_bytes;
    for (std::size_t i = 0; i < kBlocksPerPrompt; ++i) {
      chain.push_back((prompt * kBlocksPerPrompt + i + 1) * kHashStep);
      end_bytes.push_back((i + 1) * kPieceBytes);
    }
    cache_tracker_.OnAttempt(attempt, std::move(chain), std::move(end_bytes),
                             Start());
  }

  void Add(CacheEvent event) {
    event.sequence = ++sequence_;
    events_.push_back(std::move(event));
    if (events_.size() == kEventsPerPoll) Flush();
  }

  void Flush() {
    cache_tracker_.Apply(kBootId, events_, Start());
    static_cast<void>(cache_tracker_.TakeDelta(Start(), kEventsPerPoll));
    events_.clear();
  }

  EngineCacheTracker& cache_tracker_;
  std::vector<CacheEvent> events_;
  std::uint64_t sequence_ = 0;
  std::size_t stored_ = 0;
  std::size_t evicted_ = 0;
};

double BlockMemory(std::size_t blocks) {
  const std::size_t before = HeapBytes();
  EngineCacheTracker cache_tracker;
  SampleEvents(cache_tracker).Store(blocks);
  return static_cast<double>(HeapBytes() - before);
}

/// Returns the processor time of events of an engine whose cache is full.
double EventCost(std::size_t events) {
  EngineCacheTracker cache_tracker;
  SampleEvents engine(cache_tracker);
  engine.Store(kBlocksPerEngine);
  return CpuNanoseconds([&] { engine.Replace(events); });
}

AttemptRequest PlainAttempt(std::size_t index) {
  AttemptRequest request;
  request.attempt = AttemptId(fmt::format("r1-{}", index));
  request.team = TeamId("team-1");
  request.service = ServiceId("bookings");
  request.agent_incarnation = Incarnation(1);
  request.config = ConfigVersion(1);
  request.key = IdempotencyKey(fmt::format("key-{}", index));
  request.fence = FencingToken(1);
  request.deadline = milliseconds(10'000);
  request.method = "POST";
  request.target = "/";
  request.body = "{}";
  return request;
}

double OperationDedupMemory(std::size_t operations) {
  const std::size_t before = HeapBytes();
  OperationDedup dedup;
  for (std::size_t i = 0; i < operations; ++i) {
    const AttemptRequest request = PlainAttempt(i);
    static_cast<void>(dedup.Accept(request, Start()));
    dedup.OnHead({request.attempt, 200, {}});
    dedup.OnChunk({request.attempt, 0, "{\"booked\":true}", ""});
    dedup.OnEnd({request.attempt, 1, {}});
  }
  return static_cast<double>(HeapBytes() - before);
}

/// An agent core with a live engine.
class SampleAgent {
 public:
  SampleAgent() : core_(Options()) {
    core_.Handle(ConfigChanged{SampleConfig(1)}, now_);
    core_.Handle(UpstreamPolled{kBootId, {}, SampleEngine(1).loaded}, now_);
  }

  /// Relays one streamed answer.
  void Relay(std::size_t index, std::size_t tokens) {
    now_ += milliseconds(1);
    AttemptRequest request;
    request.attempt = AttemptId(fmt::format("r1-{}", index));
    request.team = TeamId("team-00000");
    request.service = ServiceId("notes");
    request.kind = RequestKind::kChatCompletion;
    request.agent_incarnation = Incarnation(1);
    request.engine_incarnation = core_.Upstream().engine_incarnation;
    request.config = ConfigVersion(1);
    request.model = ModelId("fen-3b");
    request.weights = WeightVersion("w1");
    request.streamed = true;
    request.deadline = milliseconds(10'000);
    request.body = "{}";
    core_.Handle(AttemptArrived{request}, now_);
    core_.Handle(UpstreamHead{{request.attempt, 200, {}}}, now_);
    for (std::size_t i = 0; i < tokens; ++i) {
      core_.Handle(
          UpstreamChunk{{request.attempt, i,
                         R"({"choices":[{"index":0,"delta":{"content":"a"}}]})",
                         "a"}},
          now_);
    }
    core_.Handle(UpstreamEnd{{request.attempt, tokens, {100, 0, tokens}}},
                 now_);
  }

 private:
  static AgentCoreOptions Options() {
    AgentCoreOptions options;
    options.upstream = SampleEngine(1);
    return options;
  }

  TimePoint now_ = Start();
  AgentCore core_;
};

double AttemptCost(std::size_t attempts) {
  SampleAgent agent;
  std::size_t next = 0;
  return CpuNanoseconds([&] {
    for (std::size_t i = 0; i < attempts; ++i) agent.Relay(next++, 1);
  });
}

double TokenCost(std::size_t tokens) {
  SampleAgent agent;
  std::size_t next = 0;
  return CpuNanoseconds([&] {
    for (std::size_t done = 0; done < tokens; done += kTokens) {
      agent.Relay(next++, kTokens);
    }
  });
}

}  // namespace

std::vector<SlopeRow> MeasureAgent() {
  return {
      MeasureSlope("block_memory", "agent", "bytes/block",
                   {6'000, 12'000, 24'000, 48'000}, BlockMemory),
      MeasureCpuSlope("cache_event_cpu", "agent", "ns/event",
                      {8'000, 16'000, 32'000, 64'000}, EventCost),
      MeasureSlope("operation_memory", "agent", "bytes/operation",
                   {2'000, 4'000, 8'000, 16'000}, OperationDedupMemory),
      MeasureCpuSlope("attempt_cpu", "agent", "ns/attempt",
                      {1'000, 2'000, 4'000, 8'000}, AttemptCost),
      MeasureCpuSlope("token_cpu", "agent", "ns/token",
                      {20'000, 40'000, 80'000, 160'000}, TokenCost),
  };
}

}  // namespace yuccapick
