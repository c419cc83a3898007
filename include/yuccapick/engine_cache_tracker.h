#ifndef YUCCAPICK_ENGINE_CACHE_TRACKER_H_
#define YUCCAPICK_ENGINE_CACHE_TRACKER_H_

/// @file
/// An agent's record of the prefixes that its engine caches.

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

/// Changes of a tracked cache since the last delta.
struct CacheDelta {
  std::vector<DigestEntry> added;      ///< New, or used again since.
  std::vector<std::uint64_t> evicted;  ///< Chain hashes no longer cached.
};

/// Tracks the contents of one engine's cache by its events. A prompt is divided
/// into pieces; each is identified by the chain hash of the prompt up to its
/// end. Usage reports and the expiry of unused entries make up for lost and
/// late events. Bounded in memory.
class EngineCacheTracker {
 public:
  EngineCacheTracker() = default;

  // Commands.

  /// Applies cache events of the engine incarnation `boot_id`, in batches of
  /// any size. A new boot id clears the tracker; events applied before are
  /// ignored.
  void Apply(const std::string& boot_id, const std::vector<CacheEvent>& events,
             TimePoint now);
  /// Records that an attempt whose prompt has this chain of piece hashes is
  /// forwarded to the engine. Its pieces are announced at once, but count as
  /// cached only when an event or an answer of the engine confirms it.
  /// @param end_bytes end of each piece in the prompt, in bytes; may be empty
  void OnAttempt(const AttemptId& attempt, std::vector<std::uint64_t> chain,
                 std::vector<std::uint64_t> end_bytes, TimePoint now);
  /// Records that the engine completed the attempt, so that its prefix is
  /// cached.
  void OnUsage(const AttemptId& attempt, const Usage& usage, TimePoint now);
  /// Forgets everything: the engine restarted with an empty cache.
  void Clear();
  /// Returns what changed since the last call, at most `max_entries` entries of
  /// each kind; the rest follows with the next call.
  CacheDelta TakeDelta(TimePoint now, std::size_t max_entries = 256);

  // Queries.

  /// Returns the entries that are believed cached, most recently used first.
  std::vector<DigestEntry> FullDigest(TimePoint now,
                                      std::size_t max_entries = 4096) const;
  /// Returns how many leading pieces of `chain` are believed cached.
  std::size_t CachedPieces(const std::vector<std::uint64_t>& chain,
                           TimePoint now) const;
  /// Returns the number of gaps seen in the event sequence.
  std::uint64_t Gaps() const { return gaps_; }
  /// Returns the number of entries held.
  std::size_t Size() const { return entries_.size(); }

 private:
  /// Whether the engine confirmed that it holds a prefix, or is expected to
  /// compute it for a forwarded attempt.
  enum class Evidence : std::uint8_t { kExpected, kConfirmed };
  struct Entry {
    std::uint64_t parent = 0;  ///< Chain hash of the piece before; 0 if none.
    std::uint32_t tokens = 0;
    TimePoint last_used;
    TimePoint announced_last_used;       ///< `last_used` when last announced.
    std::uint64_t confirmed_at_gap = 0;  ///< `gaps_` at the last confirmation.
    bool is_announced = false;           ///< Was in a delta.
    bool confirmed = false;              ///< By an event or an answer.
  };
  using ChildList = absl::InlinedVector<std::uint64_t, 1>;

  struct Attempt {
    std::vector<std::uint64_t> chain;
    std::vector<std::uint64_t> end_bytes;
    bool answered = false;  ///< Its usage was already applied.
  };

  void ApplyOne(const CacheEvent& event, TimePoint now);
  void OnStored(const CacheEvent& event, TimePoint now);
  void OnEvicted(const CacheEvent& event, TimePoint now);
  void Touch(const Attempt& attempt, std::size_t pieces, TimePoint now,
             Evidence evidence);
  /// Removes an entry and all its descendants: a piece is usable only together
  /// with all pieces before it.
  void Drop(std::uint64_t chain_hash);
  void Unlink(std::uint64_t parent, std::uint64_t chain_hash);
  void ClearEntries();
  void DropStale(TimePoint now);
  void TrimEntries();
  std::uint32_t TokensUpTo(const Attempt& attempt, std::size_t piece) const;
  bool IsStale(const Entry& entry, TimePoint now) const;

  std::string boot_id_;
  std::uint64_t next_sequence_ = 0;  ///< 0 before the first event.
  std::uint64_t gaps_ = 0;
  double tokens_per_byte_ = 0.25;  ///< Estimated from usage reports.
  double lifetime_seconds_ = 0;    ///< Mean idle time at eviction; 0 unknown.
  absl::flat_hash_map<std::uint64_t, Entry> entries_;
  /// Direct successors of each entry; they are removed with it.
  absl::flat_hash_map<std::uint64_t, ChildList> children_;
  /// Chain hash of the piece that each of the engine's blocks belongs to.
  absl::flat_hash_map<std::string, std::uint64_t> blocks_;
  absl::flat_hash_map<AttemptId, Attempt> attempts_;
  std::deque<AttemptId> attempt_order_;  ///< Oldest first.
  std::set<std::uint64_t> changed_;      ///< To be announced as added.
  std::set<std::uint64_t> evicted_;      ///< To be announced as evicted.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ENGINE_CACHE_TRACKER_H_
