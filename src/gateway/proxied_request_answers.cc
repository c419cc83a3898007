#include <utility>

#include "gateway/http_status.h"
#include "gateway/proxied_request.h"
#include "platform/header_fields.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// Answers up to this size are buffered and sent when they are complete.
constexpr std::size_t kMaxBufferedAnswerBytes = 262'144;

/// An upstream that crashes on a request does so within this time after it has
/// begun the answer.
constexpr milliseconds kCrashWindow{500};

}  // namespace

HeadDecision ProxiedRequest::OnAnswerHead(const HttpHead& head) {
  if (!attempt_) return HeadDecision::kReject;
  AnswerInfo info = platform::DecodeAnswer(head);
  const std::string& id = admitted_.caller.attempt_id;
  if (!info.attempt_id.empty() && info.attempt_id != id) {
    state_.log.Write(LogKind::kFailure, state_.Now(),
                     "event=answer_skipped id={} answer_id={} upstream={} "
                     "reason=\"answers another request\"",
                     id, info.attempt_id, attempt_->upstream.id.value);
    return HeadDecision::kSkip;
  }
  if (info.attempt_id != id && MayAnswerEarlierRequest(head)) {
    state_.log.Write(LogKind::kFailure, state_.Now(),
                     "event=answer_skipped id={} answer_id=- upstream={} "
                     "status={} reason=\"names no request\"",
                     id, attempt_->upstream.id.value, head.status);
    return HeadDecision::kSkip;
  }
  RecordLimit(info);
  RecordPause(info);
  const UpstreamEntry& upstream = attempt_->upstream;
  if (info.leaving && !info.wrong_upstream) {
    state_.RecordLeaving({upstream.id, upstream.incarnation});
  }
  const bool success =
      head.status >= kHttpOk && head.status < kHttpFirstRedirect;
  if (success && (!info.authenticated || info.content_encoded ||
                  info.attempt_id.empty())) {
    return HeadDecision::kReject;
  }
  state_.health.OnBytesReceived(attempt_->upstream.id, state_.Now());
  if (info.weights &&
      *info.weights > WeightsAt(attempt_->upstream).value_or(0)) {
    state_.RecordObservedWeights(attempt_->upstream.id, admitted_.caller.model,
                                 *info.weights);
  }
  const bool continues_begun =
      !attempt_->continues || info.event_stream || !begun_event_stream_;
  streaming_ = success && continues_begun &&
               admitted_.route->kind == RouteKind::kStreaming;
  attempt_->info = std::move(info);
  attempt_->head = head;
  upstream_status_ = head.status;
  if (parked_ && success) GiveUpParked();
  return HeadDecision::kAccept;
}

bool ProxiedRequest::MayAnswerEarlierRequest(const HttpHead& head) const {
  const auto& connection = attempt_->exchange.connection();
  const bool reused = connection != nullptr && connection->reused();
  return reused && head.status >= kHttpFirstRedirect;
}

void ProxiedRequest::RecordLimit(const AnswerInfo& info) {
  named_limit_ = info.requests_per_second;
  const std::optional<StoreTime> now = state_.StoreNow();
  if (!now || info.wrong_upstream) return;
  const UpstreamEntry& upstream = attempt_->upstream;
  if (info.limit_unreadable) {
    state_.log.Write(LogKind::kFailure, state_.Now(),
                     "event=limit_ignored id={} upstream={} reason=\"not a "
                     "number of requests a second\"",
                     admitted_.caller.attempt_id, upstream.id.value);
    return;
  }
  const milliseconds age = std::chrono::duration_cast<milliseconds>(
      state_.Now() - attempt_->sent_at);
  if (!state_.limits.OnAnswer(upstream.id, upstream.incarnation, named_limit_,
                              *now - age, *now)) {
    return;
  }
  state_.LogLimit(upstream.id, named_limit_, "answer");
  state_.on_limit_changed();
}

void ProxiedRequest::RecordPause(const AnswerInfo& info) {
  const UpstreamEntry& upstream = attempt_->upstream;
  if (info.pause_unreadable) {
    state_.log.Write(LogKind::kFailure, state_.Now(),
                     "event=pause_ignored id={} upstream={} reason=\"not a "
                     "number of seconds\"",
                     admitted_.caller.attempt_id, upstream.id.value);
  }
  if (!info.pause) return;
  const double draw = absl::Uniform(state_.random, 0.0, 1.0);
  const milliseconds length = state_.pauses.OnAsked(
      upstream.id, upstream.incarnation, *info.pause, draw, state_.Now());
  state_.log.Write(LogKind::kStateChange, state_.Now(),
                   "event=upstream_paused id={} upstream={} asked_ms={} "
                   "pause_ms={}",
                   admitted_.caller.attempt_id, upstream.id.value,
                   info.pause->count(), length.count());
}

void ProxiedRequest::OnAnswerBody(std::string_view bytes) {
  if (!attempt_ || !attempt_->head) return;
  const TimePoint now = state_.Now();
  attempt_->last_progress = now;
  last_progress_ = now;
  state_.health.OnBytesReceived(attempt_->upstream.id, now);
  if (!streaming_) {
    if (attempt_->continues || attempt_->info.not_executed) return;
    // The caller gets another answer, however long this one is.
    if (IsFalseRefusal()) return;
    if (answer_started_) return Forward(bytes);
    return BufferAnswer(bytes);
  }
  const absl::StatusOr<std::string> events = splitter_.Feed(bytes);
  const bool has_room = CountPartialEvent();
  if (!events.ok()) return RejectAnswer(events.status().message().data());
  if (!has_room) return RejectAnswer("no memory for an incomplete event");
  if (events->empty()) return;
  if (!attempt_->has_first_event) HandleFirstEvent();
  if (now - *answer_began_at_ >= kCrashWindow) RecordSurvival(now);
  if (!answer_started_) BeginAnswer();
  Forward(*events);
}

void ProxiedRequest::RejectAnswer(std::string_view reason) {
  DiscardPartialEvent();
  attempt_->exchange.Abandon();
  OnExchangeEnd(ExchangeEnd::kInvalid, reason);
}

bool ProxiedRequest::CountPartialEvent() {
  MemoryShare& memory = admitted_.request.memory;
  const std::size_t bytes = splitter_.buffered_bytes();
  if (!memory.Resize(memory.bytes() - event_bytes_ + bytes)) return false;
  event_bytes_ = bytes;
  return true;
}

void ProxiedRequest::DiscardPartialEvent() {
  splitter_.DiscardPartialEvent();
  CountPartialEvent();
}

void ProxiedRequest::BufferAnswer(std::string_view bytes) {
  answer_body_.append(bytes);
  MemoryShare& memory = admitted_.request.memory;
  const bool has_room = memory.Resize(memory.bytes() + bytes.size());
  if (has_room && answer_body_.size() <= kMaxBufferedAnswerBytes) return;
  BeginAnswer();
  Forward(std::exchange(answer_body_, std::string()));
}

void ProxiedRequest::Forward(std::string_view bytes) {
  const auto self = shared_from_this();
  const std::shared_ptr<IngressSession> session = session_;
  session->StreamBody(bytes);
  if (done_ || !attempt_ || paused_since_ || !session->output_full()) return;
  const auto& connection = attempt_->exchange.connection();
  if (connection == nullptr) return;
  connection->PauseReading();
  paused_since_ = state_.Now();
  attempt_->held_back = true;
}

void ProxiedRequest::OnOutputRoom() {
  if (done_ || !paused_since_) return;
  ExtendDeadline(state_.Now());
  paused_since_.reset();
  if (attempt_) attempt_->exchange.connection()->ResumeReading();
  ArmTimer();
}

void ProxiedRequest::ExtendDeadline(TimePoint now) {
  deadline_ += now - *paused_since_;
  paused_since_ = now;
  last_progress_ = now;
  if (attempt_) attempt_->last_progress = now;
}

void ProxiedRequest::HandleFirstEvent() {
  const TimePoint now = state_.Now();
  attempt_->has_first_event = true;
  answer_began_at_ = now;
  if (first_event_at_ == TimePoint()) first_event_at_ = now;
  RecordFirstEventTime(now);
  RecordPrefillSpeed(now);
  RecordPrefillRate(now);
  RecordStreamOrigin(now);
  WorkAmount prefill = attempt_->amount;
  prefill.requests = 0;
  prefill.kv_tokens = 0;
  state_.load.End(attempt_->upstream.id, prefill);
  attempt_->amount -= prefill;
  RecordCachedParts(now);
}

void ProxiedRequest::RecordCrash(const UpstreamEntry& upstream,
                                 std::optional<TimePoint> began_at,
                                 TimePoint now) {
  const std::optional<StoreTime> store_now = state_.StoreNow();
  if (!store_now) return;
  if (began_at && now - *began_at >= kCrashWindow) return;
  state_.quarantine.OnCrash(suspects_,
                            UpstreamRunIdOf(upstream.id, upstream.incarnation),
                            *store_now);
  if (state_.quarantine.HasNews()) state_.on_suspect_observed();
}

void ProxiedRequest::RecordSurvival(TimePoint now) {
  const std::optional<StoreTime> store_now = state_.StoreNow();
  if (survival_recorded_ || !store_now) return;
  survival_recorded_ = true;
  const milliseconds age = std::chrono::duration_cast<milliseconds>(
      now - answer_began_at_.value_or(now));
  state_.quarantine.OnSurvived(suspects_, *store_now - age, *store_now);
  if (state_.quarantine.HasNews()) state_.on_suspect_observed();
}

void ProxiedRequest::RecordStreamOrigin(TimePoint now) {
  if (stream_software_) return;
  stream_software_ = attempt_->upstream.software;
  if (!admitted_.route->resumable) return;
  const bool split = admitted_.route->targets.size() > 1;
  state_.stream_origins.OnBegan(StreamIdOf(admitted_.caller.attempt_id),
                                {service_, *stream_software_}, split, now);
  if (split || state_.stream_origins.IsMixed(service_, now)) {
    state_.on_stream_began();
  }
}

void ProxiedRequest::RecordCachedParts(TimePoint now) {
  const DirectPlacementDecision& choice = attempt_->choice;
  if (choice.cache_scope.empty()) return;
  const PartChain chain = SharedChain(choice.cache_scope, query_.parts);
  if (chain.empty()) return;
  state_.parts.OnUsed(chain, attempt_->upstream.id, now);
  TellPartOwner(chain, attempt_->upstream.id, /*pending=*/false);
  if (choice.export_to.empty()) return;
  state_.parts.OnExported(chain, choice.export_to, now);
  TellExport(chain, choice.export_to);
}

void ProxiedRequest::BeginAnswer() {
  answer_started_ = true;
  begun_stream_ = streaming_;
  begun_event_stream_ = attempt_->info.event_stream;
  session_->BeginStream(attempt_->head->status,
                        platform::ForwardedAnswerFields(*attempt_->head));
}

void ProxiedRequest::OnExchangeEnd(ExchangeEnd end, std::string_view reason) {
  if (done_ || !attempt_) return;
  const auto self = shared_from_this();
  const TimePoint now = state_.Now();
  const UpstreamId upstream = attempt_->upstream.id;
  state_.load.End(upstream, attempt_->amount);
  attempt_->amount = WorkAmount();
  state_.overload.OnRoomMayBeFree();
  if (end == ExchangeEnd::kNotSent) {
    state_.health.OnUnreachable(upstream, now);
    state_.speeds.OnUnreachable(attempt_->upstream, now);
    state_.quarantine.OnInconclusive(suspects_);
    attempt_.reset();
    return OnEnd(AttemptEnd::kNotSent, reason);
  }
  ++delivered_attempts_;
  if (end != ExchangeEnd::kComplete) {
    // Upstreams cut answers that are not read for long; that is no failure.
    if (!attempt_->held_back) {
      if (end == ExchangeEnd::kBroken) {
        RecordCrash(attempt_->upstream, answer_began_at_, now);
      }
      state_.health.OnFailure(upstream, now);
    }
    state_.quarantine.OnGivenUp(suspects_);
    may_have_run_ = true;
    attempt_.reset();
    return OnEnd(AttemptEnd::kBroken, reason);
  }
  HandleAnswerEnd();
}

void ProxiedRequest::HandleAnswerEnd() {
  const TimePoint now = state_.Now();
  const UpstreamId upstream = attempt_->upstream.id;
  const AnswerInfo& info = attempt_->info;
  if (info.not_executed) {
    const bool wrong = info.wrong_upstream;
    if (wrong) --delivered_attempts_;
    if (!wrong) state_.health.OnFailure(upstream, now);
    state_.quarantine.OnInconclusive(suspects_);
    attempt_.reset();
    return OnEnd(wrong ? AttemptEnd::kWrongUpstream : AttemptEnd::kRejected,
                 wrong ? "other instance or weights" : "upstream is full");
  }
  may_have_run_ = true;
  const int status = attempt_->head->status;
  if (streaming_ && !splitter_.AtEventBoundary()) {
    RecordCrash(attempt_->upstream, answer_began_at_, now);
    state_.health.OnFailure(upstream, now);
    attempt_.reset();
    return OnEnd(AttemptEnd::kBroken, "stream ended within an event");
  }
  if (status >= kHttpFirstServerError) {
    state_.quarantine.OnInconclusive(suspects_);
    state_.health.OnFailure(upstream, now);
    const bool begun = answer_started_ && !attempt_->continues;
    return begun ? DeliverAnswer()
                 : OnEnd(AttemptEnd::kFailedStatus, "upstream failed");
  }
  if (attempt_->continues && !streaming_) {
    attempt_.reset();
    return OnEnd(AttemptEnd::kBroken, "resumed stream got another answer");
  }
  state_.health.OnSuccess(upstream, now);
  RecordServiceSpeed(now);
  if (!attempt_->has_first_event) RecordCachedParts(now);
  // Without a length or chunks, a crash may look like the end of the answer.
  if (attempt_->head->has_body) RecordSurvival(now);
  DeliverAnswer();
}

bool ProxiedRequest::IsFalseRefusal() const {
  return !admitted_.route->IsSafeToRetry() && !attempt_->info.not_executed &&
         ImpliesNotExecuted(attempt_->head->status);
}

void ProxiedRequest::DeliverAnswer() {
  if (IsFalseRefusal()) {
    session_->Respond(kHttpBadGateway, {}, "outcome unknown\n");
    return Finish("outcome_unknown", kHttpBadGateway,
                  "upstream refused a request that it may have run");
  }
  const HttpHead& head = *attempt_->head;
  const int status = head.status;
  if (answer_started_) {
    session_->EndStream();
  } else {
    session_->Respond(status, platform::ForwardedAnswerFields(head),
                      answer_body_);
  }
  Finish(status < kHttpFirstServerError ? "complete" : "failed_status", status,
         "");
}

}  // namespace yuccapick
