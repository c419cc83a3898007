#ifndef YUCCAPICK_STANDIN_PREFIX_CACHE_H_
#define YUCCAPICK_STANDIN_PREFIX_CACHE_H_

/// @file
/// An engine's cache of prompt blocks and the events that it publishes.

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

/// A change of the cache, in the order in which it happened.
struct BlockEvent {
  std::string kind;  ///< `stored`, `evicted` or `cleared`.
  std::uint64_t block = 0;
  std::string request;
  std::uint64_t end_token = 0;
};

/// Blocks of whole prompt prefixes, least recently used out first.
class PrefixCache {
 public:
  explicit PrefixCache(CacheOptions options) : options_(options) {}

  // Commands.

  /// Stores every full block of `blocks` and marks them used.
  void Store(const std::vector<std::uint64_t>& blocks,
             const std::string& request, Clock::time_point now) {
    std::uint64_t end_token = 0;
    for (const std::uint64_t block : blocks) {
      end_token += options_.block_tokens;
      if (Touch(block, now)) continue;
      order_.push_front({block, now});
      index_[block] = order_.begin();
      events_.push_back({"stored", block, request, end_token});
    }
    while (order_.size() > options_.capacity_blocks) EvictOldest();
  }

  /// Evicts blocks that were not used within the idle limit.
  void EvictIdle(Clock::time_point now) {
    if (options_.idle_limit.count() == 0) return;
    while (!order_.empty() && order_.back().used + options_.idle_limit <= now) {
      EvictOldest();
    }
  }

  void Clear() {
    order_.clear();
    index_.clear();
    events_.push_back({"cleared", 0, "", 0});
  }

  /// Returns the events since the last call.
  std::vector<BlockEvent> TakeEvents() { return std::exchange(events_, {}); }

  // Queries.

  /// Returns the ids of the full blocks of a prompt.
  std::vector<std::uint64_t> Blocks(std::uint64_t salt,
                                    std::string_view prompt) const {
    const std::size_t bytes = options_.block_tokens * kTokenBytes;
    std::vector<std::uint64_t> blocks;
    std::uint64_t chain = salt;
    for (std::size_t at = 0; at + bytes <= prompt.size(); at += bytes) {
      chain = XXH3_64bits_withSeed(prompt.data() + at, bytes, chain);
      blocks.push_back(chain);
    }
    return blocks;
  }

  /// Returns the number of tokens that are cached from the prompt's start.
  std::uint64_t CachedTokens(const std::vector<std::uint64_t>& blocks) const {
    std::uint64_t n = 0;
    while (n < blocks.size() && index_.contains(blocks[n])) ++n;
    return n * options_.block_tokens;
  }

  std::size_t size() const { return order_.size(); }
  const CacheOptions& options() const { return options_; }

 private:
  struct Entry {
    std::uint64_t block;
    Clock::time_point used;
  };

  bool Touch(std::uint64_t block, Clock::time_point now) {
    auto it = index_.find(block);
    if (it == index_.end()) return false;
    it->second->used = now;
    order_.splice(order_.begin(), order_, it->second);
    return true;
  }

  void EvictOldest() {
    const std::uint64_t block = order_.back().block;
    index_.erase(block);
    order_.pop_back();
    events_.push_back({"evicted", block, "", 0});
  }

  CacheOptions options_;
  std::list<Entry> order_;  ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<Entry>::iterator> index_;
  std::vector<BlockEvent> events_;
};

}  // namespace yuccapick::standin

#endif  // YUCCAPICK_STANDIN_PREFIX_CACHE_H_
