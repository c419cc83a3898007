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

PartDirectory::Holder* PartDirectory::FindHolder(std::vector<Holder>& holders,
                                                 const UpstreamId& upstream) {
  const auto it = std::find_if(
      holders.begin(), holders.end(),
      [&upstream](const Holder& h) { return h.upstream == upstream; });
  return it == holders.end() ? nullptr : &*it;
}

void PartDirectory::EraseHolder(std::vector<Holder>& holders,
                                const UpstreamId& upstream) {
  std::erase_if(holders, [&upstream](const Holder& holder) {
    return holder.upstream == upstream;
  });
}

void PartDirectory::RecordHolder(std::vector<Holder>& holders,
                                 const UpstreamId& upstream,
                                 std::uint32_t tokens, TimePoint now) {
  const Holder recorded{upstream, tokens, now, false};
  Holder* holder = FindHolder(holders, upstream);
  if (holder == nullptr) {
    holders.push_back(recorded);
  } else {
    *holder = recorded;
  }
}

void PartDirectory::MergeHolder(std::vector<Holder>& holders,
                                const Holder& learned) {
  Holder* holder = FindHolder(holders, learned.upstream);
  if (holder == nullptr) {
    holders.push_back(learned);
  } else if (holder->known_at < learned.known_at) {
    const bool held = !holder->pending && holder->tokens >= learned.tokens;
    *holder = learned;
    holder->pending = learned.pending && !held;
  }
}

void PartDirectory::OnEngineChange(const UpstreamId& upstream,
                                   const CacheChange& change, TimePoint now) {
  if (change.held || change.tokens > 0) {
    return RecordHolder(FindOrAdd(change.part_hash, now).holders, upstream,
                        change.tokens, now);
  }
  // The eviction is kept, so that peers' older knowledge doesn't replace it.
  const auto it = parts_.find(change.part_hash);
  if (it != parts_.end()) RecordHolder(it->second.holders, upstream, 0, now);
}

void PartDirectory::OnStoreChange(const std::string& store,
                                  const CacheChange& change, TimePoint now) {
  RecordHolder(FindOrAdd(change.part_hash, now).stores, UpstreamId(store),
               change.tokens, now);
}

void PartDirectory::OnSent(const PartChain& chain, const UpstreamId& upstream,
                           TimePoint now) {
  for (const PartKey& key : chain) {
    KnownPart& part = FindOrAdd(key.hash, now);
    const Holder sent{upstream, key.tokens, now, true};
    Holder* holder = FindHolder(part.holders, upstream);
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
    RecordHolder(FindOrAdd(key.hash, now).holders, upstream, key.tokens, now);
  }
}

void PartDirectory::OnHolderUpdate(const HolderUpdate& update, TimePoint now) {
  if (update.from_cache && !parts_.contains(update.part_hash)) return;
  const HolderRecord& holder = update.holder;
  const CacheChange change{update.part_hash, holder.tokens > 0, holder.tokens};
  if (holder.kv_store) {
    OnStoreChange(holder.upstream.value, change, now);
  } else if (holder.pending) {
    OnSent({{update.part_hash, holder.tokens}}, holder.upstream, now);
  } else {
    OnEngineChange(holder.upstream, change, now);
  }
}

void PartDirectory::OnHoldersLearned(const PartChain& chain,
                                     const std::vector<HolderRecord>& holders,
                                     TimePoint now) {
  if (chain.empty()) return;
  for (const HolderRecord& it : holders) {
    const auto merge = [&](const PartKey& key, std::uint32_t tokens) {
      KnownPart& part = FindOrAdd(key.hash, now);
      MergeHolder(it.kv_store ? part.stores : part.holders,
                  {it.upstream, tokens, now - it.age, it.pending});
    };
    merge(chain.back(), it.tokens);
    if (it.tokens == 0) continue;
    for (std::size_t i = 0; i + 1 < chain.size(); ++i) {
      merge(chain[i], chain[i].tokens);
    }
  }
}

void PartDirectory::OnExported(const PartChain& chain, const std::string& store,
                               TimePoint now) {
  for (const PartKey& key : chain) {
    RecordHolder(FindOrAdd(key.hash, now).stores, UpstreamId(store), key.tokens,
                 now);
  }
}

void PartDirectory::OnEngineLost(const UpstreamId& upstream) {
  for (auto& [hash, part] : parts_) EraseHolder(part.holders, upstream);
}

void PartDirectory::OnStoreLost(const std::string& store) {
  for (auto& [hash, part] : parts_) EraseHolder(part.stores, UpstreamId(store));
}

std::vector<HolderRecord> PartDirectory::HoldersOf(std::uint64_t part_hash,
                                                   TimePoint now) const {
  using std::chrono::milliseconds;
  const auto it = parts_.find(part_hash);
  if (it == parts_.end()) return {};
  std::vector<HolderRecord> found;
  const auto add = [&](const Holder& holder, milliseconds lifetime,
                       bool kv_store) {
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - holder.known_at);
    if (age >= lifetime) return;
    found.push_back(
        {holder.upstream, holder.tokens, holder.pending, age, kv_store});
  };
  for (const Holder& holder : it->second.holders) {
    add(holder, LifetimeOf(holder), false);
  }
  for (const Holder& holder : it->second.stores) {
    add(holder, options_.store_lifetime, true);
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
                                           const std::string& store,
                                           TimePoint now) const {
  std::uint32_t tokens = 0;
  for (const PartKey& key : chain) {
    const auto it = parts_.find(key.hash);
    if (it == parts_.end()) break;
    const auto& stores = it->second.stores;
    const auto holder = std::find_if(
        stores.begin(), stores.end(),
        [&store](const Holder& h) { return h.upstream.value == store; });
    if (holder == stores.end()) break;
    if (now - holder->known_at >= options_.store_lifetime) break;
    if (!CoversPart(holder->tokens, key.tokens)) break;
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
