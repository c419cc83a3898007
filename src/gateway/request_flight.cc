#include "gateway/request_flight.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "platform/header_fields.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr int kHttpOk = 200;
constexpr int kHttpRedirect = 300;
constexpr int kHttpServerError = 500;
constexpr int kHttpBadGateway = 502;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpGatewayTimeout = 504;

constexpr std::size_t kMaxEventBytes = 1'048'576;
/// Answers up to this size are sent once they are whole.
constexpr std::size_t kMaxHeldBytes = 262'144;

/// An attempt that may be repeated is given up when its upstream has sent
/// nothing to anybody for this long, or three times as long otherwise.
constexpr milliseconds kMinPatience{350};
constexpr milliseconds kMinGapPatience{700};
constexpr double kGapPatience = 1.75;
constexpr int kPatienceIfOthersAreServed = 3;

/// Callers come back spread over this time, so that they do not all meet.
constexpr milliseconds kRetryAfterMin{150};
constexpr milliseconds kRetryAfterSpread{450};

/// Part of a shared prefix's memory that one request accounts for.
constexpr double kSharedMemoryPart = 0.5;

constexpr int kLeastUrgent = 9;

/// A request may wait this long at an upstream before it begins.
constexpr milliseconds kWeightsReserve{2'000};

/// Statuses that promise a caller that its request has not run.
bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::uint32_t SharedTokens(const std::vector<PromptPart>& parts) {
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) tokens += parts[i].tokens;
  return tokens;
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

std::int64_t Count(std::chrono::steady_clock::duration d) {
  return std::chrono::duration_cast<milliseconds>(d).count();
}

}  // namespace

RequestFlight::RequestFlight(GatewayState& state, AdmittedFlight admitted,
                             std::shared_ptr<IngressSession> session)
    : state_(state),
      admitted_(std::move(admitted)),
      session_(std::move(session)),
      timer_(state.loop),
      splitter_(kMaxEventBytes) {}

void RequestFlight::Begin() {
  const CallerHead& caller = admitted_.caller;
  const milliseconds limit =
      std::min(caller.time_limit.value_or(admitted_.route->timeout),
               admitted_.route->timeout);
  deadline_ = admitted_.request.arrived + limit;
  last_progress_ = admitted_.request.arrived;
  splitter_.set_last_id(caller.last_event_id);
  service_ = PickService();
  query_.parts = caller.parts;
  query_.prompt_tokens = caller.prompt_tokens;
  query_.output_tokens =
      caller.expected_output_tokens.value_or(caller.max_output_tokens);
  query_.body_bytes = admitted_.request.body.size();
  state_.BudgetOf(service_).OnRequest();
  TrySend();
}

ServiceId RequestFlight::PickService() {
  const std::vector<RouteTarget>& targets = admitted_.route->targets;
  if (targets.empty()) return ServiceId();
  double total = 0;
  for (const RouteTarget& target : targets) total += target.weight;
  const std::string& id = admitted_.caller.attempt_id;
  const auto hash =
      static_cast<std::uint32_t>(XXH3_64bits(id.data(), id.size()));
  double point = total * hash / 4'294'967'296.0;
  for (const RouteTarget& target : targets) {
    point -= target.weight;
    if (point < 0) return target.service;
  }
  return targets.back().service;
}

std::optional<WeightNumber> RequestFlight::WeightsAt(
    const UpstreamEntry& upstream) const {
  const auto it = upstream.weights.find(admitted_.caller.model);
  if (it == upstream.weights.end()) return std::nullopt;
  return it->second;
}

PlacementFleet RequestFlight::Fleet() const {
  PlacementFleet fleet;
  const GatewayConfig& config = *admitted_.config;
  const GatewayService* service = config.FindService(service_);
  const bool engines = service != nullptr && service->engine.has_value();
  if (engines) {
    fleet.kv_capacity_tokens = service->engine->kv_capacity_tokens;
    const GatewayService* store = config.FindKvStore();
    if (store != nullptr && state_.kv_store_usable) {
      fleet.kv_store_endpoint = store->kv_store_endpoint;
      fleet.kv_store_link = &state_.kv_store_link;
    }
  }
  const ModelId& model = admitted_.caller.model;
  const milliseconds limit =
      state_.settings.bounds.weights_limit - kWeightsReserve;
  const TimePoint now = state_.Now();
  std::vector<PlacementCandidate> overdue;
  for (const UpstreamEntry* upstream : state_.roster.Usable(service_)) {
    PlacementCandidate candidate;
    candidate.upstream = upstream;
    candidate.loading = state_.loading.contains(upstream->id);
    if (engines) {
      const std::optional<WeightNumber> weights = WeightsAt(*upstream);
      if (!weights) continue;
      candidate.cache_scope = config.CacheScopeOf(admitted_.team, *weights);
      candidate.old_weights = *weights < state_.named_weights.Newest(model);
      if (state_.named_weights.Overdue(model, *weights, limit, now)) {
        overdue.push_back(std::move(candidate));
        continue;
      }
    }
    fleet.candidates.push_back(std::move(candidate));
  }
  // With no upstream that is up to date, an old answer is better than none.
  if (fleet.candidates.empty()) fleet.candidates = std::move(overdue);
  return fleet;
}

bool RequestFlight::HasUntriedUpstream() const {
  for (const PlacementCandidate& candidate : Fleet().candidates) {
    const auto& tried = query_.tried;
    if (std::find(tried.begin(), tried.end(), candidate.upstream->id) ==
        tried.end()) {
      return true;
    }
  }
  return false;
}

void RequestFlight::TrySend() {
  const TimePoint now = state_.Now();
  if (now >= deadline_) return Conclude(AttemptEnd::kTimedOut, "no time left");
  const std::optional<DirectChoice> choice = state_.placement.Choose(
      query_, Fleet(), state_.parts, state_.load, state_.health, now);
  if (!choice) return Conclude(AttemptEnd::kNotSent, "no usable upstream");
  Send(*choice, *state_.roster.FindUsable(choice->upstream));
}

AttemptHead RequestFlight::MakeAttemptHead(
    const DirectChoice& choice, const UpstreamEntry& upstream) const {
  AttemptHead head;
  head.upstream = upstream.id;
  head.time_left = TimeLeft(state_.Now());
  if (admitted_.team != nullptr) head.team = admitted_.team->id;
  head.last_event_id = splitter_.last_id();
  if (admitted_.route->kind != RouteKind::kStreaming) return head;
  head.urgency = Urgency();
  head.weights = WeightsAt(upstream);
  head.cache_scope = choice.cache_scope;
  head.import_from = choice.import_from;
  head.export_to = choice.export_to;
  return head;
}

int RequestFlight::Urgency() const {
  std::int32_t priority = admitted_.route->priority;
  if (admitted_.team != nullptr && admitted_.team->priority) {
    priority = *admitted_.team->priority;
  }
  return std::clamp(priority, 0, kLeastUrgent);
}

void RequestFlight::Send(const DirectChoice& choice,
                         const UpstreamEntry& upstream) {
  const TimePoint now = state_.Now();
  const AttemptHead head = MakeAttemptHead(choice, upstream);
  std::string request = platform::EncodeAttempt(admitted_.request.head, head,
                                                admitted_.request.body.size());
  request += admitted_.request.body;

  Attempt attempt;
  attempt.upstream = upstream;
  attempt.sent_at = now;
  attempt.last_progress = now;
  last_progress_ = now;
  attempt.choice = choice;
  attempt.amount.requests = 1;
  const std::uint32_t shared = SharedTokens(query_.parts);
  attempt.amount.kv_tokens =
      query_.prompt_tokens - std::min(shared, query_.prompt_tokens) +
      static_cast<std::uint64_t>(shared * kSharedMemoryPart) +
      query_.output_tokens;
  attempt.amount.prefill_tokens = choice.missing_tokens;
  state_.load.Begin(upstream.id, attempt.amount);
  if (!choice.cache_scope.empty()) {
    state_.parts.OnSent(SharedChain(choice.cache_scope, query_.parts),
                        upstream.id, now);
  }
  if (choice.store_tokens > 0) {
    state_.kv_store_link.OnTransfer(choice.store_tokens, now);
    state_.kv_store_tokens += choice.store_tokens;
  }
  ++sends_;
  expected_hit_tokens_ = choice.expected_hit_tokens;
  query_.tried.push_back(upstream.id);
  splitter_.DropPartial();
  body_.clear();
  attempt_ = std::move(attempt);
  state_.log.Write(
      LogKind::kRequest, now,
      "event=request_sent id={} attempt={} route={} upstream={} cost_ms={:.1f} "
      "hit_tokens={} missing_tokens={} import_from={} export={} weights={} "
      "left_ms={} config={}",
      admitted_.caller.attempt_id, sends_, admitted_.route->name,
      upstream.id.value, choice.cost.count(), choice.expected_hit_tokens,
      choice.missing_tokens,
      choice.import_from.empty() ? "-" : choice.import_from,
      !choice.export_to.empty(), head.weights.value_or(0),
      head.time_left.count(), admitted_.config->version().value);
  const auto self = shared_from_this();
  const auto connection = state_.upstream_connections.Start(
      upstream.endpoint, std::move(request),
      admitted_.request.head.method == "HEAD", self);
  if (attempt_) attempt_->connection = connection;
  ArmTimer();
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

std::optional<TimePoint> RequestFlight::StuckAt() const {
  if (!attempt_ || !admitted_.route->MayRepeat()) return std::nullopt;
  milliseconds patience =
      std::max(kMinPatience, admitted_.route->target_latency);
  if (attempt_->first_event) {
    patience = std::max(kMinGapPatience,
                        std::chrono::duration_cast<milliseconds>(
                            admitted_.route->target_event_gap * kGapPatience));
  }
  const TimePoint since = attempt_->last_progress;
  const bool silent = state_.health.SilentSince(attempt_->upstream.id, since);
  const TimePoint first = since + patience;
  if (silent || state_.Now() < first) return first;
  return since + patience * kPatienceIfOthersAreServed;
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
  if (arrivals_ + 1 >= admitted_.route->max_attempts || !HasUntriedUpstream()) {
    attempt_->last_progress = now;
    return ArmTimer();
  }
  const UpstreamId upstream = attempt_->upstream.id;
  if (state_.health.SilentSince(upstream, attempt_->last_progress)) {
    state_.health.OnUnreachable(upstream, now);
  } else {
    state_.health.OnFailure(upstream, now);
  }
  ++arrivals_;
  may_have_run_ = true;
  ReleaseAttempt();
  Conclude(AttemptEnd::kBroken, "upstream is silent");
}

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
  state_.health.OnHeard(attempt_->upstream.id, state_.Now());
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
  state_.health.OnHeard(attempt_->upstream.id, now);
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

void RequestFlight::ReleaseAttempt() {
  if (!attempt_) return;
  state_.load.End(attempt_->upstream.id, attempt_->amount);
  if (attempt_->connection != nullptr) attempt_->connection->Abandon();
  attempt_.reset();
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
  if (streaming_ && !splitter_.AtBoundary()) {
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

FlightStep RequestFlight::NextStep(AttemptEnd end) {
  FlightFacts facts;
  facts.may_repeat = admitted_.route->MayRepeat();
  facts.answer_started = answer_started_;
  facts.may_have_run = may_have_run_;
  facts.time_left = state_.Now() < deadline_;
  facts.has_upstream = HasUntriedUpstream();
  facts.arrivals = arrivals_;
  facts.max_attempts = admitted_.route->max_attempts;
  // An answer of unknown kind that has begun cannot go on elsewhere.
  if (answer_started_ && admitted_.route->kind != RouteKind::kStreaming) {
    facts.may_repeat = false;
  }
  const FlightStep step = DecideNextStep(facts, end);
  const bool spends =
      step == FlightStep::kSendElsewhere && end != AttemptEnd::kNotSent;
  if (!spends || state_.BudgetOf(service_).TryTake()) return step;
  facts.budget_left = false;
  return DecideNextStep(facts, end);
}

void RequestFlight::Conclude(AttemptEnd end, std::string_view reason) {
  if (done_) return;
  const FlightStep step = NextStep(end);
  state_.log.Write(
      LogKind::kFailure, state_.Now(),
      "event=attempt_ended id={} attempt={} upstream={} end={} reason=\"{}\" "
      "step={} arrivals={} max_attempts={} left_ms={}",
      admitted_.caller.attempt_id, sends_,
      query_.tried.empty() ? "-" : query_.tried.back().value,
      AttemptEndName(end), reason, FlightStepName(step), arrivals_,
      admitted_.route->max_attempts, TimeLeft(state_.Now()).count());
  Carry(step, reason);
}

void RequestFlight::Carry(FlightStep step, std::string_view reason) {
  switch (step) {
    case FlightStep::kSendElsewhere:
      attempt_.reset();
      return TrySend();
    case FlightStep::kPassOn:
      if (!admitted_.route->MayRepeat() &&
          PromisesNotRun(attempt_->head->status)) {
        session_->Respond(kHttpBadGateway, {}, "outcome unknown\n");
        return Finish("outcome_unknown", kHttpBadGateway, reason);
      }
      return Deliver();
    case FlightStep::kRefuse:
      return Refuse(reason);
    case FlightStep::kFail:
      session_->Respond(kHttpBadGateway, {}, "upstream failed\n");
      return Finish("upstream_failed", kHttpBadGateway, reason);
    case FlightStep::kTimeOut:
      session_->Respond(kHttpGatewayTimeout, {}, "time limit reached\n");
      return Finish("deadline_exceeded", kHttpGatewayTimeout, reason);
    case FlightStep::kCutOff: {
      done_ = true;
      session_->Abort();
      done_ = false;
      return Finish("incomplete_answer", 0, reason);
    }
  }
}

milliseconds RequestFlight::RetryAfter() {
  const auto spread =
      absl::Uniform<std::int64_t>(state_.random, 0, kRetryAfterSpread.count());
  return kRetryAfterMin + milliseconds(spread);
}

void RequestFlight::Refuse(std::string_view reason) {
  const milliseconds after = RetryAfter();
  const std::string seconds =
      fmt::format("{:.3f}", std::chrono::duration<double>(after).count());
  session_->Respond(kHttpUnavailable, {{"Retry-After", seconds}}, "not run\n");
  Finish("refused", kHttpUnavailable, reason);
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

void RequestFlight::Finish(std::string_view outcome, int status,
                           std::string_view reason) {
  if (done_) return;
  done_ = true;
  timer_.cancel();
  const TimePoint now = state_.Now();
  const bool complete = outcome == "complete";
  const TimePoint arrived = admitted_.request.arrived;
  state_.log.Write(
      complete ? LogKind::kRequest : LogKind::kFailure, now,
      "event=request_done id={} outcome={} status={} route={} team={} "
      "attempts={} upstream={} first_ms={} total_ms={} silent_ms={} events={} "
      "reason=\"{}\"",
      admitted_.caller.attempt_id, outcome, status, admitted_.route->name,
      admitted_.team == nullptr ? "-" : admitted_.team->id.value, sends_,
      query_.tried.empty() ? "-" : query_.tried.back().value,
      first_event_at_ == TimePoint() ? -1 : Count(first_event_at_ - arrived),
      Count(now - arrived), Count(now - last_progress_), splitter_.events(),
      reason);
  RecordMetrics(outcome, status, now);
  attempt_.reset();
  session_.reset();
}

void RequestFlight::RecordMetrics(std::string_view outcome, int status,
                                  TimePoint now) {
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  RequestFinished finished;
  if (admitted_.team != nullptr) finished.team = admitted_.team->id;
  finished.service = service_;
  finished.urgent = Urgency() == 0;
  finished.complete = outcome == "complete";
  finished.error = ErrorOf(outcome, status);
  finished.attempts = sends_;
  finished.total = duration_cast<microseconds>(now - admitted_.request.arrived);
  finished.first_token = finished.total;
  if (first_event_at_ != TimePoint()) {
    finished.first_token = duration_cast<microseconds>(
        first_event_at_ - admitted_.request.arrived);
    finished.usage.prompt_tokens = query_.prompt_tokens;
    finished.usage.cached_tokens = expected_hit_tokens_;
    finished.usage.completion_tokens = splitter_.events();
  }
  state_.metrics.Record(finished);
}

void RequestFlight::OnCallerGone() {
  if (done_) return;
  const auto self = shared_from_this();
  ReleaseAttempt();
  Finish("cancelled", 0, "caller closed its connection");
}

milliseconds RequestFlight::TimeLeft(TimePoint now) const {
  return std::max(milliseconds(0),
                  std::chrono::duration_cast<milliseconds>(deadline_ - now));
}

}  // namespace yuccapick
