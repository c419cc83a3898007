#include "gateway/request_flight.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "gateway/http_status.h"
#include "platform/header_fields.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxEventBytes = 1'048'576;

/// Callers that found no upstream may come back after this.
constexpr milliseconds kRetryAfter{150};

/// Part of a shared prefix's memory that one request accounts for.
constexpr double kSharedMemoryPart = 0.5;

constexpr int kLeastUrgent = 9;

/// Statuses that promise a caller that its request has not run.
bool PromisesNotRun(int status) {
  return status == kHttpRequestTimeout || status == kHttpMisdirected ||
         status == kHttpTooMany || status == kHttpUnavailable;
}

std::uint32_t SharedTokens(const std::vector<PromptPart>& parts) {
  std::uint32_t tokens = 0;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) tokens += parts[i].tokens;
  return tokens;
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
  if (ShedLoad()) return;
  TrySend();
}

bool RequestFlight::ShedLoad() {
  const GatewayRoute& route = *admitted_.route;
  const auto it = state_.stream_loads.find(route.name);
  if (it == state_.stream_loads.end()) return false;
  const milliseconds begins = it->second.first_event.mean();
  LoadShedder& shedder = it->second.shedder;
  shedder.Update(begins, route.target_latency, state_.Now());
  const std::string& id = admitted_.caller.attempt_id;
  if (!shedder.ShouldReject(XXH3_64bits(id.data(), id.size()))) return false;
  state_.log.Write(LogKind::kFailure, state_.Now(),
                   "event=load_shed id={} route={} begins_ms={} target_ms={} "
                   "share={:.2f}",
                   id, route.name, begins.count(), route.target_latency.count(),
                   shedder.share());
  Refuse("upstreams are overloaded", shedder.RetryAfter());
  return true;
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

std::optional<WeightVersionNumber> RequestFlight::WeightsAt(
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
      state_.settings.bounds.weights_limit - WeightsReserve();
  const TimePoint now = state_.Now();
  std::vector<PlacementCandidate> overdue;
  for (const UpstreamEntry* upstream : state_.roster.Usable(service_)) {
    PlacementCandidate candidate;
    candidate.upstream = upstream;
    candidate.loading = state_.loading.contains(upstream->id);
    if (engines) {
      const std::optional<WeightVersionNumber> weights = WeightsAt(*upstream);
      if (!weights) continue;
      candidate.cache_scope = config.CacheScopeOf(admitted_.team, *weights);
      candidate.old_weights = *weights < state_.named_weights.Newest(model);
      if (state_.named_weights.IsOverdue(model, *weights, limit, now)) {
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
  PartChain chain;
  if (!choice.cache_scope.empty()) {
    chain = SharedChain(choice.cache_scope, query_.parts);
    state_.parts.OnSent(chain, upstream.id, now);
  }
  if (choice.store_tokens > 0) {
    state_.kv_store_link.OnTransfer(choice.store_tokens, now);
    state_.kv_store_tokens += choice.store_tokens;
  }
  ++sends_;
  expected_hit_tokens_ = choice.expected_hit_tokens;
  query_.tried.push_back(upstream.id);
  splitter_.DiscardPartialEvent();
  body_.clear();
  attempt_ = std::move(attempt);
  state_.log.Write(
      LogKind::kRequest, now,
      "event=request_sent id={} attempt={} route={} upstream={} cost_ms={:.1f} "
      "prefix={:x} hit_tokens={} missing_tokens={} import_from={} export={} "
      "weights={} left_ms={} config={}",
      admitted_.caller.attempt_id, sends_, admitted_.route->name,
      upstream.id.value, choice.cost.count(),
      chain.empty() ? 0 : chain.back().hash, choice.expected_hit_tokens,
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

void RequestFlight::ReleaseAttempt() {
  if (!attempt_) return;
  state_.load.End(attempt_->upstream.id, attempt_->amount);
  if (attempt_->connection != nullptr) attempt_->connection->Abandon();
  attempt_.reset();
}

RetryDecision RequestFlight::NextStep(AttemptEnd end) {
  RetryContext facts;
  facts.may_repeat = admitted_.route->IsSafeToRetry();
  facts.answer_started = answer_started_;
  facts.may_have_run = may_have_run_;
  facts.time_left = state_.Now() < deadline_;
  facts.has_upstream = HasUntriedUpstream();
  facts.delivered_attempts = arrivals_;
  facts.max_attempts = admitted_.route->max_attempts;
  // An answer of unknown kind that has begun cannot go on elsewhere.
  if (answer_started_ && admitted_.route->kind != RouteKind::kStreaming) {
    facts.may_repeat = false;
  }
  const RetryDecision step = DecideRetry(facts, end);
  const bool spends =
      step == RetryDecision::kSendElsewhere && end != AttemptEnd::kNotSent;
  if (!spends || state_.BudgetOf(service_).TryAcquire()) return step;
  facts.budget_left = false;
  return DecideRetry(facts, end);
}

void RequestFlight::Conclude(AttemptEnd end, std::string_view reason) {
  if (done_) return;
  const RetryDecision step = NextStep(end);
  state_.log.Write(
      LogKind::kFailure, state_.Now(),
      "event=attempt_ended id={} attempt={} upstream={} end={} reason=\"{}\" "
      "step={} arrivals={} max_attempts={} left_ms={}",
      admitted_.caller.attempt_id, sends_,
      query_.tried.empty() ? "-" : query_.tried.back().value,
      AttemptEndName(end), reason, RetryDecisionName(step), arrivals_,
      admitted_.route->max_attempts, TimeLeft(state_.Now()).count());
  Carry(step, reason);
}

void RequestFlight::Carry(RetryDecision step, std::string_view reason) {
  switch (step) {
    case RetryDecision::kSendElsewhere:
      attempt_.reset();
      return TrySend();
    case RetryDecision::kPassOn:
      if (!admitted_.route->IsSafeToRetry() &&
          PromisesNotRun(attempt_->head->status)) {
        session_->Respond(kHttpBadGateway, {}, "outcome unknown\n");
        return Finish("outcome_unknown", kHttpBadGateway, reason);
      }
      return Deliver();
    case RetryDecision::kRefuse:
      return Refuse(reason, kRetryAfter);
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
