#include "yuccapick/upstream_load.h"

#include <algorithm>

namespace yuccapick {

WorkAmount& WorkAmount::operator+=(const WorkAmount& other) {
  requests += other.requests;
  kv_tokens += other.kv_tokens;
  prefill_tokens += other.prefill_tokens;
  urgent_tokens += other.urgent_tokens;
  return *this;
}

WorkAmount& WorkAmount::operator-=(const WorkAmount& other) {
  requests -= std::min(requests, other.requests);
  kv_tokens -= std::min(kv_tokens, other.kv_tokens);
  prefill_tokens -= std::min(prefill_tokens, other.prefill_tokens);
  urgent_tokens -= std::min(urgent_tokens, other.urgent_tokens);
  return *this;
}

void UpstreamLoad::Begin(const UpstreamId& upstream, const WorkAmount& amount) {
  own_[upstream] += amount;
}

void UpstreamLoad::End(const UpstreamId& upstream, const WorkAmount& amount) {
  const auto it = own_.find(upstream);
  if (it == own_.end()) return;
  it->second -= amount;
  if (it->second == WorkAmount()) own_.erase(it);
}

void UpstreamLoad::Subtract(const PeerWork& work) const {
  for (const WorkReport& report : work.reports) {
    const auto it = peer_sums_.find(report.upstream);
    if (it == peer_sums_.end()) continue;
    it->second -= report.amount;
    if (it->second == WorkAmount()) peer_sums_.erase(it);
  }
}

void UpstreamLoad::OnPeerReport(const InstanceId& peer,
                                const std::vector<WorkReport>& reports,
                                TimePoint now) {
  PeerWork& work = peers_[peer];
  Subtract(work);
  work = {reports, now};
  for (const WorkReport& report : reports) {
    peer_sums_[report.upstream] += report.amount;
  }
  next_expiry_ = std::min(next_expiry_, now + report_lifetime_);
}

void UpstreamLoad::ExpirePeers(TimePoint now) const {
  if (now <= next_expiry_) return;
  next_expiry_ = TimePoint::max();
  std::erase_if(peers_, [this, now](const auto& entry) {
    const PeerWork& work = entry.second;
    const TimePoint expiry = work.reported_at + report_lifetime_;
    if (now > expiry) {
      Subtract(work);
      return true;
    }
    next_expiry_ = std::min(next_expiry_, expiry);
    return false;
  });
}

void UpstreamLoad::ForgetUpstream(const UpstreamId& upstream) {
  for (auto& [peer, work] : peers_) {
    std::erase_if(work.reports, [&upstream](const WorkReport& it) {
      return it.upstream == upstream;
    });
  }
  peer_sums_.erase(upstream);
}

WorkAmount UpstreamLoad::Total(const UpstreamId& upstream,
                               TimePoint now) const {
  ExpirePeers(now);
  WorkAmount total = Own(upstream);
  const auto it = peer_sums_.find(upstream);
  if (it != peer_sums_.end()) total += it->second;
  return total;
}

WorkAmount UpstreamLoad::Own(const UpstreamId& upstream) const {
  const auto it = own_.find(upstream);
  return it == own_.end() ? WorkAmount() : it->second;
}

std::vector<WorkReport> UpstreamLoad::OwnReports() const {
  std::vector<WorkReport> reports;
  for (const auto& [upstream, amount] : own_) {
    reports.push_back({upstream, amount});
  }
  return reports;
}

}  // namespace yuccapick
