#ifndef YUCCAPICK_PREFIX_CACHE_INDEX_H_
#define YUCCAPICK_PREFIX_CACHE_INDEX_H_

/// @file
/// A router's index of the prefixes that engines are believed to cache.

#include <chrono>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/inlined_vector.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// Position of an engine in the placement's tables.
using EngineSlot = std::uint32_t;

/// An engine that is believed to hold a prefix.
struct PrefixHolder {
  EngineSlot slot = 0;
  std::uint32_t generation = 0;  ///< Of the slot when the entry was made.
  TimePoint last_used;
};

/// Maps chain hashes to the engines that hold them, with a bounded number of
/// entries for each engine. A new incarnation of an engine gets a new
/// generation of its slot, which invalidates all entries of the previous
/// incarnation at once.
class PrefixCacheIndex {
 public:
  /// @param max_entries_per_engine maximum number of entries for one engine
  explicit PrefixCacheIndex(std::size_t max_entries_per_engine);

  // Commands.

  /// Invalidates everything known about the engine in `slot`, which has a new
  /// incarnation.
  void Reset(EngineSlot slot);
  /// Removes the engine's entries, for example before a full digest.
  void Clear(EngineSlot slot);
  /// Records that the engine holds `chain_hash` and used it at `used`.
  void Store(EngineSlot slot, std::uint64_t chain_hash, TimePoint used);
  /// Records that the engine evicted `chain_hash`, and adds its idle time to
  /// the lifetime estimate.
  void Evict(EngineSlot slot, std::uint64_t chain_hash, TimePoint now);
  /// Records that the engine did not hold a prefix that was believed cached and
  /// was last used `idle_seconds` seconds ago.
  void OnMiss(EngineSlot slot, double idle_seconds);

  // Queries.

  /// Returns the engines that may hold `chain_hash`; check each with `Valid`.
  std::span<const PrefixHolder> Holders(std::uint64_t chain_hash) const;
  /// True if `holder` belongs to the engine's current incarnation and was used
  /// within `Lifetime`.
  bool Valid(const PrefixHolder& holder, TimePoint now) const;
  /// Returns how long an unused entry is expected to stay in the engine's
  /// cache.
  std::chrono::milliseconds Lifetime(EngineSlot slot) const;
  /// Returns the number of entries kept for the engine.
  std::size_t Size(EngineSlot slot) const;
  /// Returns the approximate memory use of the index, in bytes.
  std::size_t MemoryBytes() const;

 private:
  struct TrimEntry {
    std::uint64_t chain_hash = 0;
    TimePoint used_at;  ///< Last use when the entry was queued.
  };
  struct Engine {
    std::uint32_t generation = 0;
    /// In the order in which they are trimmed; may contain evicted entries.
    std::deque<TrimEntry> queue;
    std::size_t size = 0;  ///< Entries in `holders_`.
    /// Mean idle time at eviction; 0 while no eviction has been seen.
    double lifetime_seconds = 0;
  };
  using HolderList = absl::InlinedVector<PrefixHolder, 1>;

  Engine& EngineAt(EngineSlot slot);
  PrefixHolder* Find(EngineSlot slot, std::uint64_t chain_hash);
  bool Erase(EngineSlot slot, std::uint64_t chain_hash);
  void Trim(EngineSlot slot);

  std::size_t max_entries_per_engine_;
  std::vector<Engine> engines_;
  absl::flat_hash_map<std::uint64_t, HolderList> holders_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_PREFIX_CACHE_INDEX_H_
