#include "yuccapick/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace yuccapick {
namespace {

/// Logarithm of the number of scores, 2^64.
const double kLogScores = 64 * std::log(2.0);
constexpr double kWeightStepsPerDoubling = 2.0;

}  // namespace

std::uint64_t RendezvousNodeHash(std::string_view node) {
  return XXH3_64bits(node.data(), node.size());
}

bool WeightedScore::operator<(const WeightedScore& other) const {
  if (weight == other.weight) return score < other.score;
  // With u = score / 2^64, u^(1 / weight) is the maximum of `weight` scores.
  const auto log_share = [](std::uint64_t value) {
    return std::log1p(static_cast<double>(value)) - kLogScores;
  };
  return log_share(score) * other.weight < log_share(other.score) * weight;
}

double RendezvousWeight(double slowdown) {
  if (slowdown == 1.0) return 1.0;
  return std::exp2(-std::round(std::log2(slowdown) * kWeightStepsPerDoubling) /
                   kWeightStepsPerDoubling);
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
