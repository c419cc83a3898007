#include "util/detail/replay_engine.h"

#include <algorithm>
#include <cmath>

namespace yuccapick::replay {
namespace {

constexpr std::uint32_t kMaxDecodeBatch = 64;
/// Relative slowdown of prefill for each decoding request.
constexpr double kDecodeSlowdown = 0.005;
constexpr double kDecodeTokensPerSecond = 40;

std::chrono::microseconds ToMicroseconds(double seconds) {
  return std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace

std::uint64_t PrefixTokens(const Document& document, std::size_t pieces) {
  if (pieces == 0) return 0;
  return static_cast<std::uint64_t>(
      std::llround(kTokensPerByte *
                   static_cast<double>(document.pieces[pieces - 1].end_byte)));
}

std::size_t PieceCache::CountCached(
    const std::vector<PrefixPiece>& pieces) const {
  std::size_t cached = 0;
  while (cached < pieces.size() && Contains(pieces[cached].chain_hash)) {
    ++cached;
  }
  return cached;
}

void PieceCache::Touch(std::uint64_t chain_hash) {
  Node& node = nodes_[chain_hash];
  by_use_.erase(node.last_use);
  node.last_use = ++use_counter_;
  by_use_[node.last_use] = chain_hash;
}

bool PieceCache::EvictOne(std::vector<CacheEvent>& events) {
  for (const auto& [last_use, chain_hash] : by_use_) {
    if (nodes_[chain_hash].pins > 0) continue;
    events.push_back({CacheEvent::Kind::kEvicted, 0, std::to_string(chain_hash),
                      AttemptId(), 0});
    nodes_.erase(chain_hash);
    by_use_.erase(last_use);
    return true;
  }
  return false;
}

std::vector<CacheEvent> PieceCache::Pin(
    const std::vector<PrefixPiece>& pieces) {
  std::vector<CacheEvent> events;
  for (const PrefixPiece& piece : pieces) {
    if (!Contains(piece.chain_hash)) {
      events.push_back(
          {CacheEvent::Kind::kStored, 0, std::to_string(piece.chain_hash),
           AttemptId(),
           static_cast<std::uint32_t>(std::llround(
               kTokensPerByte * static_cast<double>(piece.end_byte)))});
    }
    ++nodes_[piece.chain_hash].pins;
  }
  // Touches the deepest piece first, so that it is evicted first.
  for (auto it = pieces.rbegin(); it != pieces.rend(); ++it) {
    Touch(it->chain_hash);
  }
  while (nodes_.size() > capacity_ && EvictOne(events)) {
  }
  return events;
}

void PieceCache::Unpin(const std::vector<PrefixPiece>& pieces) {
  for (const PrefixPiece& piece : pieces) {
    const auto it = nodes_.find(piece.chain_hash);
    if (it != nodes_.end() && it->second.pins > 0) --it->second.pins;
  }
}

void PieceCache::Clear() {
  nodes_.clear();
  by_use_.clear();
}

ReplayEngine::ReplayEngine(const Trace& trace)
    : trace_(&trace), cache_(trace.deployment.cache_pieces) {}

const Document& ReplayEngine::DocumentOf(const EngineJob& job) const {
  return trace_->documents[trace_->requests[job.request].document];
}

std::uint64_t ReplayEngine::MissingTokens(const EngineJob& job,
                                          std::uint64_t cached) const {
  const Document& document = DocumentOf(job);
  const std::uint64_t shared = PrefixTokens(document, document.pieces.size());
  return shared - cached + trace_->requests[job.request].question_tokens;
}

std::uint64_t ReplayEngine::CachedTokens(const Document& document,
                                         bool with_queued) const {
  std::size_t cached = 0;
  while (cached < document.pieces.size()) {
    const std::uint64_t chain_hash = document.pieces[cached].chain_hash;
    const bool queued = with_queued && queued_pieces_.contains(chain_hash);
    if (!queued && !cache_.Contains(chain_hash)) break;
    ++cached;
  }
  return PrefixTokens(document, cached);
}

void ReplayEngine::Enqueue(EngineJob job, TimePoint now) {
  const Document& document = DocumentOf(job);
  job.expected_missing = MissingTokens(job, CachedTokens(document, true));
  for (const PrefixPiece& piece : document.pieces) {
    ++queued_pieces_[piece.chain_hash];
  }
  auto it = queue_.end();
  if (job.urgent) {
    it = std::find_if(queue_.begin(), queue_.end(),
                      [](const EngineJob& other) { return !other.urgent; });
  }
  queue_.insert(it, job);
  if (!current_) StartNextPrefill(now);
}

void ReplayEngine::StartNextPrefill(TimePoint now) {
  current_.reset();
  prefill_ends_.reset();
  if (queue_.empty() || decoding_ >= kMaxDecodeBatch) return;
  EngineJob job = queue_.front();
  queue_.pop_front();
  const Document& document = DocumentOf(job);
  job.cached = PrefixTokens(document, cache_.CountCached(document.pieces));
  job.missing = MissingTokens(job, job.cached);
  const double slowdown = 1.0 + kDecodeSlowdown * decoding_;
  const double seconds = slowdown * static_cast<double>(job.missing) /
                         trace_->deployment.prefill_tokens_per_second;
  current_ = job;
  prefill_ends_ = now + ToMicroseconds(seconds);
}

EngineJob ReplayEngine::FinishPrefill(TimePoint now,
                                      std::vector<CacheEvent>& events) {
  const EngineJob job = *current_;
  for (const PrefixPiece& piece : DocumentOf(job).pieces) {
    const auto it = queued_pieces_.find(piece.chain_hash);
    if (--it->second == 0) queued_pieces_.erase(it);
  }
  events = cache_.Pin(DocumentOf(job).pieces);
  ++decoding_;
  StartNextPrefill(now);
  return job;
}

void ReplayEngine::FinishDecode(const EngineJob& job, TimePoint now) {
  cache_.Unpin(DocumentOf(job).pieces);
  if (decoding_ > 0) --decoding_;
  if (!current_) StartNextPrefill(now);
}

std::vector<EngineJob> ReplayEngine::Crash() {
  std::vector<EngineJob> lost(queue_.begin(), queue_.end());
  if (current_) lost.push_back(*current_);
  queue_.clear();
  queued_pieces_.clear();
  current_.reset();
  prefill_ends_.reset();
  decoding_ = 0;
  cache_.Clear();
  return lost;
}

std::chrono::microseconds ReplayEngine::DecodeTime(const EngineJob& job) const {
  return ToMicroseconds(trace_->requests[job.request].answer_tokens /
                        kDecodeTokensPerSecond);
}

LoadReport ReplayEngine::Load(TimePoint now) const {
  LoadReport load;
  load.running = decoding_;
  load.queued = static_cast<std::uint32_t>(queue_.size());
  load.prefill_tokens_per_second = trace_->deployment.prefill_tokens_per_second;
  double tokens = 0;
  if (prefill_ends_) {
    tokens = std::chrono::duration<double>(*prefill_ends_ - now).count() *
             load.prefill_tokens_per_second;
  }
  for (const EngineJob& job : queue_) {
    tokens += static_cast<double>(job.expected_missing);
  }
  load.queued_prefill_tokens =
      static_cast<std::uint64_t>(std::max(0.0, tokens));
  load.cached_blocks = cache_.Size();
  load.capacity_blocks = trace_->deployment.cache_pieces;
  return load;
}

}  // namespace yuccapick::replay
