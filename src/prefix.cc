#include "yuccapick/prefix.h"

#include <xxhash.h>

#include <algorithm>

namespace yuccapick {
namespace {

/// Hashes a field and its length, so that scopes whose fields concatenate to
/// the same text get different salts.
std::uint64_t HashField(const std::string& field, std::uint64_t seed) {
  return XXH3_64bits_withSeed(field.data(), field.size(),
                              seed ^ (field.size() + 1));
}

}  // namespace

std::uint64_t CacheSalt(const CacheScope& scope) {
  std::uint64_t salt = HashField(scope.team.value, 0);
  salt = HashField(scope.model.value, salt);
  salt = HashField(scope.adapter.value, salt);
  return HashField(scope.weights.value, salt);
}

std::vector<PrefixPiece> SplitPrefix(const CacheScope& scope,
                                     const std::vector<std::string>& levels,
                                     std::uint64_t piece_bytes) {
  const std::uint64_t max_piece_bytes = std::max<std::uint64_t>(piece_bytes, 1);
  std::vector<PrefixPiece> pieces;
  std::uint64_t chain = CacheSalt(scope);
  std::uint64_t end_byte = 0;
  for (const std::string& level : levels) {
    std::uint64_t offset = 0;
    while (offset < level.size()) {
      const std::uint64_t size =
          std::min(max_piece_bytes, level.size() - offset);
      chain = XXH3_64bits_withSeed(level.data() + offset, size, chain);
      offset += size;
      end_byte += size;
      pieces.push_back({chain, end_byte, offset == level.size()});
    }
  }
  return pieces;
}

}  // namespace yuccapick
