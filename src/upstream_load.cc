#include "yuccapick/upstream_load.h"

#include <algorithm>

namespace yuccapick {

WorkAmount& WorkAmount::operator+=(const WorkAmount& other) {
  requests += other.requests;
  kv_tokens += other.kv_tokens;
  prefill_tokens += other.prefill_tokens;
  return *this;
}

WorkAmount& WorkAmount::operator-=(const WorkAmount& other) {
  requests -= std::min(requests, other.requests);
  kv_tokens -= std::min(kv_tokens, other.kv_tokens);
  prefill_tokens -= std::min(prefill_tokens, other.prefill_tokens);
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

void UpstreamLoad::OnPeerReport(const InstanceId& peer,
                                const std::vector<WorkReport>& reports,
                                TimePoint now) {
  PeerWork& work = peers_[peer];
  work.reported_at = now;
  work.amounts.clear();
  for (const WorkReport& report : reports) {
    work.amounts[report.upstream] = report.amount;
  }
}

void UpstreamLoad::ForgetUpstream(const UpstreamId& upstream) {
  for (auto& [peer, work] : peers_) work.amounts.erase(upstream);
}

WorkAmount UpstreamLoad::Total(const UpstreamId& upstream,
                               TimePoint now) const {
  WorkAmount total = Own(upstream);
  for (const auto& [peer, work] : peers_) {
    if (now - work.reported_at > report_lifetime_) continue;
    const auto it = work.amounts.find(upstream);
    if (it != work.amounts.end()) total += it->second;
  }
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
