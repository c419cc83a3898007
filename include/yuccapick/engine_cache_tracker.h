#ifndef YUCCAPICK_ENGINE_CACHE_TRACKER_H_
#define YUCCAPICK_ENGINE_CACHE_TRACKER_H_

/// @file
/// An agent's picture of the prefixes that its own engine holds.

#include <chrono>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/inlined_vector.h"
#include "yuccapick/agent_events.h"
#include "yuccapick/ids.h"
#include "yuccapick/link_messages.h"

namespace yuccapick {

/// What changed in a picture since it was last taken.
struct CacheDelta {
  std::vector<DigestEntry> added;      ///< New, or used again since.
  std::vector<std::uint64_t> evicted;  ///< Chain hashes no longer cached.
};

/// Follows one engine's cache by its events, whose gaps and delays are made up
/// for by the engine's usage reports and by ageing. Bounded in memory.
class EngineCacheTracker {
 public:
  EngineCacheTracker() = default;

  // Commands.

  /// Takes cache events of the engine's life `boot_id`, in any batch size. A
  /// new boot id empties the picture; events seen before are ignored.
  void Apply(const std::string& boot_id, const std::vector<CacheEvent>& events,
             TimePoint now);
  /// An attempt with this prefix chain is passed on to the engine. Its pieces
  /// are announced at once, but count as cached only when the engine shows it.
  /// @param end_bytes ends of the chain's pieces; may be empty
  void OnAttempt(const AttemptId& attempt, std::vector<std::uint64_t> chain,
                 std::vector<std::uint64_t> end_bytes, TimePoint now);
  /// The engine answered the attempt whole: its prefix is cached now.
  void OnUsage(const AttemptId& attempt, const Usage& usage, TimePoint now);
  /// The engine restarted with an empty cache.
  void Clear();
  /// Returns what changed since the last call, at most `most` entries of each
  /// kind; the rest follows with the next call.
  CacheDelta TakeDelta(TimePoint now, std::size_t most = 256);

  // Queries.

  /// Returns every entry that is believed cached, the last used first.
  std::vector<DigestEntry> FullDigest(TimePoint now,
                                      std::size_t most = 4096) const;
  /// Returns how many leading pieces of `chain` are believed cached.
  std::size_t CachedPieces(const std::vector<std::uint64_t>& chain,
                           TimePoint now) const;
  /// Returns the number of gaps seen in the event sequence.
  std::uint64_t Gaps() const { return gaps_; }
  /// Returns the number of entries held.
  std::size_t Size() const { return entries_.size(); }

 private:
  /// Whether the engine has shown that it holds a prefix, or will compute it
  /// for an attempt that was passed on.
  enum class Proof : std::uint8_t { kExpected, kSeen };
  struct Entry {
    std::uint64_t parent = 0;
    std::uint32_t tokens = 0;
    TimePoint last_used;
    TimePoint announced;     ///< `last_used` as it was last announced.
    std::uint64_t gaps = 0;  ///< Gaps seen when the entry was confirmed.
    bool is_announced = false;
    bool seen = false;  ///< Shown by an event or an answer.
  };
  using ChildList = absl::InlinedVector<std::uint64_t, 1>;

  struct Attempt {
    std::vector<std::uint64_t> chain;
    std::vector<std::uint64_t> end_bytes;
    bool answered = false;
  };

  void ApplyOne(const CacheEvent& event, TimePoint now);
  void OnStored(const CacheEvent& event, TimePoint now);
  void OnEvicted(const CacheEvent& event, TimePoint now);
  void Touch(const Attempt& attempt, std::size_t pieces, TimePoint now,
             Proof proof);
  /// Drops an entry and all that follow on it: a piece is of no use without
  /// all pieces before it.
  void Drop(std::uint64_t chain_hash);
  void Unlink(std::uint64_t parent, std::uint64_t chain_hash);
  void ForgetEntries();
  void DropStale(TimePoint now);
  void TrimEntries();
  std::uint32_t TokensUpTo(const Attempt& attempt, std::size_t piece) const;
  bool Stale(const Entry& entry, TimePoint now) const;

  std::string boot_id_;
  std::uint64_t next_sequence_ = 0;  ///< 0 before the first event of a life.
  std::uint64_t gaps_ = 0;
  double tokens_per_byte_ = 0.25;
  double lifetime_seconds_ = 0;  ///< Mean idle time at eviction; 0 unknown.
  absl::flat_hash_map<std::uint64_t, Entry> entries_;
  /// Entries that follow directly on one; they go with it.
  absl::flat_hash_map<std::uint64_t, ChildList> children_;
  absl::flat_hash_map<std::string, std::uint64_t> blocks_;
  absl::flat_hash_map<AttemptId, Attempt> attempts_;
  std::deque<AttemptId> attempt_order_;
  std::set<std::uint64_t> changed_;
  std::set<std::uint64_t> evicted_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ENGINE_CACHE_TRACKER_H_
