#include "yuccapick/peer_report.h"

namespace yuccapick {
namespace {

/// Silent peers get every fourth report.
constexpr std::uint64_t kSilentEvery = 4;

}  // namespace

bool PeerRegistry::Live(const Peer& peer, TimePoint now) const {
  return now - peer.heard_at < options_.lifetime;
}

bool PeerRegistry::OnReport(const PeerReport& report, TimePoint now) {
  Peer& peer = peers_[report.instance];
  const bool newer_life = report.incarnation > peer.report.incarnation;
  const bool same_life = report.incarnation == peer.report.incarnation;
  if (!newer_life && !(same_life && report.sequence > peer.report.sequence)) {
    return false;
  }
  peer.report = report;
  peer.heard_at = now;
  candidates_.erase(report.endpoint);
  return true;
}

void PeerRegistry::OnEndpoint(const std::string& endpoint, TimePoint now) {
  for (const auto& [instance, peer] : peers_) {
    if (peer.report.endpoint == endpoint) return;
  }
  candidates_.emplace(endpoint, now);
}

void PeerRegistry::OnTick(TimePoint now) {
  std::erase_if(peers_, [this, now](const auto& entry) {
    return now - entry.second.heard_at >= options_.forget_after;
  });
  std::erase_if(candidates_, [this, now](const auto& entry) {
    return now - entry.second >= options_.forget_after;
  });
}

std::vector<std::string> PeerRegistry::Targets(TimePoint now) const {
  std::vector<std::string> targets;
  const auto tick = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now.time_since_epoch())
          .count() /
      250);
  for (const auto& [instance, peer] : peers_) {
    if (!Live(peer, now) && tick % kSilentEvery != 0) continue;
    targets.push_back(peer.report.endpoint);
  }
  for (const auto& [endpoint, since] : candidates_) {
    if (tick % kSilentEvery == 0) targets.push_back(endpoint);
  }
  return targets;
}

std::size_t PeerRegistry::LiveCount(TimePoint now) const {
  std::size_t n = 0;
  for (const auto& [instance, peer] : peers_) {
    if (Live(peer, now)) ++n;
  }
  return n;
}

std::vector<InstanceId> PeerRegistry::LiveInstances(TimePoint now) const {
  std::vector<InstanceId> instances;
  for (const auto& [instance, peer] : peers_) {
    if (Live(peer, now)) instances.push_back(instance);
  }
  return instances;
}

bool PeerRegistry::AnyPeerHoldsRolloutLease(TimePoint now) const {
  for (const auto& [instance, peer] : peers_) {
    if (peer.report.holds_rollout_lease && Live(peer, now)) return true;
  }
  return false;
}

bool PeerRegistry::AnyPeerLostKvStore(TimePoint now) const {
  for (const auto& [instance, peer] : peers_) {
    if (peer.report.kv_store_lost && Live(peer, now)) return true;
  }
  return false;
}

std::set<UpstreamId> PeerRegistry::Loading(TimePoint now) const {
  std::set<UpstreamId> loading;
  for (const auto& [instance, peer] : peers_) {
    if (!peer.report.holds_rollout_lease || !Live(peer, now)) continue;
    loading.insert(peer.report.loading.begin(), peer.report.loading.end());
  }
  return loading;
}

bool PeerRegistry::AnyPeerConfirms(ConfigVersion config, TimePoint now) const {
  for (const auto& [instance, peer] : peers_) {
    if (!Live(peer, now) || !peer.report.store_reachable) continue;
    if (peer.report.config == config) return true;
  }
  return false;
}

const PeerReport* PeerRegistry::FindPeerNewerThan(std::uint64_t operator_rows,
                                                  std::uint64_t upstream_rows,
                                                  TimePoint now) const {
  const PeerReport* newest = nullptr;
  for (const auto& [instance, peer] : peers_) {
    const PeerReport& report = peer.report;
    if (!Live(peer, now)) continue;
    if (report.operator_rows <= operator_rows &&
        report.upstream_rows <= upstream_rows) {
      continue;
    }
    if (newest == nullptr || report.operator_rows > newest->operator_rows ||
        (report.operator_rows == newest->operator_rows &&
         report.upstream_rows > newest->upstream_rows)) {
      newest = &report;
    }
  }
  return newest;
}

}  // namespace yuccapick
