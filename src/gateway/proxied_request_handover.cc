#include <utility>

#include "gateway/proxied_request.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// An upstream that takes no more requests rejects one at once. It has taken
/// the request if it has not rejected it within this time, which leaves time to
/// end the earlier attempt before both would work for long.
constexpr milliseconds kRejectionTime{200};

}  // namespace

/// Hears the exchange of an attempt that is parked.
class ParkedExchangeHandler : public ExchangeHandler {
 public:
  explicit ParkedExchangeHandler(std::weak_ptr<ProxiedRequest> request)
      : request_(std::move(request)) {}

  HeadDecision OnAnswerHead(const HttpHead& head) override {
    const auto request = Return();
    return request == nullptr ? HeadDecision::kReject
                              : request->OnAnswerHead(head);
  }
  void OnAnswerBody(std::string_view bytes) override {
    if (const auto request = Return()) request->OnAnswerBody(bytes);
  }
  void OnExchangeEnd(ExchangeEnd end, std::string_view reason) override {
    const auto request = request_.lock();
    if (request == nullptr || !request->parked_) return;
    if (end != ExchangeEnd::kComplete) return request->OnParkedBroken(reason);
    request->ResumeParked("its answer has ended");
    request->OnExchangeEnd(end, reason);
  }

 private:
  /// @return the request, which has returned to the attempt; null if it has
  ///   ended
  std::shared_ptr<ProxiedRequest> Return() {
    const auto request = request_.lock();
    if (request == nullptr || !request->parked_) return nullptr;
    request->ResumeParked("its upstream goes on");
    return request;
  }

  std::weak_ptr<ProxiedRequest> request_;
};

bool ProxiedRequest::TryHandOver(TimePoint now) {
  if (parked_ || StopsBeforeAnswer(now)) return false;
  RetryContext context = MakeRetryContext();
  context.budget_left = state_.RetryBudgetOf(service_).CanAcquire();
  // If the others rejected it, a new exchange with the same upstream may be
  // heard.
  const bool same_again = has_resumed_ && !context.has_upstream;
  context.has_upstream = context.has_upstream || same_again;
  if (DecideSilence(context) == SilenceDecision::kWait) return false;
  if (same_again) {
    ReadmitSilentUpstreams();
    std::erase(query_.tried, attempt_->upstream.id);
  }
  const std::optional<StoreTime> store_now = state_.StoreNow();
  if (store_now) {
    state_.quarantine.OnGivenUp(suspects_);
    if (state_.quarantine.Admit(suspects_, *store_now)) return false;
  }
  const std::optional<DirectPlacementDecision> choice = state_.placement.Choose(
      query_, Fleet(), state_.parts, state_.load, state_.health, now);
  if (!choice || !state_.RetryBudgetOf(service_).TryAcquire()) return false;
  const UpstreamEntry upstream = *state_.roster.FindUsable(choice->upstream);
  ParkAttempt(now);
  Send(*choice, upstream);
  return true;
}

void ProxiedRequest::ParkAttempt(TimePoint now) {
  const UpstreamId& upstream = attempt_->upstream.id;
  if (state_.health.SilentSince(upstream, attempt_->last_progress)) {
    state_.health.OnUnreachable(upstream, now);
  } else {
    state_.health.OnFailure(upstream, now);
  }
  if (!attempt_->has_first_event) RecordFirstEventTime(now);
  state_.log.Write(
      LogKind::kFailure, now,
      "event=attempt_parked id={} attempt={} upstream={} "
      "silent_ms={} begun={}",
      admitted_.caller.attempt_id, attempts_sent_, upstream.value,
      std::chrono::duration_cast<milliseconds>(now - attempt_->last_progress)
          .count(),
      answer_started_);
  parked_.emplace(ParkedAttempt{*std::move(attempt_), splitter_,
                                std::exchange(answer_body_, std::string()),
                                answer_began_at_, named_limit_,
                                upstream_status_, survival_recorded_,
                                streaming_, now + kRejectionTime});
  attempt_.reset();
  parked_->attempt.exchange.SetHandler(
      std::make_shared<ParkedExchangeHandler>(weak_from_this()));
}

void ProxiedRequest::ResumeParked(std::string_view reason) {
  const TimePoint now = state_.Now();
  has_resumed_ = true;
  if (attempt_ && attempt_->exchange.active()) {
    if (attempt_->exchange.connection()->connected()) {
      ++delivered_attempts_;
      may_have_run_ = true;
    }
    AbandonAttempt();
  }
  ParkedAttempt parked = *std::move(parked_);
  parked_.reset();
  attempt_ = std::move(parked.attempt);
  attempt_->exchange.SetHandler(shared_from_this());
  attempt_->last_progress = now;
  NameCurrentAttempt();
  splitter_ = std::move(parked.splitter);
  answer_body_ = std::move(parked.answer_body);
  answer_began_at_ = parked.answer_began_at;
  named_limit_ = parked.named_limit;
  upstream_status_ = parked.upstream_status;
  survival_recorded_ = parked.survival_recorded;
  streaming_ = parked.streaming;
  paused_since_.reset();
  state_.log.Write(LogKind::kFailure, now,
                   "event=attempt_resumed id={} upstream={} left_ms={} "
                   "reason=\"{}\"",
                   admitted_.caller.attempt_id, attempt_->upstream.id.value,
                   TimeLeft(now).count(), reason);
  if (!CountPartialEvent()) {
    return RejectAnswer("no memory for an incomplete event");
  }
  ArmTimer();
}

void ProxiedRequest::NameCurrentAttempt() {
  const UpstreamId upstream = attempt_->upstream.id;
  std::erase(query_.tried, upstream);
  query_.tried.push_back(upstream);
  expected_cached_tokens_ = attempt_->choice.expected_cached_tokens;
  const auto& connection = attempt_->exchange.connection();
  connection_number_ = connection->number();
  connection_exchanges_ = connection->exchanges();
}

void ProxiedRequest::OnParkedTimeout(TimePoint now) {
  const auto& connection = attempt_->exchange.connection();
  if (connection != nullptr && !connection->connected()) {
    // The other upstream can't have taken a request that isn't sent.
    parked_->until = now + kRejectionTime;
    return;
  }
  GiveUpParked();
}

void ProxiedRequest::GiveUpParked() {
  ++delivered_attempts_;
  may_have_run_ = true;
  silent_upstreams_.push_back(parked_->attempt.upstream.id);
  DropParked();
}

void ProxiedRequest::OnParkedBroken(std::string_view reason) {
  const TimePoint now = state_.Now();
  state_.log.Write(LogKind::kFailure, now,
                   "event=parked_attempt_ended id={} upstream={} reason=\"{}\"",
                   admitted_.caller.attempt_id,
                   parked_->attempt.upstream.id.value, reason);
  RecordCrash(parked_->attempt.upstream, parked_->answer_began_at, now);
  GiveUpParked();
}

void ProxiedRequest::DropParked() {
  if (!parked_) return;
  state_.load.End(parked_->attempt.upstream.id, parked_->attempt.amount);
  CloseConnection(parked_->attempt);
  parked_.reset();
}

}  // namespace yuccapick
