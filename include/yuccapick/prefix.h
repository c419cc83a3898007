#ifndef YUCCAPICK_PREFIX_H_
#define YUCCAPICK_PREFIX_H_

/// @file
/// Identity of prompt prefixes: a chain hash over nested levels and pieces.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Everything that cache entries may not be shared across.
struct CacheScope {
  TeamId team;
  ModelId model;
  AdapterId adapter;
  WeightVersion weights;
};

/// Returns the salt that seeds every chain of `scope`.
std::uint64_t CacheSalt(const CacheScope& scope);

/// A piece boundary of a prompt.
struct PrefixPiece {
  std::uint64_t chain_hash = 0;  ///< Over everything up to the piece's end.
  std::uint64_t end_byte = 0;    ///< Bytes of the prompt up to the piece's end.
  bool level_end = false;        ///< A level ends here.

  bool operator==(const PrefixPiece&) const = default;
};

/// Cuts a prompt into pieces, level ends first. Linear in the prompt.
/// @param levels prompt text by prefix level, coarsest first
/// @param piece_bytes longest piece within a level
std::vector<PrefixPiece> SplitPrefix(const CacheScope& scope,
                                     const std::vector<std::string>& levels,
                                     std::uint64_t piece_bytes);

}  // namespace yuccapick

#endif  // YUCCAPICK_PREFIX_H_
