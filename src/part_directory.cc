#include "yuccapick/part_directory.h"

#include <xxhash.h>

#include <algorithm>

namespace yuccapick {
namespace {

/// Caches keep whole blocks, so a part's last few tokens may not be held.
constexpr std::uint32_t kBlockTokens = 16;

bool CoversPart(std::uint32_t held, std::uint32_t part) {
  return held > 0 && held + kBlockTokens >= part;
}

}  // namespace

std::uint64_t PartHash(std::string_view scope, std::string_view id) {
  return XXH3_64bits_withSeed(id.data(), id.size(),
                              XXH3_64bits(scope.data(), scope.size()));
}

PartId PartIdOf(std::string_view id) { return PartId(PartHash("", id)); }

std::vector<PartId> SharedPartIds(const std::vector<PromptPart>& parts) {
  std::vector<PartId> ids;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    ids.push_back(PartIdOf(parts[i].id));
  }
  return ids;
}

PartChain SharedChain(std::string_view scope,
                      const std::vector<PromptPart>& parts) {
  PartChain chain;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    chain.push_back({PartHash(scope, parts[i].id), parts[i].tokens});
  }
  return chain;
}

PartDirectory::KnownPart& PartDirectory::FindOrAdd(std::uint64_t hash,
                                                   TimePoint now) {
  if (parts_.size() >= options_.max_parts) DropOlderHalf();
  KnownPart& part = parts_[hash];
  part.used_at = now;
  return part;
}

PartDirectory::Holder* PartDirectory::FindHolder(KnownPart& part,
                                                 const UpstreamId& upstream) {
  const auto it = std::find_if(
      part.holders.begin(), part.holders.end(),
      [&upstream](const Holder& h) { return h.upstream == upstream; });
  return it == part.holders.end() ? nullptr : &*it;
}

void PartDirectory::RecordHolder(KnownPart& part, const UpstreamId& upstream,
                                 std::uint32_t tokens, TimePoint now) {
  const Holder recorded{upstream, tokens, now, false};
  Holder* holder = FindHolder(part, upstream);
  if (holder == nullptr) {
    part.holders.push_back(recorded);
  } else {
    *holder = recorded;
  }
}

void PartDirectory::MergeHolder(KnownPart& part, const Holder& learned) {
  Holder* holder = FindHolder(part, learned.upstream);
  if (holder == nullptr) {
    part.holders.push_back(learned);
  } else if (holder->known_at < learned.known_at) {
    const bool held = !holder->pending && holder->tokens >= learned.tokens;
    *holder = learned;
    holder->pending = learned.pending && !held;
  }
}

void PartDirectory::OnEngineChange(const UpstreamId& upstream,
                                   const CacheChange& change, TimePoint now) {
  if (change.held || change.tokens > 0) {
    return RecordHolder(FindOrAdd(change.part_hash, now), upstream,
                        change.tokens, now);
  }
  // The eviction is kept, so that peers' older knowledge doesn't replace it.
  const auto it = parts_.find(change.part_hash);
  if (it != parts_.end()) RecordHolder(it->second, upstream, 0, now);
}

void PartDirectory::OnStoreChange(const CacheChange& change, TimePoint now) {
  KnownPart& part = FindOrAdd(change.part_hash, now);
  part.store_tokens = change.tokens;
  part.in_store_at = change.tokens > 0 ? now : TimePoint();
}

void PartDirectory::OnSent(const PartChain& chain, const UpstreamId& upstream,
                           TimePoint now) {
  for (const PartKey& key : chain) {
    KnownPart& part = FindOrAdd(key.hash, now);
    const Holder sent{upstream, key.tokens, now, true};
    Holder* holder = FindHolder(part, upstream);
    if (holder == nullptr) {
      part.holders.push_back(sent);
    } else if (holder->pending || holder->tokens == 0 ||
               now - holder->known_at >= options_.engine_lifetime) {
      *holder = sent;
    }
  }
}

void PartDirectory::OnUsed(const PartChain& chain, const UpstreamId& upstream,
                           TimePoint now) {
  for (const PartKey& key : chain) {
    RecordHolder(FindOrAdd(key.hash, now), upstream, key.tokens, now);
  }
}

void PartDirectory::OnHolderUpdate(const HolderUpdate& update, TimePoint now) {
  const HolderRecord& holder = update.holder;
  if (holder.pending) {
    return OnSent({{update.part_hash, holder.tokens}}, holder.upstream, now);
  }
  OnEngineChange(holder.upstream,
                 {update.part_hash, holder.tokens > 0, holder.tokens}, now);
}

void PartDirectory::OnHoldersLearned(const PartChain& chain,
                                     const std::vector<HolderRecord>& holders,
                                     TimePoint now) {
  if (chain.empty()) return;
  for (const HolderRecord& it : holders) {
    MergeHolder(FindOrAdd(chain.back().hash, now),
                {it.upstream, it.tokens, now - it.age, it.pending});
    if (it.tokens == 0) continue;
    for (std::size_t i = 0; i + 1 < chain.size(); ++i) {
      MergeHolder(FindOrAdd(chain[i].hash, now),
                  {it.upstream, chain[i].tokens, now - it.age, it.pending});
    }
  }
}

void PartDirectory::OnExported(const PartChain& chain, TimePoint now) {
  for (const PartKey& key : chain) {
    KnownPart& part = FindOrAdd(key.hash, now);
    part.store_tokens = key.tokens;
    part.in_store_at = now;
  }
}

void PartDirectory::OnEngineLost(const UpstreamId& upstream) {
  for (auto& [hash, part] : parts_) {
    std::erase_if(part.holders, [&upstream](const Holder& holder) {
      return holder.upstream == upstream;
    });
  }
}

void PartDirectory::OnStoreLost() {
  for (auto& [hash, part] : parts_) {
    part.store_tokens = 0;
    part.in_store_at = TimePoint();
  }
}

std::vector<HolderRecord> PartDirectory::HoldersOf(std::uint64_t part_hash,
                                                   TimePoint now) const {
  const auto it = parts_.find(part_hash);
  if (it == parts_.end()) return {};
  std::vector<HolderRecord> found;
  for (const Holder& holder : it->second.holders) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        now - holder.known_at);
    if (age >= LifetimeOf(holder)) continue;
    found.push_back({holder.upstream, holder.tokens, holder.pending, age});
  }
  return found;
}

std::uint32_t PartDirectory::HeldTokens(const PartKey& key,
                                        const UpstreamId& upstream,
                                        Include include, TimePoint now) const {
  const auto it = parts_.find(key.hash);
  if (it == parts_.end()) return 0;
  for (const Holder& holder : it->second.holders) {
    if (holder.upstream != upstream) continue;
    if (holder.pending && include == Include::kComputed) return 0;
    if (now - holder.known_at >= LifetimeOf(holder)) return 0;
    return CoversPart(holder.tokens, key.tokens)
               ? key.tokens
               : std::min(holder.tokens, key.tokens);
  }
  return 0;
}

std::uint32_t PartDirectory::HeldPrefixTokens(const PartChain& chain,
                                              const UpstreamId& upstream,
                                              Include include,
                                              TimePoint now) const {
  std::uint32_t tokens = 0;
  for (const PartKey& key : chain) {
    const std::uint32_t held = HeldTokens(key, upstream, include, now);
    tokens += held;
    if (held < key.tokens) break;
  }
  return tokens;
}

std::uint32_t PartDirectory::TokensAt(const PartChain& chain,
                                      const UpstreamId& upstream,
                                      TimePoint now) const {
  return HeldPrefixTokens(chain, upstream, Include::kComputedAndPending, now);
}

std::vector<PartHolder> PartDirectory::Holders(const PartChain& chain,
                                               TimePoint now) const {
  if (chain.empty()) return {};
  const auto it = parts_.find(chain.front().hash);
  if (it == parts_.end()) return {};
  std::vector<PartHolder> found;
  for (const Holder& holder : it->second.holders) {
    const UpstreamId& upstream = holder.upstream;
    const PartHolder entry{
        upstream, HeldPrefixTokens(chain, upstream, Include::kComputed, now),
        HeldPrefixTokens(chain, upstream, Include::kComputedAndPending, now),
        holder.known_at};
    if (entry.expected_tokens > 0) found.push_back(entry);
  }
  std::sort(found.begin(), found.end(),
            [](const PartHolder& a, const PartHolder& b) {
              if (a.importable_tokens != b.importable_tokens) {
                return a.importable_tokens > b.importable_tokens;
              }
              return a.known_at > b.known_at;
            });
  return found;
}

std::uint32_t PartDirectory::TokensInStore(const PartChain& chain,
                                           TimePoint now) const {
  std::uint32_t tokens = 0;
  for (const PartKey& key : chain) {
    const auto it = parts_.find(key.hash);
    if (it == parts_.end()) break;
    const KnownPart& part = it->second;
    if (part.in_store_at == TimePoint()) break;
    if (now - part.in_store_at >= options_.store_lifetime) break;
    if (!CoversPart(part.store_tokens, key.tokens)) break;
    tokens += key.tokens;
  }
  return tokens;
}

void PartDirectory::DropOlderHalf() {
  std::vector<TimePoint> times;
  times.reserve(parts_.size());
  for (const auto& [hash, part] : parts_) times.push_back(part.used_at);
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  const TimePoint oldest_kept = *middle;
  absl::erase_if(parts_, [oldest_kept](const auto& entry) {
    return entry.second.used_at < oldest_kept;
  });
}

}  // namespace yuccapick
