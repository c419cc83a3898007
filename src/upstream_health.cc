#include "yuccapick/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace yuccapick {

double UpstreamHealth::DecayFactor(const Record& record, TimePoint now) const {
  const std::chrono::duration<double> age = now - record.decayed_at;
  const std::chrono::duration<double> decay_time = options_.decay_time;
  return std::exp(-std::max(age.count(), 0.0) / decay_time.count());
}

UpstreamHealth::Record& UpstreamHealth::DecayedRecord(const UpstreamId& id,
                                                      TimePoint now) {
  Record& record = records_[id];
  const double decay = DecayFactor(record, now);
  record.successes *= decay;
  record.failures *= decay;
  record.decayed_at = now;
  return record;
}

void UpstreamHealth::OnSuccess(const UpstreamId& id, TimePoint now) {
  Record& record = DecayedRecord(id, now);
  record.successes += 1;
  record.last_received_at = now;
  record.paused_until = TimePoint();
  record.pause = std::chrono::milliseconds(0);
}

void UpstreamHealth::OnFailure(const UpstreamId& id, TimePoint now) {
  DecayedRecord(id, now).failures += 1;
}

void UpstreamHealth::OnUnreachable(const UpstreamId& id, TimePoint now) {
  Record& record = DecayedRecord(id, now);
  record.failures += 1;
  if (now < record.paused_until) return;
  record.pause = std::clamp(record.pause * 2, options_.first_pause,
                            options_.longest_pause);
  record.paused_until = now + record.pause;
  record.paused_by_peer = false;
}

bool UpstreamHealth::OnPeerUnreachable(const UpstreamId& id,
                                       TimePoint failed_at, TimePoint now) {
  if (!SilentSince(id, failed_at) || Paused(id, now)) return false;
  Record& record = records_[id];
  record.pause = std::clamp(record.pause * 2, options_.first_pause,
                            options_.longest_pause);
  record.paused_until = now + record.pause + options_.peer_pause_margin;
  record.paused_by_peer = true;
  return true;
}

void UpstreamHealth::OnPeerHeard(const UpstreamId& id) {
  const auto it = records_.find(id);
  if (it == records_.end() || !it->second.paused_by_peer) return;
  it->second.paused_until = TimePoint();
  it->second.pause = std::chrono::milliseconds(0);
  it->second.paused_by_peer = false;
}

void UpstreamHealth::OnBytesReceived(const UpstreamId& id, TimePoint now) {
  records_[id].last_received_at = now;
}

double UpstreamHealth::FailureRate(const UpstreamId& id, TimePoint now) const {
  const auto it = records_.find(id);
  if (it == records_.end()) return 0.0;
  const double decay = DecayFactor(it->second, now);
  const double failures = it->second.failures * decay;
  const double successes = it->second.successes * decay;
  return failures / (failures + successes + options_.prior_successes);
}

bool UpstreamHealth::Paused(const UpstreamId& id, TimePoint now) const {
  const auto it = records_.find(id);
  return it != records_.end() && now < it->second.paused_until;
}

bool UpstreamHealth::SilentSince(const UpstreamId& id, TimePoint since) const {
  const auto it = records_.find(id);
  return it == records_.end() || it->second.last_received_at < since;
}

}  // namespace yuccapick
