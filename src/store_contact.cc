#include "yuccapick/store_contact.h"

#include <algorithm>

namespace yuccapick {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

milliseconds StoreContact::MinOutage() const {
  return peers_known_ ? options_.min_outage_with_peers : options_.min_outage;
}

bool StoreContact::IsCutOff(TimePoint now) const {
  if (!peers_known_) return false;
  return !peer_heard_at_ || now - *peer_heard_at_ >= options_.max_peer_silence;
}

bool StoreContact::InOutage(TimePoint now) const {
  return failing_since_ && now - *failing_since_ >= MinOutage() &&
         now - failed_at_ <= options_.max_failure_gap && !IsCutOff(now);
}

void StoreContact::OnAnswer(TimePoint now) {
  if (InOutage(now)) outage_ended_at_ = now;
  answered_at_ = std::max(answered_at_.value_or(now), now);
  failing_since_.reset();
}

void StoreContact::OnFailure(TimePoint now) {
  if (!failing_since_ || now - failed_at_ > options_.max_failure_gap) {
    failing_since_ = now;
  }
  failed_at_ = now;
}

bool StoreContact::OnPeerAnswer(TimePoint answered_at, TimePoint now) {
  OnPeerHeard(now);
  answered_at_ = std::max(answered_at_.value_or(answered_at), answered_at);
  if (!failing_since_) return true;
  if (answered_at >= failed_at_) {
    if (InOutage(now)) outage_ended_at_ = now;
    failing_since_.reset();
    return true;
  }
  // Between answers this close together there was no outage.
  if (answered_at - *failing_since_ < MinOutage()) {
    failing_since_ = std::max(*failing_since_, answered_at);
  }
  return false;
}

void StoreContact::OnPeerHeard(TimePoint now) {
  // What failed before may have failed for the gateway's own links.
  if (IsCutOff(now) && failing_since_) failing_since_ = now;
  peer_heard_at_ = now;
}

bool StoreContact::InTouchFor(milliseconds duration, TimePoint now) const {
  if (!answered_at_ || InOutage(now)) return false;
  return !outage_ended_at_ || now - *outage_ended_at_ >= duration;
}

std::optional<milliseconds> StoreContact::TimeSinceOutage(TimePoint now) const {
  if (!answered_at_ || InOutage(now)) return milliseconds(0);
  if (!outage_ended_at_) return std::nullopt;
  return duration_cast<milliseconds>(now - *outage_ended_at_);
}

std::optional<milliseconds> StoreContact::TimeSinceAnswer(TimePoint now) const {
  if (!answered_at_) return std::nullopt;
  return duration_cast<milliseconds>(now - *answered_at_);
}

}  // namespace yuccapick
