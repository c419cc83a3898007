#include "engine_table.h"

#include <algorithm>
#include <utility>

#include "yuccapick/rendezvous.h"

namespace yuccapick {
namespace {

/// Round trip times to another failure domain of the region and to another
/// region.
constexpr double kDomainRoundTripSeconds = 0.001;
constexpr double kRegionRoundTripSeconds = 0.040;

std::uint64_t GroupKeyOf(const LoadedModel& loaded) {
  return CacheSalt({TeamId(), loaded.model, loaded.adapter, loaded.weights});
}

}  // namespace

EngineTable::EngineTable(FailureDomain domain, Region region,
                         std::chrono::milliseconds report_age)
    : domain_(std::move(domain)),
      region_(std::move(region)),
      report_age_(report_age) {}

bool EngineTable::IsOutdated(const UpstreamInfo& info,
                             const UpstreamInfo& known) const {
  if (info.agent_incarnation.value == 0) return false;
  if (info.agent_incarnation < known.agent_incarnation) return true;
  return info.agent_incarnation == known.agent_incarnation &&
         info.engine_incarnation.value != 0 &&
         info.engine_incarnation < known.engine_incarnation;
}

void EngineTable::Merge(const UpstreamInfo& info, UpstreamInfo& known) const {
  const UpstreamInfo previous = known;
  known = info;
  if (info.agent_incarnation.value == 0) {
    known.agent_incarnation = previous.agent_incarnation;
  }
  if (info.engine_incarnation.value == 0) {
    known.engine_incarnation = previous.engine_incarnation;
    known.loaded = previous.loaded;
  }
  const bool same_incarnation =
      known.agent_incarnation == previous.agent_incarnation;
  if (same_incarnation && previous.state >= UpstreamState::kLeaving) {
    known.state = std::max(known.state, previous.state);
  }
}

std::optional<CacheEffect> EngineTable::Apply(const UpstreamInfo& info,
                                              TimePoint now) {
  const std::optional<EngineSlot> found = Find(info.id);
  if (!found) {
    AddToGroups(Insert(info));
    return CacheEffect::kLost;
  }
  EngineEntry& entry = entries_[*found];
  if (IsOutdated(info, entry.info)) return std::nullopt;
  const UpstreamInfo known = entry.info;
  const Incarnation previous = known.engine_incarnation;
  Merge(info, entry.info);
  entry.round_trip_seconds = RoundTripSeconds(entry.info);
  const bool groups_changed = entry.info.state != known.state ||
                              entry.info.kind != known.kind ||
                              entry.info.loaded != known.loaded;
  if (groups_changed) {
    RemoveFromGroups(*found);
    AddToGroups(*found);
  }
  if (entry.info.engine_incarnation == previous) return CacheEffect::kKept;
  entry.load.Reset(now);
  return CacheEffect::kLost;
}

EngineSlot EngineTable::Insert(const UpstreamInfo& info) {
  EngineEntry entry{info,
                    RendezvousNodeHash(info.id.value),
                    RoundTripSeconds(info),
                    true,
                    LoadModel(report_age_),
                    {}};
  EngineSlot slot = static_cast<EngineSlot>(entries_.size());
  if (free_.empty()) {
    entries_.push_back(std::move(entry));
  } else {
    slot = free_.back();
    free_.pop_back();
    entries_[slot] = std::move(entry);
  }
  slots_[info.id] = slot;
  return slot;
}

void EngineTable::Remove(EngineSlot slot) {
  RemoveFromGroups(slot);
  slots_.erase(entries_[slot].info.id);
  entries_[slot].present = false;
  free_.push_back(slot);
}

void EngineTable::AddToGroups(EngineSlot slot) {
  EngineEntry& entry = entries_[slot];
  if (entry.info.state >= UpstreamState::kSuspect) return;
  if (entry.info.kind == UpstreamKind::kKvStore) stores_.push_back(slot);
  if (entry.info.kind != UpstreamKind::kModelEngine) return;
  for (const LoadedModel& loaded : entry.info.loaded) {
    const std::uint64_t key = GroupKeyOf(loaded);
    if (InGroup(slot, key)) continue;
    EngineGroup& group = groups_[key];
    group.slots.push_back(slot);
    group.node_hashes.push_back(entry.node_hash);
    entry.groups.push_back(key);
  }
}

void EngineTable::RemoveFromGroups(EngineSlot slot) {
  std::erase(stores_, slot);
  for (const std::uint64_t key : entries_[slot].groups) {
    const auto it = groups_.find(key);
    EngineGroup& group = it->second;
    const auto at = std::find(group.slots.begin(), group.slots.end(), slot);
    group.node_hashes.erase(group.node_hashes.begin() +
                            (at - group.slots.begin()));
    group.slots.erase(at);
    if (group.slots.empty()) groups_.erase(it);
  }
  entries_[slot].groups.clear();
}

std::optional<EngineSlot> EngineTable::Find(const UpstreamId& id) const {
  const auto it = slots_.find(id);
  if (it == slots_.end()) return std::nullopt;
  return it->second;
}

std::uint64_t EngineTable::GroupKey(const CacheScope& scope) {
  return GroupKeyOf({scope.model, scope.adapter, scope.weights});
}

const EngineGroup* EngineTable::Group(std::uint64_t group_key) const {
  const auto it = groups_.find(group_key);
  return it == groups_.end() ? nullptr : &it->second;
}

bool EngineTable::InGroup(EngineSlot slot, std::uint64_t group_key) const {
  const std::vector<std::uint64_t>& groups = entries_[slot].groups;
  return std::find(groups.begin(), groups.end(), group_key) != groups.end();
}

double EngineTable::RoundTripSeconds(const UpstreamInfo& info) const {
  if (info.region != region_) return kRegionRoundTripSeconds;
  return info.domain == domain_ ? 0.0 : kDomainRoundTripSeconds;
}

}  // namespace yuccapick
