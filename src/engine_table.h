#ifndef YUCCAPICK_ENGINE_TABLE_H_
#define YUCCAPICK_ENGINE_TABLE_H_

/// @file
/// The engines that a placement knows, by slot and by loaded weights.

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "yuccapick/ids.h"
#include "yuccapick/load_model.h"
#include "yuccapick/prefix.h"
#include "yuccapick/prefix_cache_index.h"
#include "yuccapick/upstream.h"

namespace yuccapick {

/// One engine or kept-KV store.
struct EngineEntry {
  UpstreamInfo info;
  std::uint64_t node_hash = 0;
  double round_trip_seconds = 0;
  bool present = false;  ///< False if the slot is free.
  LoadModel load;
  std::vector<std::uint64_t> groups;  ///< Keys of the groups it is in.
};

/// Live engines that can answer with the same weights.
struct EngineGroup {
  std::vector<EngineSlot> slots;
  std::vector<std::uint64_t> node_hashes;  ///< Of `slots`, in their order.
};

/// Whether an update of an upstream means that its cache is lost.
enum class CacheEffect : std::uint8_t { kKept, kLost };

/// Slots, identities and groups of engines. An incarnation of 0 in an update
/// means that it is unknown, and leaves the known one.
class EngineTable {
 public:
  EngineTable(FailureDomain domain, Region region,
              std::chrono::milliseconds report_age);

  // Commands.

  /// Adds or updates an upstream.
  /// @return whether its cache is lost, or nothing if `info` is outdated and
  ///     was ignored
  std::optional<CacheEffect> Apply(const UpstreamInfo& info, TimePoint now);
  /// Removes an upstream.
  void Remove(EngineSlot slot);
  LoadModel& Load(EngineSlot slot) { return entries_[slot].load; }

  // Queries.

  std::optional<EngineSlot> Find(const UpstreamId& id) const;
  const EngineEntry& At(EngineSlot slot) const { return entries_[slot]; }
  /// Returns the key of the group that can answer in `scope`.
  static std::uint64_t GroupKey(const CacheScope& scope);
  /// Returns the live engines in a group, or null if there are none.
  const EngineGroup* Group(std::uint64_t group_key) const;
  /// True if the engine is live and in the group.
  bool InGroup(EngineSlot slot, std::uint64_t group_key) const;
  /// Returns the live kept-KV stores.
  const std::vector<EngineSlot>& Stores() const { return stores_; }
  /// Returns the number of slots, free ones included.
  std::size_t SlotCount() const { return entries_.size(); }

 private:
  EngineSlot Insert(const UpstreamInfo& info);
  bool IsOutdated(const UpstreamInfo& info, const UpstreamInfo& known) const;
  void Merge(const UpstreamInfo& info, UpstreamInfo& known) const;
  void AddToGroups(EngineSlot slot);
  void RemoveFromGroups(EngineSlot slot);
  double RoundTripSeconds(const UpstreamInfo& info) const;

  FailureDomain domain_;
  Region region_;
  std::chrono::milliseconds report_age_;
  std::vector<EngineEntry> entries_;
  std::vector<EngineSlot> free_;    ///< Slots of removed upstreams.
  std::vector<EngineSlot> stores_;  ///< Live kept-KV stores.
  absl::flat_hash_map<UpstreamId, EngineSlot> slots_;
  absl::flat_hash_map<std::uint64_t, EngineGroup> groups_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_ENGINE_TABLE_H_
