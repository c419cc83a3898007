#include "yuccapick/part_directory.h"

#include <xxhash.h>

#include <algorithm>

namespace yuccapick {

PartChain SharedChain(std::string_view scope,
                      const std::vector<PromptPart>& parts) {
  PartChain chain;
  std::uint64_t hash = XXH3_64bits(scope.data(), scope.size());
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    const PromptPart& part = parts[i];
    hash = XXH3_64bits_withSeed(part.id.data(), part.id.size(), hash);
    tokens += part.tokens;
    chain.push_back({hash, tokens});
  }
  return chain;
}

void PartDirectory::OnUsed(const PartChain& chain, const UpstreamId& upstream,
                           TimePoint now) {
  for (const PartLink& link : chain) {
    KnownPart& part = parts_[link.hash];
    part.used_at = now;
    const auto it = std::find_if(
        part.holders.begin(), part.holders.end(),
        [&upstream](const Holder& h) { return h.upstream == upstream; });
    if (it != part.holders.end()) {
      it->used_at = now;
    } else {
      part.holders.push_back({upstream, now});
    }
  }
  if (parts_.size() > options_.max_parts) DropOldest();
}

void PartDirectory::OnExported(std::uint64_t hash, TimePoint now) {
  KnownPart& part = parts_[hash];
  part.exported_at = now;
  part.used_at = now;
  if (parts_.size() > options_.max_parts) DropOldest();
}

void PartDirectory::OnCacheLost(const UpstreamId& upstream) {
  for (auto& [hash, part] : parts_) {
    std::erase_if(part.holders, [&upstream](const Holder& holder) {
      return holder.upstream == upstream;
    });
  }
}

void PartDirectory::OnStoreLost() {
  for (auto& [hash, part] : parts_) part.exported_at = TimePoint();
}

std::uint32_t PartDirectory::TokensAt(const PartChain& chain,
                                      const UpstreamId& upstream,
                                      TimePoint now) const {
  for (auto link = chain.rbegin(); link != chain.rend(); ++link) {
    const auto it = parts_.find(link->hash);
    if (it == parts_.end()) continue;
    for (const Holder& holder : it->second.holders) {
      if (holder.upstream != upstream) continue;
      if (now - holder.used_at < options_.engine_lifetime) return link->tokens;
    }
  }
  return 0;
}

const UpstreamId* PartDirectory::NewestHolder(const PartChain& chain,
                                              TimePoint now) const {
  if (chain.empty()) return nullptr;
  const auto it = parts_.find(chain.back().hash);
  if (it == parts_.end()) return nullptr;
  const Holder* newest = nullptr;
  for (const Holder& holder : it->second.holders) {
    if (now - holder.used_at >= options_.engine_lifetime) continue;
    if (newest == nullptr || holder.used_at > newest->used_at) newest = &holder;
  }
  return newest == nullptr ? nullptr : &newest->upstream;
}

bool PartDirectory::Exported(const PartChain& chain, TimePoint now) const {
  if (chain.empty()) return false;
  const auto it = parts_.find(chain.back().hash);
  if (it == parts_.end() || it->second.exported_at == TimePoint()) return false;
  return now - it->second.exported_at < options_.store_lifetime;
}

void PartDirectory::DropOldest() {
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
