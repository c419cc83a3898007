#include "yuccapick/store_contact.h"

namespace yuccapick {

bool StoreContact::InOutage(TimePoint now) const {
  return failing_since_ && now - *failing_since_ >= options_.min_outage &&
         now - failed_at_ <= options_.max_failure_gap;
}

void StoreContact::OnAnswer(TimePoint now) {
  if (InOutage(now)) outage_ended_at_ = now;
  answered_ = true;
  failing_since_.reset();
}

void StoreContact::OnFailure(TimePoint now) {
  if (!failing_since_ || now - failed_at_ > options_.max_failure_gap) {
    failing_since_ = now;
  }
  failed_at_ = now;
}

bool StoreContact::OnPeerAnswer(TimePoint answered_at, TimePoint now) {
  if (failing_since_ && answered_at < failed_at_) return false;
  OnAnswer(now);
  return true;
}

bool StoreContact::InTouchFor(std::chrono::milliseconds duration,
                              TimePoint now) const {
  if (!answered_ || InOutage(now)) return false;
  return !outage_ended_at_ || now - *outage_ended_at_ >= duration;
}

std::optional<std::chrono::milliseconds> StoreContact::TimeSinceOutage(
    TimePoint now) const {
  if (!answered_ || InOutage(now)) return std::chrono::milliseconds(0);
  if (!outage_ended_at_) return std::nullopt;
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      now - *outage_ended_at_);
}

}  // namespace yuccapick
