#ifndef YUCCAPICK_PART_DIRECTORY_H_
#define YUCCAPICK_PART_DIRECTORY_H_

/// @file
/// Which upstreams have cached which prompt parts, as far as is known.

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "yuccapick/ids.h"

namespace yuccapick {

/// One part of a prompt, in order; the last one is the request's own.
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
};

/// A part within a cache scope. Parts are shared within one scope only.
struct PartKey {
  std::uint64_t hash = 0;
  std::uint32_t tokens = 0;
};

/// The shared parts of a prompt in order: all but the last one.
using PartChain = std::vector<PartKey>;

std::uint64_t PartHash(std::string_view scope, std::string_view id);
PartChain SharedChain(std::string_view scope,
                      const std::vector<PromptPart>& parts);

/// A change of what a cache holds, as the cache tells it.
struct CacheChange {
  std::uint64_t part_hash = 0;
  bool held = false;
  std::uint32_t tokens = 0;  ///< Held now; a part may be held up to here.
};

/// An upstream that holds the beginning of a prompt.
struct PartHolder {
  UpstreamId upstream;
  std::uint32_t read_tokens = 0;      ///< Can be imported now.
  std::uint32_t expected_tokens = 0;  ///< With those being read.
  TimePoint known_at;                 ///< Of the first part.
};

struct PartDirectoryOptions {
  /// A part that was neither used nor told of for this long counts as evicted.
  std::chrono::milliseconds engine_lifetime{12'000};
  std::chrono::milliseconds store_lifetime{60'000};
  /// A request that was sent has read its parts after this long.
  std::chrono::milliseconds pending_lifetime{1'500};
  std::size_t max_parts = 16'384;
};

/// Learns from the caches' events, from answered requests and from peers. It
/// may be wrong: a miss costs time, never a wrong answer.
class PartDirectory {
 public:
  explicit PartDirectory(PartDirectoryOptions options = {})
      : options_(options) {}

  // Commands.

  void OnEngineChange(const UpstreamId& upstream, const CacheChange& change,
                      TimePoint now);
  void OnStoreChange(const CacheChange& change, TimePoint now);
  /// A request that will read the parts of `chain` was sent to `upstream`.
  /// Later ones that go there too find them, but nobody can import them yet.
  void OnSent(const PartChain& chain, const UpstreamId& upstream,
              TimePoint now);
  /// A request has read the parts of `chain` at `upstream`.
  void OnUsed(const PartChain& chain, const UpstreamId& upstream,
              TimePoint now);
  /// A request has put the parts of `chain` into the KV store.
  void OnExported(const PartChain& chain, TimePoint now);
  /// Nothing is cached at `upstream` any more.
  void OnEngineLost(const UpstreamId& upstream);
  /// The KV store is empty again.
  void OnStoreLost();

  // Queries.

  /// Tokens from the beginning that `upstream` holds.
  std::uint32_t TokensAt(const PartChain& chain, const UpstreamId& upstream,
                         TimePoint now) const;
  /// Upstreams that hold the chain's first part or read it now, those that hold
  /// most first, then the last one to use it.
  std::vector<PartHolder> Holders(const PartChain& chain, TimePoint now) const;
  /// True if some request had the part among its shared ones.
  bool IsShared(std::uint64_t part_hash) const;
  /// Tokens from the beginning that the KV store holds.
  std::uint32_t TokensInStore(const PartChain& chain, TimePoint now) const;
  std::size_t size() const { return parts_.size(); }

 private:
  struct Holder {
    UpstreamId upstream;
    std::uint32_t tokens = 0;
    TimePoint known_at;
    bool pending = false;  ///< Being read.
  };
  struct KnownPart {
    std::vector<Holder> holders;
    bool shared = false;
    std::uint32_t store_tokens = 0;
    TimePoint in_store_at;
    TimePoint used_at;
  };

  static void Hold(KnownPart& part, const UpstreamId& upstream,
                   std::uint32_t tokens, TimePoint now);
  enum class Count : std::uint8_t { kRead, kExpected };

  std::uint32_t HeldAt(const PartKey& key, const UpstreamId& upstream,
                       Count count, TimePoint now) const;
  std::uint32_t CountAt(const PartChain& chain, const UpstreamId& upstream,
                        Count count, TimePoint now) const;
  KnownPart& Touch(std::uint64_t hash, TimePoint now);
  void DropOldest();

  PartDirectoryOptions options_;
  absl::flat_hash_map<std::uint64_t, KnownPart> parts_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_PART_DIRECTORY_H_
