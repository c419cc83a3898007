#ifndef YUCCAPICK_PART_DIRECTORY_H_
#define YUCCAPICK_PART_DIRECTORY_H_

/// @file
/// Index of the prompt parts that upstreams are believed to cache.

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "yuccapick/ids.h"
#include "yuccapick/part_messages.h"

namespace yuccapick {

/// One part of a prompt as listed by the caller. The last part of each prompt
/// is the request's own; the others may be shared with other requests.
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
};

/// Hash of a part's id, the same in all cache scopes.
using PartId = NumericId<struct PartIdTag>;

PartId PartIdOf(std::string_view id);
/// Returns the ids of all parts but the last one, in order.
std::vector<PartId> SharedPartIds(const std::vector<PromptPart>& parts);

/// A part within a cache scope. Parts are shared within one scope only.
struct PartKey {
  std::uint64_t hash = 0;
  std::uint32_t tokens = 0;
};

/// The shared parts of a prompt, in order: all but the last one.
using PartChain = std::vector<PartKey>;

/// Returns the hash that identifies part `id` within `scope`.
std::uint64_t PartHash(std::string_view scope, std::string_view id);
/// Returns the shared parts of a prompt with their hashes within `scope`.
PartChain SharedChain(std::string_view scope,
                      const std::vector<PromptPart>& parts);

/// A change of a cache's contents, as reported by the cache.
struct CacheChange {
  std::uint64_t part_hash = 0;
  bool held = false;         ///< The change stored tokens of the part.
  std::uint32_t tokens = 0;  ///< Held afterwards, from the part's beginning.
};

/// An upstream that holds the beginning of a prompt.
struct PartHolder {
  UpstreamId upstream;
  std::uint32_t importable_tokens = 0;  ///< Can be imported now.
  std::uint32_t expected_tokens = 0;    ///< Including those being computed.
  TimePoint known_at;  ///< Last report or use of the first part.
};

struct PartDirectoryOptions {
  /// A part that was neither used nor reported for this long counts as evicted.
  std::chrono::milliseconds engine_lifetime{12'000};
  std::chrono::milliseconds store_lifetime{60'000};
  /// Parts that a sent request is computing count as held for this long; by
  /// then it has computed them.
  std::chrono::milliseconds pending_lifetime{1'500};
  std::size_t max_parts = 16'384;
};

/// Records which upstreams hold which parts, from cache events, answered
/// requests and peers. It may be out of date: a wrong entry costs time but
/// never gives a wrong answer. Bounded in memory.
class PartDirectory {
 public:
  explicit PartDirectory(PartDirectoryOptions options = {})
      : options_(options) {}

  // Commands.

  void OnEngineChange(const UpstreamId& upstream, const CacheChange& change,
                      TimePoint now);
  /// @param store endpoint of the KV store
  void OnStoreChange(const std::string& store, const CacheChange& change,
                     TimePoint now);
  /// A request that will compute the parts of `chain` was sent to `upstream`.
  /// Later requests to it find them, but other upstreams cannot import them
  /// yet.
  void OnSent(const PartChain& chain, const UpstreamId& upstream,
              TimePoint now);
  /// A request has used the parts of `chain` at `upstream`, which holds them
  /// now.
  void OnUsed(const PartChain& chain, const UpstreamId& upstream,
              TimePoint now);
  /// A peer told what an engine or KV store holds of a part.
  void OnHolderUpdate(const HolderUpdate& update, TimePoint now);
  /// The owner of the last part of `chain` told who holds that part. Its
  /// holders are taken to hold the parts before it, which are used more often.
  void OnHoldersLearned(const PartChain& chain,
                        const std::vector<HolderRecord>& holders,
                        TimePoint now);
  /// A request has exported the parts of `chain` to a KV store.
  void OnExported(const PartChain& chain, const std::string& store,
                  TimePoint now);
  /// The upstream lost its cache, for example in a restart.
  void OnEngineLost(const UpstreamId& upstream);
  /// The KV store lost its contents.
  void OnStoreLost(const std::string& store);

  // Queries.

  /// Returns how many tokens from the chain's beginning `upstream` holds,
  /// including those being computed.
  std::uint32_t TokensAt(const PartChain& chain, const UpstreamId& upstream,
                         TimePoint now) const;
  /// Returns the upstreams that hold or are computing the chain's first part,
  /// sorted by the tokens that can be imported and then by most recent use.
  std::vector<PartHolder> Holders(const PartChain& chain, TimePoint now) const;
  /// Returns what is known of the engines and KV stores that hold, compute or
  /// have lately evicted a part.
  std::vector<HolderRecord> HoldersOf(std::uint64_t part_hash,
                                      TimePoint now) const;
  /// Returns how many tokens from the chain's beginning a KV store holds.
  std::uint32_t TokensInStore(const PartChain& chain, const std::string& store,
                              TimePoint now) const;
  std::size_t size() const { return parts_.size(); }

 private:
  struct Holder {
    UpstreamId upstream;
    std::uint32_t tokens = 0;  ///< 0 if evicted.
    TimePoint known_at;
    bool pending = false;  ///< Being computed.
  };
  struct KnownPart {
    std::vector<Holder> holders;  ///< Engines.
    std::vector<Holder> stores;   ///< KV stores, by endpoint.
    TimePoint used_at;            ///< Last use or report.
  };

  static Holder* FindHolder(std::vector<Holder>& holders,
                            const UpstreamId& upstream);
  static void RecordHolder(std::vector<Holder>& holders,
                           const UpstreamId& upstream, std::uint32_t tokens,
                           TimePoint now);
  /// Records the holder unless something newer is known of it. What is held
  /// stays held while another request that uses it is computed.
  static void MergeHolder(std::vector<Holder>& holders, const Holder& learned);
  static void EraseHolder(std::vector<Holder>& holders,
                          const UpstreamId& upstream);
  std::chrono::milliseconds LifetimeOf(const Holder& holder) const {
    return holder.pending ? options_.pending_lifetime
                          : options_.engine_lifetime;
  }
  /// Whether parts that are being computed count as held.
  enum class Include : std::uint8_t { kComputed, kComputedAndPending };

  std::uint32_t HeldTokens(const PartKey& key, const UpstreamId& upstream,
                           Include include, TimePoint now) const;
  std::uint32_t HeldPrefixTokens(const PartChain& chain,
                                 const UpstreamId& upstream, Include include,
                                 TimePoint now) const;
  KnownPart& FindOrAdd(std::uint64_t hash, TimePoint now);
  void DropOlderHalf();

  PartDirectoryOptions options_;
  absl::flat_hash_map<std::uint64_t, KnownPart> parts_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_PART_DIRECTORY_H_
