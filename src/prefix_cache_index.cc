#include "yuccapick/prefix_cache_index.h"

#include <algorithm>

namespace yuccapick {
namespace {

constexpr double kMinLifetimeSeconds = 1.0;
constexpr double kLifetimeSmoothing = 0.05;
/// Entries stay valid for this multiple of the mean idle time at eviction.
constexpr double kLifetimeMargin = 1.5;
constexpr std::chrono::milliseconds kMaxLifetime{600'000};

double Seconds(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

PrefixCacheIndex::PrefixCacheIndex(std::size_t max_entries_per_engine)
    : max_entries_per_engine_(max_entries_per_engine) {}

PrefixCacheIndex::Engine& PrefixCacheIndex::EngineAt(EngineSlot slot) {
  if (slot >= engines_.size()) engines_.resize(slot + 1);
  return engines_[slot];
}

void PrefixCacheIndex::Reset(EngineSlot slot) {
  Clear(slot);
  engines_[slot].lifetime_seconds = 0;
  ++engines_[slot].generation;
}

void PrefixCacheIndex::Clear(EngineSlot slot) {
  Engine& engine = EngineAt(slot);
  for (const TrimEntry& entry : engine.queue) Erase(slot, entry.chain_hash);
  engine.queue.clear();
  engine.size = 0;
}

PrefixHolder* PrefixCacheIndex::Find(EngineSlot slot,
                                     std::uint64_t chain_hash) {
  const auto it = holders_.find(chain_hash);
  if (it == holders_.end()) return nullptr;
  for (PrefixHolder& holder : it->second) {
    if (holder.slot == slot) return &holder;
  }
  return nullptr;
}

bool PrefixCacheIndex::Erase(EngineSlot slot, std::uint64_t chain_hash) {
  const auto it = holders_.find(chain_hash);
  if (it == holders_.end()) return false;
  HolderList& list = it->second;
  const auto found = std::find_if(
      list.begin(), list.end(),
      [slot](const PrefixHolder& holder) { return holder.slot == slot; });
  if (found == list.end()) return false;
  *found = list.back();
  list.pop_back();
  if (list.empty()) holders_.erase(it);
  return true;
}

void PrefixCacheIndex::Store(EngineSlot slot, std::uint64_t chain_hash,
                             TimePoint used) {
  Engine& engine = EngineAt(slot);
  if (PrefixHolder* holder = Find(slot, chain_hash)) {
    holder->last_used = std::max(holder->last_used, used);
    return;
  }
  holders_[chain_hash].push_back({slot, engine.generation, used});
  engine.queue.push_back({chain_hash, used});
  ++engine.size;
  Trim(slot);
}

void PrefixCacheIndex::Evict(EngineSlot slot, std::uint64_t chain_hash,
                             TimePoint now) {
  Engine& engine = EngineAt(slot);
  const PrefixHolder* holder = Find(slot, chain_hash);
  if (holder == nullptr) return;
  const double idle = std::max(0.0, Seconds(now - holder->last_used));
  if (engine.lifetime_seconds == 0) engine.lifetime_seconds = idle;
  engine.lifetime_seconds +=
      kLifetimeSmoothing * (idle - engine.lifetime_seconds);
  Erase(slot, chain_hash);
  --engine.size;
}

void PrefixCacheIndex::OnMiss(EngineSlot slot, double idle_seconds) {
  double& lifetime = EngineAt(slot).lifetime_seconds;
  // A miss soon after use does not show how long unused entries survive.
  if (idle_seconds < kMinLifetimeSeconds) return;
  if (lifetime == 0) lifetime = idle_seconds;
  if (idle_seconds > lifetime) return;
  lifetime += kLifetimeSmoothing * (idle_seconds - lifetime);
}

void PrefixCacheIndex::Trim(EngineSlot slot) {
  Engine& engine = engines_[slot];
  while (engine.size > max_entries_per_engine_ ||
         engine.queue.size() > 2 * max_entries_per_engine_) {
    const TrimEntry oldest = engine.queue.front();
    engine.queue.pop_front();
    const PrefixHolder* holder = Find(slot, oldest.chain_hash);
    // The queue may still contain entries that were evicted.
    if (holder == nullptr) continue;
    if (holder->last_used > oldest.used_at) {
      engine.queue.push_back({oldest.chain_hash, holder->last_used});
      continue;
    }
    Erase(slot, oldest.chain_hash);
    --engine.size;
  }
}

std::span<const PrefixHolder> PrefixCacheIndex::Holders(
    std::uint64_t chain_hash) const {
  const auto it = holders_.find(chain_hash);
  if (it == holders_.end()) return {};
  return {it->second.data(), it->second.size()};
}

bool PrefixCacheIndex::Valid(const PrefixHolder& holder, TimePoint now) const {
  if (holder.slot >= engines_.size()) return false;
  if (engines_[holder.slot].generation != holder.generation) return false;
  return now - holder.last_used <= Lifetime(holder.slot);
}

std::chrono::milliseconds PrefixCacheIndex::Lifetime(EngineSlot slot) const {
  if (slot >= engines_.size() || engines_[slot].lifetime_seconds == 0) {
    return kMaxLifetime;
  }
  const double lifetime = kLifetimeMargin * engines_[slot].lifetime_seconds;
  return std::min(kMaxLifetime,
                  std::chrono::milliseconds(
                      static_cast<std::int64_t>(lifetime * 1000.0) + 1));
}

std::size_t PrefixCacheIndex::Size(EngineSlot slot) const {
  return slot < engines_.size() ? engines_[slot].size : 0;
}

std::size_t PrefixCacheIndex::MemoryBytes() const {
  std::size_t bytes = engines_.capacity() * sizeof(Engine);
  for (const Engine& engine : engines_) {
    bytes += engine.queue.size() * sizeof(TrimEntry);
  }
  bytes += holders_.capacity() * (sizeof(std::uint64_t) + sizeof(HolderList));
  for (const auto& [chain_hash, list] : holders_) {
    if (list.size() > 1) bytes += list.capacity() * sizeof(PrefixHolder);
  }
  return bytes;
}

}  // namespace yuccapick
