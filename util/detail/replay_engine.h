#ifndef YUCCAPICK_UTIL_DETAIL_REPLAY_ENGINE_H_
#define YUCCAPICK_UTIL_DETAIL_REPLAY_ENGINE_H_

/// @file
/// Simulated model engine: prefill queue, decode batch and prefix cache.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "util/detail/replay_trace.h"
#include "yuccapick/agent_events.h"
#include "yuccapick/upstream.h"

namespace yuccapick::replay {

/// LRU cache of prefix pieces. A piece is evicted before the pieces that
/// precede it in a prompt, and pinned pieces are not evicted.
class PieceCache {
 public:
  explicit PieceCache(std::size_t capacity) : capacity_(capacity) {}

  /// Returns the number of leading pieces that are cached.
  std::size_t CountCached(const std::vector<PrefixPiece>& pieces) const;
  bool Contains(std::uint64_t chain_hash) const {
    return nodes_.contains(chain_hash);
  }
  /// Stores and pins all pieces; returns the events of stored and evicted ones.
  std::vector<CacheEvent> Pin(const std::vector<PrefixPiece>& pieces);
  void Unpin(const std::vector<PrefixPiece>& pieces);
  void Clear();
  std::size_t Size() const { return nodes_.size(); }

 private:
  struct Node {
    std::uint64_t last_use = 0;
    std::uint32_t pins = 0;
  };
  void Touch(std::uint64_t chain_hash);
  bool EvictOne(std::vector<CacheEvent>& events);

  std::size_t capacity_;
  std::uint64_t use_counter_ = 0;
  absl::flat_hash_map<std::uint64_t, Node> nodes_;
  std::map<std::uint64_t, std::uint64_t> by_use_;
};

/// One request in an engine.
struct EngineJob {
  std::uint32_t request = 0;  ///< Index in the trace.
  std::uint32_t attempt_number = 0;
  bool urgent = false;
  /// Tokens to prefill, estimated when the job was queued.
  std::uint64_t expected_missing = 0;
  std::uint64_t missing = 0;  ///< Tokens to prefill, when prefill began.
  std::uint64_t cached = 0;
};

/// One simulated engine. The replay calls it at the times that it returns.
class ReplayEngine {
 public:
  explicit ReplayEngine(const Trace& trace);

  // Commands.

  /// Queues a job and starts it if no prefill is running.
  void Enqueue(EngineJob job, TimePoint now);
  /// Ends the running prefill. Call at the time that `PrefillEnds` returns.
  /// @param events set to the cache events of the prefill
  EngineJob FinishPrefill(TimePoint now, std::vector<CacheEvent>& events);
  /// Ends the decode of a request.
  void FinishDecode(const EngineJob& job, TimePoint now);
  /// Drops all state; returns the jobs that had no first token yet.
  std::vector<EngineJob> Crash();

  // Queries.

  /// Returns when the running prefill ends; empty if none runs.
  std::optional<TimePoint> PrefillEnds() const { return prefill_ends_; }
  std::chrono::microseconds DecodeTime(const EngineJob& job) const;
  LoadReport Load(TimePoint now) const;
  /// Returns the tokens of `document` that are cached now or, with
  /// `with_queued`, will be once all queued jobs have run.
  std::uint64_t CachedTokens(const Document& document, bool with_queued) const;
  const PieceCache& Cache() const { return cache_; }

 private:
  const Document& DocumentOf(const EngineJob& job) const;
  std::uint64_t MissingTokens(const EngineJob& job, std::uint64_t cached) const;
  void StartNextPrefill(TimePoint now);

  const Trace* trace_;
  PieceCache cache_;
  std::deque<EngineJob> queue_;
  std::optional<EngineJob> current_;
  std::optional<TimePoint> prefill_ends_;
  std::uint32_t decoding_ = 0;
  absl::flat_hash_map<std::uint64_t, std::uint32_t> queued_pieces_;
};

/// Returns the number of tokens in the first `pieces` pieces of a document.
std::uint64_t PrefixTokens(const Document& document, std::size_t pieces);

}  // namespace yuccapick::replay

#endif  // YUCCAPICK_UTIL_DETAIL_REPLAY_ENGINE_H_
