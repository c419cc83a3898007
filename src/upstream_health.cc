#include "yuccapick/upstream_health.h"

#include <algorithm>
#include <cmath>

namespace yuccapick {

double UpstreamHealth::Fade(const Record& record, TimePoint now) const {
  const std::chrono::duration<double> age = now - record.weighted_at;
  const std::chrono::duration<double> memory = options_.memory;
  return std::exp(-std::max(age.count(), 0.0) / memory.count());
}

UpstreamHealth::Record& UpstreamHealth::Faded(const UpstreamId& id,
                                              TimePoint now) {
  Record& record = records_[id];
  const double fade = Fade(record, now);
  record.successes *= fade;
  record.failures *= fade;
  record.weighted_at = now;
  return record;
}

void UpstreamHealth::OnSuccess(const UpstreamId& id, TimePoint now) {
  Record& record = Faded(id, now);
  record.successes += 1;
  record.last_heard = now;
  record.paused_until = TimePoint();
  record.pause = std::chrono::milliseconds(0);
}

void UpstreamHealth::OnFailure(const UpstreamId& id, TimePoint now) {
  Faded(id, now).failures += 1;
}

void UpstreamHealth::OnUnreachable(const UpstreamId& id, TimePoint now) {
  Record& record = Faded(id, now);
  record.failures += 1;
  if (now < record.paused_until) return;
  record.pause = std::clamp(record.pause * 2, options_.first_pause,
                            options_.longest_pause);
  record.paused_until = now + record.pause;
}

void UpstreamHealth::OnBytesReceived(const UpstreamId& id, TimePoint now) {
  records_[id].last_heard = now;
}

double UpstreamHealth::FailureRate(const UpstreamId& id, TimePoint now) const {
  const auto it = records_.find(id);
  if (it == records_.end()) return 0.0;
  const double fade = Fade(it->second, now);
  const double failures = it->second.failures * fade;
  const double successes = it->second.successes * fade;
  return failures / (failures + successes + options_.prior_successes);
}

bool UpstreamHealth::Paused(const UpstreamId& id, TimePoint now) const {
  const auto it = records_.find(id);
  return it != records_.end() && now < it->second.paused_until;
}

bool UpstreamHealth::SilentSince(const UpstreamId& id, TimePoint since) const {
  const auto it = records_.find(id);
  return it == records_.end() || it->second.last_heard < since;
}

}  // namespace yuccapick
