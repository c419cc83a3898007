#include "yuccapick/engine_cache_tracker.h"

#include <algorithm>
#include <utility>

namespace yuccapick {
namespace {

constexpr std::size_t kMaxEntries = 49'152;
constexpr std::size_t kMaxBlocks = 65'536;
constexpr std::size_t kMaxAttempts = 4096;
constexpr double kLifetimeSmoothing = 0.05;
/// Entries that no event confirmed since a gap are dropped beyond this multiple
/// of the mean idle time at eviction.
constexpr double kLifetimeMargin = 1.5;
constexpr double kTokensPerByteSmoothing = 0.1;
/// A block counts as the last one of a piece if the two ends differ by at most
/// this share of the piece's end. Piece ends are estimated from bytes.
constexpr double kEndTolerance = 0.03;
/// Minimum time between two announcements of an entry that is used again.
constexpr std::chrono::milliseconds kReannounceInterval{2'000};

double Seconds(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

DigestEntry MakeDigestEntry(std::uint64_t chain_hash, std::uint32_t tokens,
                            TimePoint last_used, TimePoint now) {
  const auto idle =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - last_used);
  return {chain_hash, tokens, std::max(idle, std::chrono::milliseconds(0))};
}

}  // namespace

void EngineCacheTracker::Clear() {
  ClearEntries();
  attempts_.clear();
  attempt_order_.clear();
  changed_.clear();
  next_sequence_ = 0;
  lifetime_seconds_ = 0;
}

void EngineCacheTracker::Apply(const std::string& boot_id,
                               const std::vector<CacheEvent>& events,
                               TimePoint now) {
  if (boot_id != boot_id_) {
    if (!boot_id_.empty()) Clear();
    boot_id_ = boot_id;
  }
  for (const CacheEvent& event : events) ApplyOne(event, now);
  DropStale(now);
  TrimEntries();
}

void EngineCacheTracker::ApplyOne(const CacheEvent& event, TimePoint now) {
  if (next_sequence_ != 0 && event.sequence < next_sequence_) return;
  if (next_sequence_ != 0 && event.sequence > next_sequence_) ++gaps_;
  next_sequence_ = event.sequence + 1;
  switch (event.kind) {
    case CacheEvent::Kind::kStored:
      OnStored(event, now);
      return;
    case CacheEvent::Kind::kEvicted:
      OnEvicted(event, now);
      return;
    case CacheEvent::Kind::kCleared:
      ClearEntries();
      return;
  }
}

std::uint32_t EngineCacheTracker::TokensUpTo(const Attempt& attempt,
                                             std::size_t piece) const {
  if (piece >= attempt.end_bytes.size()) return 0;
  return static_cast<std::uint32_t>(
      tokens_per_byte_ * static_cast<double>(attempt.end_bytes[piece]));
}

void EngineCacheTracker::OnStored(const CacheEvent& event, TimePoint now) {
  const auto it = attempts_.find(event.attempt);
  if (it == attempts_.end()) return;
  const Attempt& attempt = it->second;
  // The block belongs to the first piece that does not end before it. The piece
  // itself is cached only with its last block, the pieces before it are.
  for (std::size_t n = 0; n < attempt.end_bytes.size(); ++n) {
    const double end = TokensUpTo(attempt, n);
    if (event.end_token > end * (1.0 + kEndTolerance)) continue;
    if (blocks_.size() < kMaxBlocks) blocks_[event.block] = attempt.chain[n];
    const bool ends_piece = event.end_token >= end * (1.0 - kEndTolerance);
    Touch(attempt, ends_piece ? n + 1 : n, now, Evidence::kConfirmed);
    return;
  }
}

void EngineCacheTracker::OnEvicted(const CacheEvent& event, TimePoint now) {
  const auto it = blocks_.find(event.block);
  if (it == blocks_.end()) return;
  const std::uint64_t chain_hash = it->second;
  blocks_.erase(it);
  const auto found = entries_.find(chain_hash);
  if (found == entries_.end()) return;
  // A lifetime of 0 would count as unknown.
  const double idle = std::max(0.001, Seconds(now - found->second.last_used));
  if (lifetime_seconds_ == 0) lifetime_seconds_ = idle;
  lifetime_seconds_ += kLifetimeSmoothing * (idle - lifetime_seconds_);
  Drop(chain_hash);
}

void EngineCacheTracker::Unlink(std::uint64_t parent,
                                std::uint64_t chain_hash) {
  const auto it = children_.find(parent);
  if (it == children_.end()) return;
  ChildList& list = it->second;
  list.erase(std::remove(list.begin(), list.end(), chain_hash), list.end());
  if (list.empty()) children_.erase(it);
}

void EngineCacheTracker::Drop(std::uint64_t chain_hash) {
  const auto first = entries_.find(chain_hash);
  if (first == entries_.end()) return;
  Unlink(first->second.parent, chain_hash);
  std::vector<std::uint64_t> pending{chain_hash};
  while (!pending.empty()) {
    const std::uint64_t next = pending.back();
    pending.pop_back();
    const auto it = entries_.find(next);
    if (it == entries_.end()) continue;
    if (it->second.is_announced) evicted_.insert(next);
    changed_.erase(next);
    entries_.erase(it);
    const auto children = children_.find(next);
    if (children == children_.end()) continue;
    pending.insert(pending.end(), children->second.begin(),
                   children->second.end());
    children_.erase(children);
  }
}

void EngineCacheTracker::ClearEntries() {
  for (const auto& [chain_hash, entry] : entries_) {
    if (entry.is_announced) evicted_.insert(chain_hash);
  }
  entries_.clear();
  children_.clear();
  blocks_.clear();
}

bool EngineCacheTracker::IsStale(const Entry& entry, TimePoint now) const {
  const bool certain = entry.confirmed && entry.confirmed_at_gap == gaps_;
  if (certain || lifetime_seconds_ == 0) return false;
  return Seconds(now - entry.last_used) > kLifetimeMargin * lifetime_seconds_;
}

void EngineCacheTracker::DropStale(TimePoint now) {
  if (gaps_ == 0 || lifetime_seconds_ == 0) return;
  std::vector<std::uint64_t> stale;
  for (const auto& [chain_hash, entry] : entries_) {
    if (IsStale(entry, now)) stale.push_back(chain_hash);
  }
  for (const std::uint64_t chain_hash : stale) Drop(chain_hash);
}

void EngineCacheTracker::TrimEntries() {
  if (entries_.size() <= kMaxEntries) return;
  std::vector<std::pair<TimePoint, std::uint64_t>> by_use;
  for (const auto& [chain_hash, entry] : entries_) {
    by_use.emplace_back(entry.last_used, chain_hash);
  }
  const std::size_t excess = entries_.size() - kMaxEntries * 7 / 8;
  std::nth_element(by_use.begin(),
                   by_use.begin() + static_cast<std::ptrdiff_t>(excess),
                   by_use.end());
  for (std::size_t n = 0; n < excess; ++n) Drop(by_use[n].second);
}

void EngineCacheTracker::Touch(const Attempt& attempt, std::size_t pieces,
                               TimePoint now, Evidence evidence) {
  std::uint64_t parent = 0;
  for (std::size_t n = 0; n < pieces; ++n) {
    const std::uint64_t chain_hash = attempt.chain[n];
    const auto [it, is_new] = entries_.try_emplace(chain_hash);
    Entry& entry = it->second;
    if (is_new && parent != 0) children_[parent].push_back(chain_hash);
    entry.parent = parent;
    entry.tokens = TokensUpTo(attempt, n);
    entry.last_used = std::max(entry.last_used, now);
    if (evidence == Evidence::kConfirmed) {
      entry.confirmed = true;
      entry.confirmed_at_gap = gaps_;
    }
    evicted_.erase(chain_hash);
    if (!entry.is_announced ||
        now - entry.announced_last_used > kReannounceInterval) {
      changed_.insert(chain_hash);
    }
    parent = chain_hash;
  }
}

void EngineCacheTracker::OnAttempt(const AttemptId& attempt,
                                   std::vector<std::uint64_t> chain,
                                   std::vector<std::uint64_t> end_bytes,
                                   TimePoint now) {
  if (chain.empty()) return;
  if (end_bytes.size() != chain.size()) end_bytes.clear();
  const auto [it, inserted] = attempts_.try_emplace(
      attempt, Attempt{std::move(chain), std::move(end_bytes)});
  if (!inserted) return;
  Touch(it->second, it->second.chain.size(), now, Evidence::kExpected);
  attempt_order_.push_back(attempt);
  if (attempt_order_.size() <= kMaxAttempts) return;
  attempts_.erase(attempt_order_.front());
  attempt_order_.pop_front();
}

void EngineCacheTracker::OnUsage(const AttemptId& attempt, const Usage& usage,
                                 TimePoint now) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end() || it->second.answered) return;
  it->second.answered = true;
  const Attempt& answered = it->second;
  if (!answered.end_bytes.empty() && answered.end_bytes.back() > 0) {
    const double ratio = static_cast<double>(usage.prompt_tokens) /
                         static_cast<double>(answered.end_bytes.back());
    tokens_per_byte_ += kTokensPerByteSmoothing * (ratio - tokens_per_byte_);
  }
  Touch(answered, answered.chain.size(), now, Evidence::kConfirmed);
  TrimEntries();
}

CacheDelta EngineCacheTracker::TakeDelta(TimePoint now,
                                         std::size_t max_entries) {
  DropStale(now);
  CacheDelta delta;
  while (!changed_.empty() && delta.added.size() < max_entries) {
    const std::uint64_t chain_hash = *changed_.begin();
    changed_.erase(changed_.begin());
    Entry& entry = entries_[chain_hash];
    entry.is_announced = true;
    entry.announced_last_used = entry.last_used;
    delta.added.push_back(
        MakeDigestEntry(chain_hash, entry.tokens, entry.last_used, now));
  }
  while (!evicted_.empty() && delta.evicted.size() < max_entries) {
    delta.evicted.push_back(*evicted_.begin());
    evicted_.erase(evicted_.begin());
  }
  return delta;
}

std::vector<DigestEntry> EngineCacheTracker::FullDigest(
    TimePoint now, std::size_t max_entries) const {
  std::vector<DigestEntry> digest;
  for (const auto& [chain_hash, entry] : entries_) {
    if (IsStale(entry, now)) continue;
    digest.push_back(
        MakeDigestEntry(chain_hash, entry.tokens, entry.last_used, now));
  }
  std::sort(digest.begin(), digest.end(),
            [](const DigestEntry& a, const DigestEntry& b) {
              if (a.idle != b.idle) return a.idle < b.idle;
              return a.chain_hash < b.chain_hash;
            });
  if (digest.size() > max_entries) digest.resize(max_entries);
  return digest;
}

std::size_t EngineCacheTracker::CachedPieces(
    const std::vector<std::uint64_t>& chain, TimePoint now) const {
  std::size_t cached = 0;
  for (const std::uint64_t chain_hash : chain) {
    const auto it = entries_.find(chain_hash);
    if (it == entries_.end() || !it->second.confirmed) break;
    if (IsStale(it->second, now)) break;
    ++cached;
  }
  return cached;
}

}  // namespace yuccapick
