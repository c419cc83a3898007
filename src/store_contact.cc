#include "yuccapick/store_contact.h"

#include <algorithm>

namespace yuccapick {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

milliseconds StoreContact::MinOutage() const {
  return peers_ > 0 ? options_.min_outage_with_peers : options_.min_outage;
}

milliseconds StoreContact::MaxFailureGap() const {
  return options_.max_failure_gap +
         options_.max_failure_gap_per_peer * static_cast<int>(peers_);
}

bool StoreContact::IsCutOff(TimePoint now) const {
  if (peers_ == 0) return false;
  return !peer_heard_at_ || now - *peer_heard_at_ >= options_.max_peer_silence;
}

bool StoreContact::InOutage(TimePoint now) const {
  if (!failing_since_ || now - failed_at_ > MaxFailureGap()) return false;
  return outage_begun_ ||
         (now - *failing_since_ >= MinOutage() && !IsCutOff(now));
}

void StoreContact::EndFailures(TimePoint now) {
  if (InOutage(now)) outage_ended_at_ = now;
  failing_since_.reset();
  outage_begun_ = false;
}

void StoreContact::OnAnswer(TimePoint now) {
  answered_at_ = std::max(answered_at_.value_or(now), now);
  EndFailures(now);
}

void StoreContact::OnFailure(TimePoint now) {
  if (!failing_since_ || now - failed_at_ > MaxFailureGap()) {
    failing_since_ = now;
    outage_begun_ = false;
  }
  failed_at_ = now;
  outage_begun_ = InOutage(now);
}

bool StoreContact::OnPeerAnswer(TimePoint answered_at, TimePoint now) {
  OnPeerHeard(now);
  const bool first = !answered_at_;
  answered_at_ = std::max(answered_at_.value_or(answered_at), answered_at);
  if (!failing_since_) return true;
  // Of what was before the first answer, a process that starts knows nothing.
  if (first) {
    failing_since_ = std::max(*failing_since_, answered_at);
    outage_begun_ = false;
  }
  if (answered_at >= failed_at_) {
    EndFailures(now);
    return true;
  }
  // Between answers this close together there was no outage.
  if (!outage_begun_ && answered_at - *failing_since_ < MinOutage()) {
    failing_since_ = std::max(*failing_since_, answered_at);
  }
  return false;
}

void StoreContact::OnPeerHeard(TimePoint now) {
  // What failed before may have failed for the gateway's own links.
  if (IsCutOff(now) && failing_since_ && !outage_begun_) failing_since_ = now;
  peer_heard_at_ = now;
}

bool StoreContact::InTouchFor(milliseconds duration, TimePoint now) const {
  if (!answered_at_ || InOutage(now)) return false;
  return !outage_ended_at_ || now - *outage_ended_at_ >= duration;
}

std::optional<milliseconds> StoreContact::TimeSinceOutage(TimePoint now) const {
  if (InOutage(now)) return milliseconds(0);
  if (!outage_ended_at_) return std::nullopt;
  return duration_cast<milliseconds>(now - *outage_ended_at_);
}

std::optional<milliseconds> StoreContact::TimeSinceAnswer(TimePoint now) const {
  if (!answered_at_) return std::nullopt;
  return duration_cast<milliseconds>(now - *answered_at_);
}

}  // namespace yuccapick
