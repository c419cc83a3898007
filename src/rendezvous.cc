#include "yuccapick/rendezvous.h"

#include <xxhash.h>

#include <algorithm>

namespace yuccapick {

std::uint64_t RendezvousNodeHash(std::string_view node) {
  return XXH3_64bits(node.data(), node.size());
}

std::vector<std::uint32_t> RendezvousHomes(
    std::uint64_t key, const std::vector<std::uint64_t>& node_hashes,
    std::size_t count) {
  struct Scored {
    std::uint64_t score;
    std::uint32_t position;
  };
  std::vector<Scored> best;
  best.reserve(count + 1);
  if (count == 0) return {};
  std::uint64_t lowest = 0;
  for (std::uint32_t n = 0; n < node_hashes.size(); ++n) {
    const std::uint64_t score = RendezvousScore(key, node_hashes[n]);
    if (score <= lowest && best.size() == count) continue;
    auto it = std::find_if(
        best.begin(), best.end(),
        [score](const Scored& scored) { return scored.score < score; });
    best.insert(it, {score, n});
    if (best.size() > count) best.pop_back();
    lowest = best.back().score;
  }
  std::vector<std::uint32_t> homes;
  homes.reserve(best.size());
  for (const Scored& scored : best) homes.push_back(scored.position);
  return homes;
}

}  // namespace yuccapick
