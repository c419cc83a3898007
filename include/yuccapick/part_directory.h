#ifndef YUCCAPICK_PART_DIRECTORY_H_
#define YUCCAPICK_PART_DIRECTORY_H_

/// @file
/// Which upstreams are thought to have cached which prompt parts.

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

/// Hash of a part with all parts before it, and their tokens together.
struct PartLink {
  std::uint64_t hash = 0;
  std::uint32_t tokens = 0;
};

/// The shared parts of a prompt: all but the last one.
using PartChain = std::vector<PartLink>;

/// @param scope parts are cached within one scope only
PartChain SharedChain(std::string_view scope,
                      const std::vector<PromptPart>& parts);

struct PartDirectoryOptions {
  /// Parts not used for this long are taken for evicted by an engine.
  std::chrono::milliseconds engine_lifetime{4'000};
  /// The same for the KV store.
  std::chrono::milliseconds store_lifetime{60'000};
  std::size_t max_parts = 8'192;
};

/// Learns from answered requests and from peers. It may be wrong: a miss costs
/// time, never a wrong answer.
class PartDirectory {
 public:
  explicit PartDirectory(PartDirectoryOptions options = {})
      : options_(options) {}

  // Commands.

  /// The parts of `chain` are cached at `upstream` now.
  void OnUsed(const PartChain& chain, const UpstreamId& upstream,
              TimePoint now);
  /// The chain that ends with `hash` was put into the KV store.
  void OnExported(std::uint64_t hash, TimePoint now);
  /// Nothing is cached at `upstream` any more.
  void OnCacheLost(const UpstreamId& upstream);
  /// The KV store is empty again.
  void OnStoreLost();

  // Queries.

  /// Tokens from the beginning that `upstream` holds.
  std::uint32_t TokensAt(const PartChain& chain, const UpstreamId& upstream,
                         TimePoint now) const;
  /// @return the upstream that used the whole chain last, or null
  const UpstreamId* NewestHolder(const PartChain& chain, TimePoint now) const;
  /// True if the KV store holds the whole chain.
  bool Exported(const PartChain& chain, TimePoint now) const;

 private:
  struct Holder {
    UpstreamId upstream;
    TimePoint used_at;
  };
  struct KnownPart {
    std::vector<Holder> holders;
    TimePoint used_at;
    TimePoint exported_at;
  };

  void DropOldest();

  PartDirectoryOptions options_;
  absl::flat_hash_map<std::uint64_t, KnownPart> parts_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_PART_DIRECTORY_H_
