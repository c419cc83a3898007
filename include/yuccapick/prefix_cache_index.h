#ifndef YUCCAPICK_PREFIX_CACHE_INDEX_H_
#define YUCCAPICK_PREFIX_CACHE_INDEX_H_

/// @file
/// A router's picture of which engines hold which prefixes.

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

/// Which engine holds which chain hash, bounded for each engine. A new engine
/// incarnation takes a new generation of its slot, which voids all entries of
/// the former one at once.
class PrefixCacheIndex {
 public:
  /// @param entries_per_engine most entries that are kept for one engine
  explicit PrefixCacheIndex(std::size_t entries_per_engine);

  // Commands.

  /// The engine in `slot` began a new life: voids everything known of it.
  void Reset(EngineSlot slot);
  /// Removes the engine's entries, as before a full digest.
  void Clear(EngineSlot slot);
  /// Notes that the engine holds `chain_hash`, or used it again.
  void Store(EngineSlot slot, std::uint64_t chain_hash, TimePoint used);
  /// Notes that the engine no longer holds `chain_hash`.
  void Evict(EngineSlot slot, std::uint64_t chain_hash, TimePoint now);
  /// The engine no longer held a prefix that was believed cached and had not
  /// been used for `idle_seconds`.
  void OnMiss(EngineSlot slot, double idle_seconds);

  // Queries.

  /// Returns who may hold `chain_hash`; check each with `Valid`.
  std::span<const PrefixHolder> Holders(std::uint64_t chain_hash) const;
  /// True if `holder` belongs to the engine's present life and has not outlived
  /// the time after which that engine evicts what is not used.
  bool Valid(const PrefixHolder& holder, TimePoint now) const;
  /// Returns the estimated time that an unused entry survives in the engine.
  std::chrono::milliseconds Lifetime(EngineSlot slot) const;
  /// Returns the number of entries kept for the engine.
  std::size_t Size(EngineSlot slot) const;
  /// Returns the approximate memory of the whole picture.
  std::size_t MemoryBytes() const;

 private:
  struct Stored {
    std::uint64_t chain_hash = 0;
    TimePoint when;
  };
  struct Engine {
    std::uint32_t generation = 0;
    std::deque<Stored> order;  ///< In the order in which they are trimmed.
    std::size_t size = 0;
    double lifetime_seconds = 0;  ///< 0 while no eviction has been seen.
  };
  using HolderList = absl::InlinedVector<PrefixHolder, 1>;

  Engine& EngineAt(EngineSlot slot);
  PrefixHolder* Find(EngineSlot slot, std::uint64_t chain_hash);
  bool Erase(EngineSlot slot, std::uint64_t chain_hash);
  void Trim(EngineSlot slot);

  std::size_t entries_per_engine_;
  std::vector<Engine> engines_;
  absl::flat_hash_map<std::uint64_t, HolderList> holders_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_PREFIX_CACHE_INDEX_H_
