#include "gateway/proxied_request.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "gateway/boot_clock.h"
#include "gateway/http_status.h"
#include "platform/header_fields.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxEventBytes = 262'144;

/// Shortest delay after which a caller that found no upstream should retry.
constexpr milliseconds kRetryAfter{150};

/// While the gateway is stopping, no attempt begins that has less time left
/// than this many times its route's target latency.
constexpr int kAttemptTimeFactor = 2;

/// Share of a shared prefix's tokens that is charged to one request.
constexpr double kSharedMemoryShare = 0.5;

constexpr int kLowestUrgency = 9;

std::int64_t Milliseconds(std::chrono::steady_clock::duration d) {
  return std::chrono::duration_cast<milliseconds>(d).count();
}

std::uint32_t SharedTokens(const std::vector<PromptPart>& parts) {
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) tokens += parts[i].tokens;
  return tokens;
}

}  // namespace

ProxiedRequest::ProxiedRequest(GatewayState& state,
                               AdmittedProxyRequest admitted,
                               std::shared_ptr<IngressSession> session)
    : state_(state),
      admitted_(std::move(admitted)),
      session_(std::move(session)),
      body_(std::make_shared<const std::string>(
          std::move(admitted_.request.body))),
      timer_(state.loop),
      splitter_(kMaxEventBytes) {}

void ProxiedRequest::Begin() {
  const CallerHeaders& caller = admitted_.caller;
  const milliseconds limit =
      std::min(caller.time_limit.value_or(admitted_.route->timeout),
               admitted_.route->timeout);
  deadline_ = admitted_.request.arrived_at + limit;
  last_progress_ = admitted_.request.arrived_at;
  splitter_.set_last_id(caller.last_event_id);
  service_ = PickService();
  query_.parts = caller.parts;
  suspects_ = MakeSuspects();
  query_.prompt_tokens = caller.prompt_tokens;
  query_.output_tokens =
      caller.expected_output_tokens.value_or(caller.max_output_tokens);
  query_.body_bytes = body_->size();
  query_.random =
      XXH3_64bits(caller.attempt_id.data(), caller.attempt_id.size());
  if (CheckQuota()) BeginAdmitted();
}

void ProxiedRequest::BeginAdmitted() {
  const OriginSearch search = FindStreamOrigin({});
  state_.RetryBudgetOf(service_).OnRequest();
  if (search == OriginSearch::kUnconfirmed) return AwaitListConfirmation();
  if (search == OriginSearch::kUnknown) return LookUpStreamOrigin(false);
  Place();
}

void ProxiedRequest::Place() {
  if (!AwaitHolders()) TrySend();
}

void ProxiedRequest::TrySend() {
  const TimePoint now = state_.Now();
  if (now >= deadline_) return OnEnd(AttemptEnd::kTimedOut, "no time left");
  if (StopsBeforeAnswer(now)) {
    retry_after_ = kStoppingRetryAfter;
    return OnEnd(AttemptEnd::kNotSent, "gateway is stopping");
  }
  if (StopAtSuspect(now)) return;
  const std::optional<DirectPlacementDecision> choice = state_.placement.Choose(
      query_, Fleet(), state_.parts, state_.load, state_.health, now);
  if (!choice) {
    if (!AwaitRoom(now)) OnNoUpstream(now);
    return;
  }
  Send(*choice, *state_.roster.FindUsable(choice->upstream));
}

std::uint64_t ProxiedRequest::KvTokensNeeded() const {
  const std::uint32_t shared = SharedTokens(query_.parts);
  return query_.prompt_tokens - std::min(shared, query_.prompt_tokens) +
         static_cast<std::uint64_t>(shared * kSharedMemoryShare) +
         query_.output_tokens;
}

bool ProxiedRequest::StopsBeforeAnswer(TimePoint now) const {
  return state_.stops_at &&
         *state_.stops_at - now <
             admitted_.route->target_latency * kAttemptTimeFactor;
}

AttemptHeaders ProxiedRequest::MakeAttemptHeaders(
    const DirectPlacementDecision& choice,
    const UpstreamEntry& upstream) const {
  AttemptHeaders head;
  head.upstream = upstream.id;
  head.time_left = TimeLeft(state_.Now());
  if (admitted_.team != nullptr) head.team = admitted_.team->id;
  head.last_event_id = splitter_.last_id();
  head.weights = WeightsAt(upstream);
  const bool is_stream = admitted_.route->kind == RouteKind::kStreaming;
  if (head.weights || is_stream) head.urgency = AttemptUrgency();
  head.cache_scope = choice.cache_scope;
  head.import_from = choice.import_from;
  head.export_to = choice.export_to;
  return head;
}

int ProxiedRequest::Urgency() const {
  std::int32_t priority = admitted_.route->priority;
  if (admitted_.team != nullptr && admitted_.team->priority) {
    priority = *admitted_.team->priority;
  }
  return std::clamp(priority, 0, kLowestUrgency);
}

int ProxiedRequest::AttemptUrgency() const {
  return std::min(Urgency() + (ExceedsFairShare() ? 1 : 0), kLowestUrgency);
}

void ProxiedRequest::Send(const DirectPlacementDecision& choice,
                          const UpstreamEntry& upstream) {
  const TimePoint now = state_.Now();
  const AttemptHeaders head = MakeAttemptHeaders(choice, upstream);
  OutgoingRequest request;
  request.head =
      platform::EncodeAttemptHead(admitted_.request.head, head, body_->size());
  if (!body_->empty()) request.body = body_;

  if (state_.quarantine.OnSent(suspects_)) RecordTrial(upstream);
  Attempt attempt;
  attempt.upstream = upstream;
  attempt.sent_at = now;
  if (const auto store_now = state_.StoreNow()) {
    state_.limits.OnSent(upstream.id, upstream.incarnation, *store_now);
  }
  attempt.last_progress = now;
  attempt.continues = answer_started_;
  last_progress_ = now;
  attempt.choice = choice;
  attempt.amount.requests = 1;
  const std::uint32_t shared = SharedTokens(query_.parts);
  attempt.amount.kv_tokens = KvTokensNeeded();
  attempt.amount.prefill_tokens = choice.missing_tokens;
  if (MakeRoomDemand().rank == 0) {
    attempt.amount.urgent_tokens = choice.missing_tokens;
  }
  attempt.tokens_ahead = state_.load.Total(upstream.id, now).prefill_tokens;
  attempt.first_in_queue = attempt.tokens_ahead == 0;
  state_.load.Begin(upstream.id, attempt.amount);
  RecordTeamWork(choice, now);
  PartChain chain;
  if (!choice.cache_scope.empty()) {
    chain = SharedChain(choice.cache_scope, query_.parts);
    state_.parts.OnSent(chain, upstream.id, now);
    TellPartOwner(chain, upstream.id, /*pending=*/true);
  }
  const auto store = state_.kv_stores.find(choice.kv_store);
  if (choice.store_tokens > 0 && store != state_.kv_stores.end()) {
    store->second.link.OnTransfer(choice.store_tokens, now);
    store->second.unreported_tokens += choice.store_tokens;
  }
  const milliseconds replaced_for = WeightsReplacedFor(upstream);
  const std::optional<milliseconds> since_outage =
      state_.store_contact.TimeSinceOutage(BootTimeNow());
  const auto rate = state_.prefill_rates.find(service_);
  if (replaced_for >= state_.settings.bounds.stale_weights_limit) {
    ++state_.attempts_on_overdue_weights;
  }
  ++attempts_sent_;
  DiscardPartialEvent();
  answer_body_.clear();
  answer_began_at_.reset();
  survival_recorded_ = false;
  named_limit_.reset();
  upstream_status_ = 0;
  attempt_ = std::move(attempt);
  paused_since_.reset();
  state_.log.Write(
      LogKind::kRequest, now,
      "event=request_sent id={} attempt={} route={} upstream={} software={} "
      "resumes={} cost_ms={:.1f} "
      "prefix={:x} hit_tokens={} missing_tokens={} known_tokens={} "
      "shared_tokens={} at_home={} asked_ms={} tokens_per_ms={:.0f} "
      "slowdown={:.2f} import_from={} export={} "
      "weights={} replaced_ms={} overdue_use={} since_outage_ms={} left_ms={} "
      "config={}",
      admitted_.caller.attempt_id, attempts_sent_, admitted_.route->name,
      upstream.id.value, upstream.software.value,
      admitted_.caller.resumes.empty() ? "-" : admitted_.caller.resumes,
      choice.cost.count(), chain.empty() ? 0 : chain.back().hash,
      choice.expected_cached_tokens, choice.missing_tokens, choice.known_tokens,
      shared, choice.at_home, holders_wait_.count(),
      rate == state_.prefill_rates.end() ? 0 : rate->second.tokens_per_ms(),
      state_.speeds.SlowdownOf(upstream, now),
      choice.import_from.empty() ? "-" : choice.import_from,
      !choice.export_to.empty(), head.weights.value_or(0), replaced_for.count(),
      OverdueUseName(IsOverdue(upstream) ? UseOfOverdueWeights(*head.weights)
                                         : OverdueUse::kNotOverdue),
      since_outage ? since_outage->count() : -1, head.time_left.count(),
      admitted_.config->version().value);
  ExchangeOptions options;
  options.expect_no_body = admitted_.request.head.method == "HEAD";
  options.excluded = used_connections_;
  attempt_->exchange = state_.upstream_connections.Start(
      upstream.endpoint, std::move(request), options, shared_from_this());
  used_connections_.push_back(attempt_->exchange.connection());
  NameCurrentAttempt();
  ArmTimer();
}

void ProxiedRequest::AbandonAttempt() {
  if (!attempt_) return;
  state_.load.End(attempt_->upstream.id, attempt_->amount);
  state_.quarantine.OnGivenUp(suspects_);
  CloseConnection(*attempt_);
  attempt_.reset();
}

void ProxiedRequest::CloseConnection(Attempt& attempt) {
  Exchange& exchange = attempt.exchange;
  if (!exchange.active()) return;
  const TimePoint now = state_.Now();
  const auto silence = now - exchange.connection()->active_at();
  if (silence < SilenceTimeout(attempt)) return exchange.Abandon();
  const std::size_t idle = state_.upstream_connections.GiveUp(exchange);
  state_.log.Write(LogKind::kFailure, now,
                   "event=connection_silent id={} attempt={} upstream={} "
                   "silent_ms={} idle_closed={}",
                   admitted_.caller.attempt_id, attempts_sent_,
                   attempt.upstream.id.value, Milliseconds(silence), idle);
}

RetryContext ProxiedRequest::MakeRetryContext() const {
  RetryContext context;
  context.may_repeat = admitted_.route->IsSafeToRetry();
  context.answer_started = answer_started_;
  context.may_have_run = may_have_run_;
  context.time_left = state_.Now() < deadline_;
  context.has_upstream = !retry_after_ && HasUntriedUpstream();
  context.delivered_attempts = delivered_attempts_;
  context.max_attempts = admitted_.route->max_attempts;
  // Only an event stream can be continued at another upstream.
  if (answer_started_ && !begun_stream_) context.may_repeat = false;
  return context;
}

RetryDecision ProxiedRequest::NextDecision(AttemptEnd end) {
  const bool spent = delivered_attempts_ >= admitted_.route->max_attempts;
  returns_only_ = spent && !silent_upstreams_.empty();
  if (returns_only_) ExcludeAllButSilentUpstreams();
  if (!HasUntriedUpstream()) ReadmitSilentUpstreams();
  RetryContext context = MakeRetryContext();
  context.returns_only = returns_only_;
  const RetryDecision decision = DecideRetry(context, end);
  const bool spends =
      decision == RetryDecision::kSendElsewhere && end != AttemptEnd::kNotSent;
  if (!spends || state_.RetryBudgetOf(service_).TryAcquire()) return decision;
  context.budget_left = false;
  return DecideRetry(context, end);
}

void ProxiedRequest::OnEnd(AttemptEnd end, std::string_view reason) {
  paused_since_.reset();
  if (done_) return;
  if (parked_ && end != AttemptEnd::kTimedOut) return ResumeParked(reason);
  // The decision may change which upstreams count as tried.
  const std::string upstream =
      query_.tried.empty() ? "-" : query_.tried.back().value;
  const RetryDecision decision = NextDecision(end);
  const TimePoint now = state_.Now();
  state_.log.Write(
      LogKind::kFailure, now,
      "event=attempt_ended id={} attempt={} upstream={} connection={} "
      "exchange={} end={} reason=\"{}\" step={} delivered_attempts={} "
      "max_attempts={} left_ms={} begun_ms={} "
      "suspects={}",
      admitted_.caller.attempt_id, attempts_sent_, upstream, connection_number_,
      connection_exchanges_, AttemptEndName(end), reason,
      RetryDecisionName(decision), delivered_attempts_,
      admitted_.route->max_attempts, TimeLeft(now).count(),
      answer_began_at_ ? Milliseconds(now - *answer_began_at_) : -1,
      FormatSuspects(suspects_));
  Execute(decision, reason);
}

void ProxiedRequest::Execute(RetryDecision decision, std::string_view reason) {
  switch (decision) {
    case RetryDecision::kSendElsewhere:
      attempt_.reset();
      return TrySend();
    case RetryDecision::kPassOn:
      return DeliverAnswer();
    case RetryDecision::kRefuse:
      return Refuse(reason, retry_after_.value_or(kRetryAfter));
    case RetryDecision::kFail:
      session_->Respond(kHttpBadGateway, {}, "upstream failed\n");
      return Finish("upstream_failed", kHttpBadGateway, reason);
    case RetryDecision::kTimeOut:
      session_->Respond(kHttpGatewayTimeout, {}, "time limit reached\n");
      return Finish("deadline_exceeded", kHttpGatewayTimeout, reason);
    case RetryDecision::kCutOff: {
      done_ = true;
      session_->Abort();
      done_ = false;
      return Finish("incomplete_answer", 0, reason);
    }
  }
}

}  // namespace yuccapick
