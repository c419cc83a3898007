#include <utility>

#include "gateway/http_status.h"
#include "gateway/request_flight.h"
#include "platform/header_fields.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// Answers up to this size are sent once they are whole.
constexpr std::size_t kMaxHeldBytes = 262'144;

}  // namespace

HeadVerdict RequestFlight::OnAnswerHead(const HttpHead& head) {
  if (!attempt_) return HeadVerdict::kReject;
  AnswerFacts facts = platform::DecodeAnswer(head);
  const std::string& id = admitted_.caller.attempt_id;
  if (!facts.attempt_id.empty() && facts.attempt_id != id) {
    state_.log.Write(LogKind::kFailure, state_.Now(),
                     "event=answer_skipped id={} answer_id={} upstream={} "
                     "reason=\"answers another request\"",
                     id, facts.attempt_id, attempt_->upstream.id.value);
    return HeadVerdict::kSkip;
  }
  const bool success = head.status >= kHttpOk && head.status < kHttpRedirect;
  if (success && (!facts.proven || facts.encoded || facts.attempt_id.empty())) {
    return HeadVerdict::kReject;
  }
  state_.health.OnBytesReceived(attempt_->upstream.id, state_.Now());
  if (facts.weights &&
      *facts.weights > WeightsAt(attempt_->upstream).value_or(0)) {
    state_.NoteWeights(attempt_->upstream.id, admitted_.caller.model,
                       *facts.weights);
  }
  streaming_ = success && admitted_.route->kind == RouteKind::kStreaming;
  attempt_->facts = std::move(facts);
  attempt_->head = head;
  return HeadVerdict::kAccept;
}

void RequestFlight::OnAnswerBody(std::string_view bytes) {
  if (!attempt_ || !attempt_->head) return;
  const TimePoint now = state_.Now();
  attempt_->last_progress = now;
  last_progress_ = now;
  state_.health.OnBytesReceived(attempt_->upstream.id, now);
  if (!streaming_) {
    if (attempt_->facts.not_executed) return;
    if (answer_started_) return session_->StreamBody(bytes);
    body_.append(bytes);
    if (body_.size() > kMaxHeldBytes) {
      BeginAnswer();
      session_->StreamBody(std::exchange(body_, std::string()));
    }
    return;
  }
  const absl::StatusOr<std::string> events = splitter_.Feed(bytes);
  if (!events.ok()) {
    attempt_->connection->Abandon();
    return OnExchangeEnd(ExchangeEnd::kBroken,
                         events.status().message().data());
  }
  if (events->empty()) return;
  if (!attempt_->first_event) OnFirstEvent();
  if (!answer_started_) BeginAnswer();
  session_->StreamBody(*events);
}

void RequestFlight::OnFirstEvent() {
  const TimePoint now = state_.Now();
  attempt_->first_event = true;
  if (first_event_at_ == TimePoint()) first_event_at_ = now;
  NoteFirstEventTime(now);
  WorkAmount read = attempt_->amount;
  read.requests = 0;
  read.kv_tokens = 0;
  state_.load.End(attempt_->upstream.id, read);
  attempt_->amount -= read;
  NoteCachedParts(now);
}

void RequestFlight::NoteCachedParts(TimePoint now) {
  const DirectChoice& choice = attempt_->choice;
  if (choice.cache_scope.empty()) return;
  const PartChain chain = SharedChain(choice.cache_scope, query_.parts);
  if (chain.empty()) return;
  state_.parts.OnUsed(chain, attempt_->upstream.id, now);
  if (choice.export_to.empty()) return;
  state_.parts.OnExported(chain, now);
  state_.exported.insert(state_.exported.end(), chain.begin(), chain.end());
}

void RequestFlight::BeginAnswer() {
  answer_started_ = true;
  session_->BeginStream(attempt_->head->status,
                        platform::AnswerFields(*attempt_->head));
}

void RequestFlight::OnExchangeEnd(ExchangeEnd end, std::string_view reason) {
  if (done_ || !attempt_) return;
  const auto self = shared_from_this();
  const TimePoint now = state_.Now();
  const UpstreamId upstream = attempt_->upstream.id;
  state_.load.End(upstream, attempt_->amount);
  attempt_->amount = WorkAmount();
  if (end == ExchangeEnd::kNotSent) {
    state_.health.OnUnreachable(upstream, now);
    attempt_.reset();
    return Conclude(AttemptEnd::kNotSent, reason);
  }
  ++arrivals_;
  if (end == ExchangeEnd::kBroken) {
    state_.health.OnFailure(upstream, now);
    may_have_run_ = true;
    attempt_.reset();
    return Conclude(AttemptEnd::kBroken, reason);
  }
  ConcludeAnswer();
}

void RequestFlight::ConcludeAnswer() {
  const TimePoint now = state_.Now();
  const UpstreamId upstream = attempt_->upstream.id;
  const AnswerFacts& facts = attempt_->facts;
  if (facts.not_executed) {
    const bool wrong = facts.wrong_upstream;
    if (wrong) --arrivals_;
    if (!wrong) state_.health.OnFailure(upstream, now);
    attempt_.reset();
    return Conclude(wrong ? AttemptEnd::kWrongUpstream : AttemptEnd::kRejected,
                    wrong ? "other instance or weights" : "upstream is full");
  }
  may_have_run_ = true;
  const int status = attempt_->head->status;
  if (streaming_ && !splitter_.AtEventBoundary()) {
    state_.health.OnFailure(upstream, now);
    attempt_.reset();
    return Conclude(AttemptEnd::kBroken, "stream ends within an event");
  }
  if (status >= kHttpServerError) {
    state_.health.OnFailure(upstream, now);
    return Conclude(AttemptEnd::kFailedStatus, "upstream failed");
  }
  if (answer_started_ && !streaming_ && body_.empty() &&
      admitted_.route->kind == RouteKind::kStreaming) {
    attempt_.reset();
    return Conclude(AttemptEnd::kBroken, "resumption was answered otherwise");
  }
  state_.health.OnSuccess(upstream, now);
  Deliver();
}

void RequestFlight::Deliver() {
  const HttpHead& head = *attempt_->head;
  const int status = head.status;
  if (answer_started_) {
    session_->EndStream();
  } else {
    session_->Respond(status, platform::AnswerFields(head), body_);
  }
  Finish(status < kHttpServerError ? "complete" : "failed_status", status, "");
}

}  // namespace yuccapick
