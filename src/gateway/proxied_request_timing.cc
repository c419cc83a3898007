#include <algorithm>

#include "gateway/boot_clock.h"
#include "gateway/proxied_request.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// The upstream of an attempt that may be repeated counts as silent when it has
/// sent nothing for this long on any connection, or for `kServingOthersFactor`
/// times as long if it still serves other requests.
constexpr milliseconds kMinSilenceTimeout{350};
constexpr milliseconds kMinEventGapTimeout{700};
constexpr double kEventGapFactor = 1.75;
constexpr int kServingOthersFactor = 3;

/// A request may queue at an upstream before it starts. The margin is the
/// present time to the first event times a factor, within these bounds.
constexpr milliseconds kMinStaleWeightsMargin{700};
constexpr milliseconds kMaxStaleWeightsMargin{2'000};
constexpr int kStaleWeightsMarginFactor = 2;
/// An attempt that hasn't begun is given up this long before its weights are
/// too old, so that the upstream learns of it in time.
constexpr milliseconds kWeightsExpiryMargin{100};
/// How often within the weights' time limit a waiting attempt looks whether new
/// targets have been set since it was sent.
constexpr int kWeightsChecksPerLimit = 4;
constexpr milliseconds kMinWeightsCheckDelay{50};
/// Times that are expected to be shorter tell little of an upstream's speed.
constexpr PrefillRateEstimate::Time kMinExpectedTime{1.0};
/// How often the time limit is extended while the caller takes nothing.
constexpr milliseconds kPausedCheckDelay{100};

}  // namespace

std::string_view OverdueUseName(OverdueUse use) {
  switch (use) {
    case OverdueUse::kNotOverdue:
      return "-";
    case OverdueUse::kForbidden:
      return "forbidden";
    case OverdueUse::kLastChoice:
      return "last_choice";
    case OverdueUse::kNeverInTouch:
      return "never_in_touch";
    case OverdueUse::kStoreOutage:
      return "store_outage";
    case OverdueUse::kUnknownTime:
      return "unknown_time";
  }
  return "-";
}

milliseconds ProxiedRequest::StaleWeightsMargin() const {
  const milliseconds longest = state_.settings.bounds.stale_weights_limit / 2;
  const auto it = state_.stream_loads.find(admitted_.route->name);
  if (it == state_.stream_loads.end()) {
    return std::min(kMaxStaleWeightsMargin, longest);
  }
  const milliseconds margin = std::clamp(
      it->second.first_event.UpperBound() * kStaleWeightsMarginFactor,
      kMinStaleWeightsMargin, kMaxStaleWeightsMargin);
  return std::min(margin, longest);
}

OverdueUse ProxiedRequest::UseOfOverdueWeights(
    WeightVersionNumber weights) const {
  const milliseconds limit = state_.settings.bounds.stale_weights_limit;
  // Without the store nobody can roll out newer weights: an answer on old ones
  // is better than none.
  const TimePoint boot_now = BootTimeNow();
  if (!state_.store_contact.TimeSinceAnswer(boot_now)) {
    return OverdueUse::kNeverInTouch;
  }
  if (!state_.store_contact.InTouchFor(limit, boot_now)) {
    return OverdueUse::kStoreOutage;
  }
  const std::optional<StoreTime> now = state_.StoreNow();
  if (!now) return OverdueUse::kUnknownTime;
  const bool too_old = state_.target_weights.IsOverdue(
      admitted_.caller.model, weights, limit - kMinStaleWeightsMargin, *now);
  return too_old ? OverdueUse::kForbidden : OverdueUse::kLastChoice;
}

bool ProxiedRequest::WaitsToBegin() const {
  if (!attempt_ || attempt_->has_first_event) return false;
  if (admitted_.route->kind == RouteKind::kStreaming) return true;
  // Other answers show nothing until they are complete. Giving one up that has
  // begun costs only time if the request may be repeated.
  return admitted_.route->IsSafeToRetry() && !attempt_->head;
}

std::optional<TimePoint> ProxiedRequest::WeightsExpireAt() const {
  if (!WaitsToBegin()) return std::nullopt;
  const milliseconds limit = state_.settings.bounds.stale_weights_limit;
  if (!state_.store_contact.InTouchFor(limit, BootTimeNow())) {
    return std::nullopt;
  }
  const std::optional<WeightVersionNumber> weights =
      WeightsAt(attempt_->upstream);
  const std::optional<StoreTime> now = state_.StoreNow();
  if (!weights || !now) return std::nullopt;
  const std::optional<StoreTime> replaced_at =
      state_.target_weights.ReplacedAt(admitted_.caller.model, *weights);
  if (!replaced_at) return std::nullopt;
  return state_.Now() + (*replaced_at + limit - kWeightsExpiryMargin - *now);
}

milliseconds ProxiedRequest::WeightsCheckDelay() const {
  return std::max(
      kMinWeightsCheckDelay,
      state_.settings.bounds.stale_weights_limit / kWeightsChecksPerLimit);
}

milliseconds ProxiedRequest::SilenceTimeout(const Attempt& attempt) const {
  if (attempt.has_first_event) {
    return std::max(kMinEventGapTimeout,
                    std::chrono::duration_cast<milliseconds>(
                        admitted_.route->target_event_gap * kEventGapFactor));
  }
  const milliseconds least =
      std::max(kMinSilenceTimeout, admitted_.route->target_latency);
  // Half of the time is kept for another upstream.
  const auto most = std::chrono::duration_cast<milliseconds>(
      (deadline_ - attempt.sent_at) / 2);
  const auto it = state_.stream_loads.find(admitted_.route->name);
  if (it == state_.stream_loads.end()) return least;
  return std::max(least, std::min(most, it->second.first_event.UpperBound()));
}

std::optional<TimePoint> ProxiedRequest::SilentAt() const {
  if (!attempt_ || !admitted_.route->IsSafeToRetry()) return std::nullopt;
  const milliseconds timeout = SilenceTimeout(*attempt_);
  const TimePoint since = attempt_->last_progress;
  const bool silent = state_.health.SilentSince(attempt_->upstream.id, since);
  const TimePoint first = since + timeout;
  if (silent || state_.Now() < first) return first;
  return since + timeout * kServingOthersFactor;
}

void ProxiedRequest::ArmTimer() {
  if (done_) return;
  TimePoint when = deadline_;
  if (const auto silent_at = SilentAt()) when = std::min(when, *silent_at);
  if (parked_) when = std::min(when, parked_->until);
  if (const auto expire_at = WeightsExpireAt()) {
    when = std::min(when, *expire_at);
  }
  if (WaitsToBegin() && WeightsAt(attempt_->upstream)) {
    when = std::min(when, state_.Now() + WeightsCheckDelay());
  }
  if (paused_since_) when = std::max(when, state_.Now() + kPausedCheckDelay);
  timer_.expires_at(when);
  std::weak_ptr<ProxiedRequest> weak = weak_from_this();
  timer_.async_wait([weak](const asio::error_code& ec) {
    const auto self = weak.lock();
    if (!ec && self != nullptr) self->OnTimer();
  });
}

void ProxiedRequest::OnTimer() {
  if (done_) return;
  const TimePoint now = state_.Now();
  if (paused_since_) {
    ExtendDeadline(now);
    return ArmTimer();
  }
  if (now >= deadline_) {
    may_have_run_ = may_have_run_ || attempt_.has_value();
    DropParked();
    AbandonAttempt();
    return OnEnd(AttemptEnd::kTimedOut, "time limit reached");
  }
  if (parked_ && now >= parked_->until) OnParkedTimeout(now);
  const auto expire_at = WeightsExpireAt();
  if (expire_at && now >= *expire_at) return GiveUpOldWeights();
  const auto silent_at = SilentAt();
  if (!silent_at || now < *silent_at) return ArmTimer();
  if (TryHandOver(now)) return;
  attempt_->last_progress = now;
  ArmTimer();
}

void ProxiedRequest::GiveUpOldWeights() {
  state_.log.Write(
      LogKind::kFailure, state_.Now(),
      "event=weights_expired id={} upstream={} weights={} "
      "sent_before_ms={}",
      admitted_.caller.attempt_id, attempt_->upstream.id.value,
      WeightsAt(attempt_->upstream).value_or(0),
      std::chrono::duration_cast<milliseconds>(state_.Now() - attempt_->sent_at)
          .count());
  ++delivered_attempts_;
  may_have_run_ = true;
  AbandonAttempt();
  OnEnd(AttemptEnd::kBroken, "weights are too old before the answer began");
}

void ProxiedRequest::RecordFirstEventTime(TimePoint now) {
  if (admitted_.route->kind != RouteKind::kStreaming) return;
  state_.stream_loads[admitted_.route->name].first_event.OnSample(
      std::chrono::duration_cast<milliseconds>(now - attempt_->sent_at));
}

void ProxiedRequest::RecordPrefillRate(TimePoint now) {
  if (!attempt_->first_in_queue || query_.prompt_tokens == 0) return;
  state_.prefill_rates[service_].OnSample(attempt_->choice.missing_tokens,
                                          now - attempt_->sent_at);
}

void ProxiedRequest::RecordPrefillSpeed(TimePoint now) {
  const auto rate = state_.prefill_rates.find(service_);
  if (rate == state_.prefill_rates.end() || query_.prompt_tokens == 0) return;
  using Time = PrefillRateEstimate::Time;
  const PrefillRateEstimate& estimate = rate->second;
  const Time ahead(static_cast<double>(attempt_->tokens_ahead) /
                   estimate.tokens_per_ms());
  const Time expected =
      estimate.TimeFor(attempt_->choice.missing_tokens) + ahead;
  if (expected < kMinExpectedTime) return;
  state_.speeds.OnSample(attempt_->upstream, "prefill", now - attempt_->sent_at,
                         expected, now);
}

void ProxiedRequest::RecordServiceSpeed(TimePoint now) {
  if (query_.prompt_tokens > 0 || attempt_->has_first_event) return;
  // There is no model of a plain service: its answers on a route are compared
  // with one another.
  state_.speeds.OnSample(attempt_->upstream, admitted_.route->name,
                         now - attempt_->sent_at, kMinExpectedTime, now);
}

milliseconds ProxiedRequest::TimeLeft(TimePoint now) const {
  return std::max(milliseconds(0),
                  std::chrono::duration_cast<milliseconds>(deadline_ - now));
}

}  // namespace yuccapick
