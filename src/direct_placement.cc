#include "yuccapick/direct_placement.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>

#include "yuccapick/rendezvous.h"

namespace yuccapick {

std::vector<DirectPlacement::ChainLink> DirectPlacement::SharedChain(
    const PlacementQuery& query) {
  std::vector<ChainLink> chain;
  std::uint64_t hash =
      XXH3_64bits(query.cache_scope.data(), query.cache_scope.size());
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i + 1 < query.parts.size(); ++i) {
    const PromptPart& part = query.parts[i];
    hash = XXH3_64bits_withSeed(part.id.data(), part.id.size(), hash);
    tokens += part.tokens;
    chain.push_back({hash, tokens});
  }
  return chain;
}

std::uint32_t DirectPlacement::KnownTokens(const std::vector<ChainLink>& chain,
                                           const UpstreamId& upstream,
                                           TimePoint now) const {
  for (auto link = chain.rbegin(); link != chain.rend(); ++link) {
    const auto it = parts_.find(link->hash);
    if (it == parts_.end()) continue;
    for (const Holder& holder : it->second.holders) {
      if (holder.upstream != upstream) continue;
      if (now - holder.used_at < options_.part_lifetime) return link->tokens;
    }
  }
  return 0;
}

const DirectPlacement::Holder* DirectPlacement::NewestHolder(
    std::uint64_t hash, TimePoint now) const {
  const auto it = parts_.find(hash);
  if (it == parts_.end()) return nullptr;
  const Holder* newest = nullptr;
  for (const Holder& holder : it->second.holders) {
    if (now - holder.used_at >= options_.part_lifetime) continue;
    if (newest == nullptr || holder.used_at > newest->used_at) newest = &holder;
  }
  return newest;
}

DirectPlacement::Cost DirectPlacement::WaitAt(const UpstreamEntry& upstream,
                                              std::uint64_t kv_capacity,
                                              const PlacementQuery& query,
                                              const UpstreamLoad& load,
                                              TimePoint now) const {
  const WorkAmount work = load.Total(upstream.id, now);
  Cost wait = options_.wait_per_request * work.requests;
  wait += Cost(static_cast<double>(work.prefill_tokens) /
               options_.prefill_tokens_per_ms);
  if (kv_capacity > 0) {
    const double used = static_cast<double>(
        work.kv_tokens + query.prompt_tokens + query.output_tokens);
    const double share = used / static_cast<double>(kv_capacity);
    if (share > options_.full_share) {
      wait += options_.full_cost * (1.0 + share - options_.full_share);
    }
  } else if (work.requests >= upstream.slots) {
    wait += options_.full_cost * (1 + work.requests - upstream.slots) /
            upstream.slots;
  }
  if (upstream.domain != options_.own_domain) {
    const double kilobytes = static_cast<double>(query.body_bytes) / 1'000.0;
    wait += options_.domain_cost + options_.domain_cost_per_kb * kilobytes;
  }
  return wait;
}

std::optional<DirectChoice> DirectPlacement::Choose(
    const PlacementQuery& query,
    const std::vector<PlacementCandidate>& candidates,
    std::uint64_t kv_capacity, const UpstreamLoad& load,
    const UpstreamHealth& health, TimePoint now) const {
  const std::vector<ChainLink> chain = SharedChain(query);
  const std::uint32_t shared = chain.empty() ? 0 : chain.back().tokens;
  const std::uint64_t key = chain.empty() ? 0 : chain.back().hash;

  const PlacementCandidate* home = nullptr;
  std::uint64_t home_score = 0;
  for (const PlacementCandidate& candidate : candidates) {
    if (chain.empty() || candidate.loading) continue;
    if (health.Paused(candidate.upstream->id, now)) continue;
    const std::uint64_t score =
        RendezvousScore(key, RendezvousNodeHash(candidate.upstream->id.value));
    if (home != nullptr && score <= home_score) continue;
    home = &candidate;
    home_score = score;
  }

  const Holder* holder = chain.empty() ? nullptr : NewestHolder(key, now);
  std::string holder_endpoint;
  if (holder != nullptr) {
    for (const PlacementCandidate& candidate : candidates) {
      if (candidate.upstream->id == holder->upstream && !candidate.loading) {
        holder_endpoint = candidate.upstream->endpoint;
      }
    }
  }
  if (holder_endpoint.empty() && home != nullptr) {
    holder_endpoint = home->upstream->endpoint;
  }

  std::optional<DirectChoice> best;
  for (const PlacementCandidate& candidate : candidates) {
    const UpstreamEntry& upstream = *candidate.upstream;
    if (std::find(query.tried.begin(), query.tried.end(), upstream.id) !=
        query.tried.end()) {
      continue;
    }
    DirectChoice choice;
    choice.upstream = upstream.id;
    choice.expected_hit_tokens = KnownTokens(chain, upstream.id, now);
    if (&candidate == home) choice.expected_hit_tokens = shared;
    choice.cost = WaitAt(upstream, kv_capacity, query, load, now);
    if (choice.expected_hit_tokens < shared && !holder_endpoint.empty() &&
        holder_endpoint != upstream.endpoint) {
      choice.import_from = holder_endpoint;
      choice.cost += options_.import_cost;
      choice.expected_hit_tokens = shared;
    }
    choice.missing_tokens =
        query.prompt_tokens -
        std::min(query.prompt_tokens, choice.expected_hit_tokens);
    choice.cost += Cost(static_cast<double>(choice.missing_tokens) /
                        options_.prefill_tokens_per_ms);
    choice.cost += options_.failure_cost * health.FailureRate(upstream.id, now);
    if (candidate.loading || health.Paused(upstream.id, now)) {
      choice.cost += options_.avoid_cost;
    }
    if (!best || choice.cost < best->cost) best = std::move(choice);
  }
  return best;
}

void DirectPlacement::OnServed(const PlacementQuery& query,
                               const UpstreamId& upstream, TimePoint now) {
  for (const ChainLink& link : SharedChain(query)) {
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
  if (parts_.size() > options_.max_known_parts) DropOldest();
}

void DirectPlacement::OnCacheLost(const UpstreamId& upstream) {
  for (auto& [hash, part] : parts_) {
    std::erase_if(part.holders, [&upstream](const Holder& holder) {
      return holder.upstream == upstream;
    });
  }
}

void DirectPlacement::DropOldest() {
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
