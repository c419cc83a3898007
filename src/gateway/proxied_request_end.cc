#include <fmt/format.h>

#include "gateway/http_status.h"
#include "gateway/proxied_request.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// Range of the random delay that spreads the callers' retries.
constexpr milliseconds kRetryAfterJitter{450};

/// How long a request waits for leave to be sent as a trial, and how often it
/// looks. A datagram to the coordinator and back may be lost once.
constexpr milliseconds kMaxTrialWait{400};
constexpr milliseconds kTrialPollInterval{30};

/// Stands in the log for an answer that named no limit.
constexpr double kNoLimit = -1.0;

std::int64_t Count(std::chrono::steady_clock::duration d) {
  return std::chrono::duration_cast<milliseconds>(d).count();
}

ErrorKind ErrorOf(std::string_view outcome, int status) {
  if (outcome == "refused") return ErrorKind::kOverloaded;
  if (outcome == "outcome_unknown") return ErrorKind::kOutcomeUnknown;
  if (outcome == "deadline_exceeded") return ErrorKind::kDeadlineExceeded;
  if (outcome == "incomplete_answer") return ErrorKind::kIncompleteAnswer;
  if (outcome == "cancelled") return ErrorKind::kCancelled;
  return status == kHttpBadGateway ? ErrorKind::kOutcomeUnknown
                                   : ErrorKind::kUpstreamFailed;
}

}  // namespace

void ProxiedRequest::Refuse(std::string_view reason, milliseconds retry_after,
                            int status) {
  const milliseconds spread(
      absl::Uniform<std::int64_t>(state_.random, 0, kRetryAfterJitter.count()));
  const std::chrono::duration<double> after = retry_after + spread;
  const std::string seconds = fmt::format("{:.3f}", after.count());
  session_->Respond(status, {{"Retry-After", seconds}}, "not run\n");
  Finish("refused", status, reason);
}

std::vector<SuspectId> ProxiedRequest::MakeSuspects() const {
  const HttpHead& head = admitted_.request.head;
  const std::string* host = head.Find("Host");
  RequestIdentity identity;
  identity.method = head.method;
  if (host != nullptr) identity.host = *host;
  identity.target = head.target;
  identity.caller = admitted_.caller.key;
  identity.body = *body_;
  std::vector<SuspectId> suspects{SuspectOf(identity)};
  for (const PartId part : SharedPartIds(admitted_.caller.parts)) {
    suspects.push_back(SuspectOf(part));
  }
  return suspects;
}

bool ProxiedRequest::StopAtSuspect(TimePoint now) {
  const std::optional<StoreTime> store_now = state_.StoreNow();
  if (!store_now) return false;
  const std::optional<SuspectRefusal> refusal =
      state_.quarantine.Admit(suspects_, *store_now);
  if (state_.quarantine.HasNews()) state_.on_suspect_observed();
  if (!refusal) return false;
  if (!refusal->trial_wanted || !AwaitTrial(now)) RefuseSuspect(*refusal, now);
  return true;
}

bool ProxiedRequest::AwaitTrial(TimePoint now) {
  if (!trial_wait_until_) trial_wait_until_ = now + kMaxTrialWait;
  const TimePoint next = now + kTrialPollInterval;
  if (next > *trial_wait_until_ || next >= deadline_) return false;
  timer_.expires_at(next);
  std::weak_ptr<ProxiedRequest> weak = weak_from_this();
  timer_.async_wait([weak](const asio::error_code& ec) {
    const auto self = weak.lock();
    if (!ec && self != nullptr && !self->done_) self->TrySend();
  });
  return true;
}

void ProxiedRequest::RecordTrial(const UpstreamEntry& upstream) {
  ++state_.suspect_trials;
  state_.log.Write(LogKind::kStateChange, state_.Now(),
                   "event=suspect_tried id={} upstream={} suspects={}",
                   admitted_.caller.attempt_id, upstream.id.value,
                   FormatSuspects(suspects_));
}

void ProxiedRequest::RefuseSuspect(const SuspectRefusal& refusal,
                                   TimePoint now) {
  const bool is_part = refusal.suspect.kind == SuspectKind::kPart;
  retry_after_ = refusal.retry_after;
  ++(is_part ? state_.requests_with_blocked_part
             : state_.blocked_requests_refused);
  state_.log.Write(LogKind::kFailure, now,
                   "event=suspect_refused id={} route={} suspect={} "
                   "retry_after_ms={} blocked_parts={} blocked_requests={}",
                   admitted_.caller.attempt_id, admitted_.route->name,
                   FormatSuspect(refusal.suspect), refusal.retry_after.count(),
                   state_.quarantine.blocked_count(SuspectKind::kPart),
                   state_.quarantine.blocked_count(SuspectKind::kRequest));
  OnEnd(AttemptEnd::kNotSent, is_part
                                  ? "upstreams crash on a part of the prompt"
                                  : "upstreams crash on the request");
}

void ProxiedRequest::Finish(std::string_view outcome, int status,
                            std::string_view reason) {
  if (done_) return;
  done_ = true;
  timer_.cancel();
  DropParked();
  ReturnQuota();
  if (room_id_ != 0) state_.overload.Remove(std::exchange(room_id_, 0));
  const TimePoint now = state_.Now();
  const bool complete = outcome == "complete";
  const TimePoint arrived_at = admitted_.request.arrived_at;
  state_.log.Write(
      complete ? LogKind::kRequest : LogKind::kFailure, now,
      "event=request_done id={} outcome={} status={} upstream_status={} "
      "route={} team={} "
      "attempts={} upstream={} first_ms={} total_ms={} silent_ms={} events={} "
      "limit={:.2f} reason=\"{}\"",
      admitted_.caller.attempt_id, outcome, status, upstream_status_,
      admitted_.route->name,
      admitted_.team == nullptr ? "-" : admitted_.team->id.value,
      attempts_sent_, query_.tried.empty() ? "-" : query_.tried.back().value,
      first_event_at_ == TimePoint() ? -1 : Count(first_event_at_ - arrived_at),
      Count(now - arrived_at), Count(now - last_progress_), splitter_.events(),
      named_limit_.value_or(kNoLimit), reason);
  RecordMetrics(outcome, status, now);
  attempt_.reset();
  session_.reset();
}

void ProxiedRequest::RecordMetrics(std::string_view outcome, int status,
                                   TimePoint now) {
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  RequestFinished finished;
  if (admitted_.team != nullptr) finished.team = admitted_.team->id;
  finished.service = service_;
  finished.urgent = Urgency() == 0;
  finished.complete = outcome == "complete";
  finished.error = ErrorOf(outcome, status);
  finished.attempts = attempts_sent_;
  finished.total =
      duration_cast<microseconds>(now - admitted_.request.arrived_at);
  finished.first_token = finished.total;
  if (first_event_at_ != TimePoint()) {
    finished.first_token = duration_cast<microseconds>(
        first_event_at_ - admitted_.request.arrived_at);
    finished.usage.prompt_tokens = query_.prompt_tokens;
    finished.usage.cached_tokens = expected_cached_tokens_;
    finished.usage.completion_tokens = splitter_.events();
  }
  state_.metrics.Record(finished);
}

void ProxiedRequest::OnShutdown() {
  if (done_) return;
  const auto self = shared_from_this();
  const bool sent = attempt_.has_value() || parked_.has_value();
  may_have_run_ = may_have_run_ || sent;
  DropParked();
  AbandonAttempt();
  retry_after_ = kStoppingRetryAfter;
  OnEnd(may_have_run_ ? AttemptEnd::kTimedOut : AttemptEnd::kNotSent,
        "gateway is stopping");
}

void ProxiedRequest::OnCallerDisconnected() {
  if (done_) return;
  const auto self = shared_from_this();
  AbandonAttempt();
  Finish("cancelled", 0, "caller closed its connection");
}

}  // namespace yuccapick
