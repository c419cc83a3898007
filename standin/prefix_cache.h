#ifndef YUCCAPICK_STANDIN_PREFIX_CACHE_H_
#define YUCCAPICK_STANDIN_PREFIX_CACHE_H_

/// @file
/// Prefix cache of an engine and its events.

#include <xxhash.h>

#include <chrono>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "standin/answer_text.h"

namespace yuccapick::standin {

using Clock = std::chrono::steady_clock;

struct CacheOptions {
  std::uint64_t capacity_blocks = 512;
  std::uint64_t block_tokens = 4096;
  std::chrono::milliseconds idle_limit{0};  ///< 0 keeps idle blocks.
};

/// A change of the cache.
struct BlockEvent {
  std::string kind;  ///< `stored`, `evicted` or `cleared`.
  std::uint64_t block = 0;
  std::string request;
  std::uint64_t end_token = 0;
};

/// LRU cache of prompt blocks, identified by the hash of the prefix they end.
class PrefixCache {
 public:
  explicit PrefixCache(CacheOptions options) : options_(options) {}

  // Commands.

  /// Stores all `blocks` and marks them as used.
  void Store(const std::vector<std::uint64_t>& blocks,
             const std::string& request, Clock::time_point now) {
    std::uint64_t end_token = 0;
    for (const std::uint64_t block : blocks) {
      end_token += options_.block_tokens;
      if (Touch(block, now)) continue;
      lru_.push_front({block, now});
      index_[block] = lru_.begin();
      events_.push_back({"stored", block, request, end_token});
    }
    while (lru_.size() > options_.capacity_blocks) EvictOldest();
  }

  /// Evicts blocks that were not used for the idle limit.
  void EvictIdle(Clock::time_point now) {
    if (options_.idle_limit.count() == 0) return;
    while (!lru_.empty() &&
           lru_.back().last_used + options_.idle_limit <= now) {
      EvictOldest();
    }
  }

  void Clear() {
    lru_.clear();
    index_.clear();
    events_.push_back({"cleared", 0, "", 0});
  }

  /// Returns the events since the last call, in order.
  std::vector<BlockEvent> TakeEvents() { return std::exchange(events_, {}); }

  // Queries.

  /// Returns the ids of the full blocks of a prompt.
  std::vector<std::uint64_t> Blocks(std::uint64_t salt,
                                    std::string_view prompt) const {
    const std::size_t bytes = options_.block_tokens * kTokenBytes;
    std::vector<std::uint64_t> blocks;
    std::uint64_t chain = salt;
    for (std::size_t offset = 0; offset + bytes <= prompt.size();
         offset += bytes) {
      chain = XXH3_64bits_withSeed(prompt.data() + offset, bytes, chain);
      blocks.push_back(chain);
    }
    return blocks;
  }

  /// Returns the length of the cached prefix, in tokens.
  std::uint64_t CachedTokens(const std::vector<std::uint64_t>& blocks) const {
    std::uint64_t n = 0;
    while (n < blocks.size() && index_.contains(blocks[n])) ++n;
    return n * options_.block_tokens;
  }

  std::size_t size() const { return lru_.size(); }
  const CacheOptions& options() const { return options_; }

 private:
  struct Entry {
    std::uint64_t block;
    Clock::time_point last_used;
  };

  bool Touch(std::uint64_t block, Clock::time_point now) {
    auto it = index_.find(block);
    if (it == index_.end()) return false;
    it->second->last_used = now;
    lru_.splice(lru_.begin(), lru_, it->second);
    return true;
  }

  void EvictOldest() {
    const std::uint64_t block = lru_.back().block;
    index_.erase(block);
    lru_.pop_back();
    events_.push_back({"evicted", block, "", 0});
  }

  CacheOptions options_;
  std::list<Entry> lru_;  ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> index_;
  std::vector<BlockEvent> events_;
};

}  // namespace yuccapick::standin

#endif  // YUCCAPICK_STANDIN_PREFIX_CACHE_H_
