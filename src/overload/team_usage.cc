#include "yuccapick/overload/team_usage.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "yuccapick/rendezvous.h"

namespace yuccapick {
namespace {

/// Counters below this are dropped.
constexpr double kMinTokens = 1.0;

}  // namespace

std::uint64_t TeamHash(const TeamId& team) {
  return RendezvousNodeHash(team.value);
}

double TeamUsage::Decayed(const Counter& counter, TimePoint now) const {
  const std::chrono::duration<double> age = now - counter.decayed_at;
  const std::chrono::duration<double> half_life = options_.half_life;
  return counter.tokens * std::exp2(-age.count() / half_life.count());
}

void TeamUsage::OnSent(std::uint64_t team_hash, std::uint64_t tokens,
                       TimePoint now) {
  Counter& counter = own_[team_hash];
  counter.tokens = Decayed(counter, now) + static_cast<double>(tokens);
  counter.decayed_at = now;
}

void TeamUsage::OnPeerReport(const InstanceId& peer,
                             const std::vector<TeamWork>& work, TimePoint now) {
  peers_[peer] = {work, now};
}

std::vector<TeamUsage::Share> TeamUsage::Sums(TimePoint now) {
  absl::erase_if(own_, [this, now](const auto& it) {
    return Decayed(it.second, now) < kMinTokens;
  });
  std::erase_if(peers_, [this, now](const auto& it) {
    return now - it.second.reported_at > options_.report_lifetime;
  });
  absl::flat_hash_map<std::uint64_t, double> sums;
  for (const auto& [team, counter] : own_) sums[team] += Decayed(counter, now);
  for (const auto& [peer, report] : peers_) {
    for (const TeamWork& it : report.work) {
      const Counter counter{static_cast<double>(it.tokens), report.reported_at};
      sums[it.team_hash] += Decayed(counter, now);
    }
  }
  std::vector<Share> shares;
  shares.reserve(sums.size());
  for (const auto& [team, tokens] : sums) shares.push_back({team, tokens, 1.0});
  return shares;
}

void TeamUsage::SetFairShare(std::vector<Share> shares) {
  usage_.clear();
  fair_usage_ = 0;
  double total = 0;
  double weights = 0;
  for (Share& it : shares) {
    it.weight = std::max(it.weight, 1e-9);
    usage_[it.team_hash] = it.tokens / it.weight;
    total += it.tokens;
    weights += it.weight;
  }
  std::sort(shares.begin(), shares.end(), [](const Share& a, const Share& b) {
    return a.tokens * b.weight < b.tokens * a.weight;
  });
  // Max-min fairness: teams below the level keep all of their work, the others
  // share what is left by weight.
  const double mean = weights > 0 ? total / weights : 0;
  double left = total * options_.kept_share;
  for (const Share& it : shares) {
    const double level = left / weights;
    if (it.tokens / it.weight > level) {
      fair_usage_ = std::max(level, mean * options_.min_excess);
      return;
    }
    left -= it.tokens;
    weights -= it.weight;
  }
}

bool TeamUsage::Exceeds(std::uint64_t team_hash) const {
  return fair_usage_ > 0 && UsageOf(team_hash) > fair_usage_;
}

double TeamUsage::UsageOf(std::uint64_t team_hash) const {
  const auto it = usage_.find(team_hash);
  return it == usage_.end() ? 0.0 : it->second;
}

std::vector<TeamWork> TeamUsage::OwnReport(TimePoint now) const {
  std::vector<TeamWork> report;
  for (const auto& [team, counter] : own_) {
    const double tokens = Decayed(counter, now);
    if (tokens < kMinTokens) continue;
    report.push_back({team, static_cast<std::uint64_t>(tokens)});
  }
  const auto by_tokens = [](const TeamWork& a, const TeamWork& b) {
    return a.tokens > b.tokens;
  };
  std::sort(report.begin(), report.end(), by_tokens);
  if (report.size() > options_.max_reported) {
    report.resize(options_.max_reported);
  }
  return report;
}

}  // namespace yuccapick
