#include "yuccapick/peer_report.h"

#include <algorithm>

#include "yuccapick/rendezvous.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReportInterval{250};
constexpr std::size_t kPeersAtFullRate = 40;
/// Report intervals without a report after which a peer is not live.
constexpr double kLiveIntervals = 2.5;
/// Silent peers get only one report in this many.
constexpr std::int64_t kSilentPeerReportInterval = 4;
/// Endpoints that were just listed get every report for this long, so that
/// gateways which start together soon know each other. In a large fleet that
/// would be too many datagrams.
constexpr milliseconds kNewEndpointTime{2'000};

bool IsNewer(const PeerReport& report, const TableProgress& own) {
  if (report.config > own.config) return true;
  // Row versions of different generations can't be compared.
  if (report.store_generation != own.generation) {
    return report.store_generation > own.generation;
  }
  return report.operator_rows > own.operator_rows ||
         report.upstream_rows > own.upstream_rows;
}

}  // namespace

milliseconds PeerReportInterval(std::size_t peers) {
  return kReportInterval * std::max<std::size_t>(1, peers / kPeersAtFullRate);
}

milliseconds PeerRegistry::LiveTimeout() const {
  const auto some_intervals = std::chrono::duration_cast<milliseconds>(
      PeerReportInterval(peers_.size()) * kLiveIntervals);
  return std::max(options_.live_timeout, some_intervals);
}

bool PeerRegistry::Live(const Peer& peer, TimePoint now) const {
  return now - peer.last_report_at < LiveTimeout();
}

bool PeerRegistry::OnReport(const PeerReport& report, TimePoint now) {
  Peer& peer = peers_[report.instance];
  const bool newer_incarnation = report.incarnation > peer.report.incarnation;
  const bool same_incarnation = report.incarnation == peer.report.incarnation;
  if (!newer_incarnation &&
      !(same_incarnation && report.sequence > peer.report.sequence)) {
    return false;
  }
  peer.report = report;
  peer.last_report_at = now;
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
    return now - entry.second.last_report_at >= options_.forget_after;
  });
  std::erase_if(candidates_, [this, now](const auto& entry) {
    return now - entry.second >= options_.forget_after;
  });
}

std::vector<std::string> PeerRegistry::Targets(TimePoint now) const {
  std::vector<std::string> targets;
  const std::int64_t report =
      now.time_since_epoch() / PeerReportInterval(peers_.size());
  const bool include_silent = report % kSilentPeerReportInterval == 0;
  for (const auto& [instance, peer] : peers_) {
    if (!Live(peer, now) && !include_silent) continue;
    targets.push_back(peer.report.endpoint);
  }
  const bool few = peers_.size() + candidates_.size() <= 2 * kPeersAtFullRate;
  for (const auto& [endpoint, since] : candidates_) {
    const bool is_new = few && now - since < kNewEndpointTime;
    if (include_silent || is_new) targets.push_back(endpoint);
  }
  return targets;
}

std::string PeerRegistry::EndpointOf(const InstanceId& peer,
                                     TimePoint now) const {
  const auto it = peers_.find(peer);
  if (it == peers_.end() || !Live(it->second, now)) return {};
  return it->second.report.endpoint;
}

std::size_t PeerRegistry::LiveCount(TimePoint now) const {
  std::size_t n = 0;
  for (const auto& [instance, peer] : peers_) {
    if (Live(peer, now)) ++n;
  }
  return n;
}

std::size_t PeerRegistry::CountWithMembers(std::uint64_t members,
                                           TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
        const Peer& peer = entry.second;
        return peer.report.members == members && Live(peer, now);
      }));
}

std::vector<InstanceId> PeerRegistry::LiveInstances(TimePoint now) const {
  std::vector<InstanceId> instances;
  for (const auto& [instance, peer] : peers_) {
    if (Live(peer, now)) instances.push_back(instance);
  }
  return instances;
}

std::vector<InstanceId> PeerRegistry::StayingInstances(TimePoint now) const {
  std::vector<InstanceId> instances;
  for (const auto& [instance, peer] : peers_) {
    if (Live(peer, now) && !peer.report.leaving) instances.push_back(instance);
  }
  return instances;
}

bool PeerRegistry::AnyPeerHoldsRolloutLease(TimePoint now) const {
  for (const auto& [instance, peer] : peers_) {
    if (peer.report.holds_rollout_lease && Live(peer, now)) return true;
  }
  return false;
}

bool PeerRegistry::AnyPeerLostKvStore(const std::string& endpoint,
                                      TimePoint now) const {
  for (const auto& [instance, peer] : peers_) {
    if (!Live(peer, now)) continue;
    for (const KvStoreReport& store : peer.report.kv_stores) {
      if (store.lost && store.endpoint == endpoint) return true;
    }
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

const PeerReport* PeerRegistry::FindPeerNewerThan(const TableProgress& own,
                                                  const InstanceId& self,
                                                  TimePoint now) const {
  const std::uint64_t key = RendezvousNodeHash(self.value);
  const PeerReport* found = nullptr;
  std::uint64_t best = 0;
  for (const auto& [instance, peer] : peers_) {
    const PeerReport& report = peer.report;
    if (!Live(peer, now) || !IsNewer(report, own)) continue;
    const std::uint64_t score =
        RendezvousScore(key, RendezvousNodeHash(instance.value));
    if (found != nullptr && score <= best) continue;
    found = &report;
    best = score;
  }
  return found;
}

}  // namespace yuccapick
