#ifndef YUCCAPICK_PREFIX_H_
#define YUCCAPICK_PREFIX_H_

/// @file
/// Identity of prompt prefixes: chain hashes over nested levels and
/// pieces.

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Cache entries are shared only between requests of equal scope.
struct CacheScope {
  TeamId team;
  ModelId model;
  AdapterId adapter;
  WeightVersion weights;
};

/// Returns the salt that seeds every chain of `scope`.
std::uint64_t CacheSalt(const CacheScope& scope);

/// The end of a piece of a prompt.
struct PrefixPiece {
  std::uint64_t chain_hash = 0;  ///< Over everything up to the piece's end.
  std::uint64_t end_byte = 0;    ///< Bytes of the prompt up to the piece's end.
  bool level_end = false;        ///< A level ends here.

  bool operator==(const PrefixPiece&) const = default;
};

/// Splits a prompt into pieces, the units in which prefixes are shared. A piece
/// ends at each level end and, within a level, after every `piece_bytes` bytes.
/// Runs in time linear in the prompt.
/// @param levels prompt text by prefix level, coarsest first
/// @param piece_bytes maximum size of a piece, in bytes
std::vector<PrefixPiece> SplitPrefix(const CacheScope& scope,
                                     const std::vector<std::string>& levels,
                                     std::uint64_t piece_bytes);

}  // namespace yuccapick

#endif  // YUCCAPICK_PREFIX_H_
