#ifndef YUCCAPICK_STANDIN_ENGINE_MODEL_H_
#define YUCCAPICK_STANDIN_ENGINE_MODEL_H_

/// @file
/// Timing model of an engine: serial prefill by priority, then batched
/// decoding.

#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "standin/prefix_cache.h"
#include "standin/role.h"

namespace yuccapick::standin {

/// Generation of the answer to one request.
struct Generation {
  enum class State { kQueued, kDecoding, kFinished, kCancelled };

  std::string id;
  std::int64_t priority = 0;  ///< Lower values first.
  std::uint64_t seed = 0;     ///< Of the answer's text.
  std::vector<std::uint64_t> blocks;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t imported_tokens = 0;  ///< Prompt tokens imported as KV cache.
  std::uint64_t first_token = 0;      ///< Answer tokens in the continuation.
  std::uint64_t end_token = 0;        ///< Tokens of the complete answer.
  std::uint64_t first_position = 0;

  State state = State::kQueued;
  std::uint64_t next_token = 0;     ///< End of the tokens generated so far.
  std::uint64_t cached_tokens = 0;  ///< Set when prefill begins.
  Clock::time_point finished_at;
};

using GenerationPtr = std::shared_ptr<Generation>;

/// Load of an engine.
struct EngineLoad {
  std::size_t running = 0;
  std::size_t queued = 0;
  std::uint64_t queued_prefill_tokens = 0;
  double decode_tokens_per_second = 0;
};

/// Runs generations and reports their progress through a callback.
class EngineModel {
 public:
  using ProgressCallback = std::function<void(const GenerationPtr&)>;

  EngineModel(Context& context, ProgressCallback on_progress);

  // Commands.

  void Submit(GenerationPtr generation);
  void Cancel(const std::string& id);
  void EvictIdle() { cache_.EvictIdle(Clock::now()); }
  /// Drops all generations and the cache.
  void Crash();
  std::vector<BlockEvent> TakeEvents() { return cache_.TakeEvents(); }

  // Queries.

  /// Returns a generation that is in progress or finished recently, or null.
  GenerationPtr Find(const std::string& id) const;
  /// Returns a generation other than `id`, or null.
  GenerationPtr FindOther(const std::string& id) const;
  EngineLoad Load() const;
  const PrefixCache& cache() const { return cache_; }

 private:
  using QueueKey = std::pair<std::int64_t, std::uint64_t>;
  struct Step {
    Clock::time_point when;
    GenerationPtr generation;
    bool operator<(const Step& other) const { return when > other.when; }
  };

  void StartPrefill();
  void FinishPrefill(const GenerationPtr& generation);
  void ScheduleToken(const GenerationPtr& generation);
  void ArmTimer();
  void RunSteps();
  void EmitToken(const GenerationPtr& generation);
  void Finish(const GenerationPtr& generation);
  void RemoveExpiredGenerations();
  std::chrono::microseconds PrefillTime(std::uint64_t tokens) const;
  std::chrono::microseconds TokenInterval() const;

  Context& context_;
  ProgressCallback on_progress_;
  PrefixCache cache_;
  std::map<QueueKey, GenerationPtr> queue_;
  GenerationPtr prefilling_;
  std::priority_queue<Step> steps_;
  std::map<std::string, GenerationPtr> generations_;
  std::queue<GenerationPtr> finished_;
  asio::steady_timer timer_;
  std::uint64_t sequence_ = 0;
  std::uint64_t incarnation_ = 0;
  std::size_t decoding_ = 0;
};

}  // namespace yuccapick::standin

#endif  // YUCCAPICK_STANDIN_ENGINE_MODEL_H_
