#ifndef YUCCAPICK_RENDEZVOUS_H_
#define YUCCAPICK_RENDEZVOUS_H_

/// @file
/// Rendezvous hashing: every process computes the same ranking of nodes for a
/// key.

#include <cstdint>
#include <string_view>
#include <vector>

namespace yuccapick {

/// Returns the hash of a node's name for use in `RendezvousScore`.
std::uint64_t RendezvousNodeHash(std::string_view node);

/// Returns the score of a node for a key; the node with the highest score is
/// the key's home.
constexpr std::uint64_t RendezvousScore(std::uint64_t key,
                                        std::uint64_t node_hash) {
  std::uint64_t x = key ^ (node_hash * 0x9E3779B97F4A7C15ULL);
  x = (x ^ (x >> 30)) * 0xBF58476D1CE4E5B9ULL;
  x = (x ^ (x >> 27)) * 0x94D049BB133111EBULL;
  return x ^ (x >> 31);
}

/// Score of a node that shall be the home of more or fewer keys than others.
struct WeightedScore {
  std::uint64_t score = 0;  ///< See `RendezvousScore`.
  double weight = 1.0;      ///< The node's keys are in proportion to it.

  /// Nodes of equal weights compare as their scores do.
  bool operator<(const WeightedScore& other) const;
};

/// @param slowdown factor by which a node is slower than others
/// @return the node's weight, in steps of a factor of 1.41, so that changes of
///   an estimate rarely move keys
double RendezvousWeight(double slowdown);

/// Returns the positions in `node_hashes` of the `count` highest scores for
/// `key`, the highest first. A shorter list is a prefix of a longer one.
std::vector<std::uint32_t> RendezvousHomes(
    std::uint64_t key, const std::vector<std::uint64_t>& node_hashes,
    std::size_t count);

}  // namespace yuccapick

#endif  // YUCCAPICK_RENDEZVOUS_H_
