#include <algorithm>

#include "gateway/request_flight.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// An attempt that may be repeated is given up when its upstream has sent
/// nothing to anybody for this long, or three times as long otherwise.
constexpr milliseconds kMinPatience{350};
constexpr milliseconds kMinGapPatience{700};
constexpr double kGapPatience = 1.75;
constexpr int kPatienceIfOthersAreServed = 3;

/// A request may wait at an upstream before it begins: as long as answers take
/// at present, between these bounds.
constexpr milliseconds kLeastWeightsReserve{700};
constexpr milliseconds kMostWeightsReserve{2'000};
constexpr int kWeightsReserveFactor = 2;

}  // namespace

milliseconds RequestFlight::WeightsReserve() const {
  const milliseconds longest = state_.settings.bounds.weights_limit / 2;
  const auto it = state_.stream_loads.find(admitted_.route->name);
  if (it == state_.stream_loads.end()) {
    return std::min(kMostWeightsReserve, longest);
  }
  const milliseconds reserve =
      std::clamp(it->second.first_event.UpperBound() * kWeightsReserveFactor,
                 kLeastWeightsReserve, kMostWeightsReserve);
  return std::min(reserve, longest);
}

milliseconds RequestFlight::Patience() const {
  if (attempt_->first_event) {
    return std::max(kMinGapPatience,
                    std::chrono::duration_cast<milliseconds>(
                        admitted_.route->target_event_gap * kGapPatience));
  }
  const milliseconds least =
      std::max(kMinPatience, admitted_.route->target_latency);
  // Half of the time is left for another upstream.
  const auto most = std::chrono::duration_cast<milliseconds>(
      (deadline_ - attempt_->sent_at) / 2);
  const auto it = state_.stream_loads.find(admitted_.route->name);
  if (it == state_.stream_loads.end()) return least;
  return std::max(least, std::min(most, it->second.first_event.UpperBound()));
}

std::optional<TimePoint> RequestFlight::StuckAt() const {
  if (!attempt_ || !admitted_.route->IsSafeToRetry()) return std::nullopt;
  const milliseconds patience = Patience();
  const TimePoint since = attempt_->last_progress;
  const bool silent = state_.health.SilentSince(attempt_->upstream.id, since);
  const TimePoint first = since + patience;
  if (silent || state_.Now() < first) return first;
  return since + patience * kPatienceIfOthersAreServed;
}

void RequestFlight::ArmTimer() {
  if (done_) return;
  TimePoint when = deadline_;
  if (const auto stuck_at = StuckAt()) when = std::min(when, *stuck_at);
  timer_.expires_at(when);
  std::weak_ptr<RequestFlight> weak = weak_from_this();
  timer_.async_wait([weak](const asio::error_code& ec) {
    const auto self = weak.lock();
    if (!ec && self != nullptr) self->OnTimer();
  });
}

void RequestFlight::OnTimer() {
  if (done_) return;
  const TimePoint now = state_.Now();
  if (now >= deadline_) {
    may_have_run_ = may_have_run_ || attempt_.has_value();
    ReleaseAttempt();
    return Conclude(AttemptEnd::kTimedOut, "time limit reached");
  }
  const auto stuck_at = StuckAt();
  if (!stuck_at || now < *stuck_at) return ArmTimer();
  // Giving up an answer under way pays only if it can be had elsewhere.
  if (arrivals_ + 1 >= admitted_.route->max_attempts || !HasUntriedUpstream() ||
      !state_.BudgetOf(service_).CanAcquire()) {
    attempt_->last_progress = now;
    return ArmTimer();
  }
  const UpstreamId upstream = attempt_->upstream.id;
  if (state_.health.SilentSince(upstream, attempt_->last_progress)) {
    state_.health.OnUnreachable(upstream, now);
  } else {
    state_.health.OnFailure(upstream, now);
  }
  if (!attempt_->first_event) NoteFirstEventTime(now);
  ++arrivals_;
  may_have_run_ = true;
  ReleaseAttempt();
  Conclude(AttemptEnd::kBroken, "upstream is silent");
}

void RequestFlight::NoteFirstEventTime(TimePoint now) {
  if (admitted_.route->kind != RouteKind::kStreaming) return;
  state_.stream_loads[admitted_.route->name].first_event.OnSample(
      std::chrono::duration_cast<milliseconds>(now - attempt_->sent_at));
}

milliseconds RequestFlight::TimeLeft(TimePoint now) const {
  return std::max(milliseconds(0),
                  std::chrono::duration_cast<milliseconds>(deadline_ - now));
}

}  // namespace yuccapick
