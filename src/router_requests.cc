#include <fmt/format.h>

#include <utility>

#include "router_impl.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kConcurrencyRetryAfter{500};
constexpr std::chrono::milliseconds kNoUpstreamRetryAfter{1'000};
constexpr std::uint64_t kPrefixPieceBytes = 16 << 10;

Error DrainingError() {
  return {ErrorKind::kDraining, Execution::kNotRun,
          "this router is stopping; send the request again to another one",
          std::chrono::milliseconds(0)};
}

Error ConcurrencyError(const CallerRequest& request,
                       std::uint32_t max_concurrency) {
  return {ErrorKind::kOverloaded, Execution::kNotRun,
          fmt::format("{} requests of service {} are in flight at this router; "
                      "retry later or raise its max_concurrency",
                      max_concurrency, request.service.value),
          kConcurrencyRetryAfter};
}

std::uint64_t TotalBytes(const std::vector<std::string>& levels) {
  std::uint64_t n = 0;
  for (const std::string& level : levels) n += level.size();
  return n;
}

PlacementRequest MakePlacementRequest(const CallerRequest& request,
                                      const AdmittedRequest& admitted) {
  PlacementRequest placement;
  placement.scope = {request.team, request.model, request.adapter,
                     admitted.weights};
  placement.service = request.service;
  placement.pieces =
      SplitPrefix(placement.scope, request.levels, kPrefixPieceBytes);
  placement.prompt_bytes = TotalBytes(request.levels);
  placement.urgent = admitted.route.urgent;
  placement.reuse_weight = admitted.service->reuse_weight;
  return placement;
}

}  // namespace

void RouterCore::Impl::RejectRequest(const CallerRequest& request,
                                     Error error) {
  error.execution = RefusalExecution(request, request.key.empty());
  actions_.push_back(FailRequest{request.id, error});
  RequestFinished finished;
  finished.team = request.team;
  finished.service = request.service;
  finished.error = error.kind;
  finished.execution = error.execution;
  actions_.push_back(std::move(finished));
}

void RouterCore::Impl::On(const RequestArrived& event) {
  const CallerRequest& request = event.request;
  if (drain_deadline_) {
    RejectRequest(request, DrainingError());
    return;
  }
  AdmissionResult result = Admit(config_, request, now_);
  if (auto* error = std::get_if<Error>(&result)) {
    RejectRequest(request, std::move(*error));
    return;
  }
  const auto& admitted = std::get<AdmittedRequest>(result);
  const std::uint32_t max_concurrency = admitted.service->max_concurrency;
  if (max_concurrency > 0 && in_flight_[request.service] >= max_concurrency) {
    RejectRequest(request, ConcurrencyError(request, max_concurrency));
    return;
  }
  ActiveRequest active;
  active.request = request;
  active.admitted = admitted;
  active.arrived_at = now_;
  if (request.kind != RequestKind::kPlain) {
    active.placement = MakePlacementRequest(request, active.admitted);
    // The body has the text; placement needs only the pieces.
    active.request.levels = {};
  }
  auto [it, inserted] = active_requests_.emplace(request.id, std::move(active));
  if (!inserted) return;
  ++in_flight_[request.service];
  RetryBudgetOf(request.service).OnRequest();
  ContinuationBudgetOf(request.service).OnRequest();
  timers_.Arm(request.id, it->second.admitted.deadline);
  Dispatch(it->second);
}

void RouterCore::Impl::On(const CallerDisconnected& event) {
  auto it = active_requests_.find(event.request);
  if (it == active_requests_.end()) return;
  ActiveRequest& active = it->second;
  const Error error{ErrorKind::kCancelled, Execution::kUnknown,
                    "the caller closed its connection", std::nullopt};
  if (active.operation && active.operation->may_have_run) {
    Detach(active, error);
    return;
  }
  if (!active.detached) ReportFinished(active, false, error);
  Forget(active);
}

void RouterCore::Impl::Dispatch(ActiveRequest& active) {
  if (!active.admitted.route.idempotent) {
    StartOperation(active);
    return;
  }
  std::optional<Attempt> attempt = ChooseUpstream(active);
  if (!attempt) {
    Fail(active, {ErrorKind::kNoUpstream, Execution::kNotRun,
                  fmt::format("no live upstream can serve {}; retry later or "
                              "add one",
                              active.request.service.value),
                  kNoUpstreamRetryAfter});
    return;
  }
  Send(active, *std::move(attempt));
  ScheduleHedge(active);
}

AttemptId RouterCore::Impl::NextAttemptId() {
  return AttemptId(fmt::format("{}-{}-{}", options_.instance.value,
                               options_.incarnation.value,
                               ++attempts_started_));
}

std::optional<Attempt> RouterCore::Impl::ChooseUpstream(ActiveRequest& active) {
  std::optional<Attempt> attempt =
      ChooseUpstreamExcept(active, AvoidedUpstreams(active));
  if (!attempt) attempt = ChooseUpstreamExcept(active, active.excluded);
  const bool retry = active.attempts_made > 0 && active.attempts.empty();
  if (!attempt && retry) attempt = ChooseUpstreamExcept(active, {});
  return attempt;
}

std::optional<Attempt> RouterCore::Impl::ChooseUpstreamExcept(
    ActiveRequest& active, const std::vector<UpstreamId>& avoided) {
  Attempt attempt;
  const CallerRequest& request = active.request;
  if (request.kind != RequestKind::kPlain) {
    active.placement.excluded = avoided;
    std::optional<PlacementDecision> decision =
        placement_.Choose(active.placement, now_);
    if (!decision) return std::nullopt;
    attempt.upstream = decision->upstream;
    attempt.agent_incarnation = decision->agent_incarnation;
    attempt.engine_incarnation = decision->engine_incarnation;
  } else {
    std::optional<UpstreamId> id = upstreams_.PickLeastLoaded(
        request.service, request.target, active.excluded);
    if (!id) return std::nullopt;
    attempt.upstream = *id;
    attempt.agent_incarnation = upstreams_.Find(*id)->agent_incarnation;
  }
  attempt.id = NextAttemptId();
  return attempt;
}

void RouterCore::Impl::Send(ActiveRequest& active, Attempt attempt) {
  attempt.sent_at = now_;
  AttemptRequest message = MakeAttemptRequest(active, attempt);
  breaker_.OnSent(attempt.upstream, now_);
  if (active.attempts_made == 0) active.first_sent_at = now_;
  ++active.attempts_made;
  upstreams_.OnSent(attempt.upstream);
  if (active.request.kind != RequestKind::kPlain) {
    PlacementDecision decision;
    decision.upstream = attempt.upstream;
    decision.agent_incarnation = attempt.agent_incarnation;
    decision.engine_incarnation = attempt.engine_incarnation;
    placement_.OnDispatched(attempt.id, active.placement, decision, now_);
  }
  attempt_owners_[attempt.id] = active.request.id;
  actions_.push_back(SendAttempt{attempt.upstream, std::move(message)});
  active.attempts.push_back(std::move(attempt));
}

AttemptRequest RouterCore::Impl::MakeAttemptRequest(
    const ActiveRequest& active, const Attempt& attempt) const {
  const CallerRequest& request = active.request;
  AttemptRequest message;
  message.attempt = attempt.id;
  message.team = request.team;
  message.service = request.service;
  message.kind = request.kind;
  message.agent_incarnation = attempt.agent_incarnation;
  message.engine_incarnation = attempt.engine_incarnation;
  message.config = active.admitted.config->version;
  if (active.operation) {
    message.key = active.operation->id.key;
    message.fence = active.operation->fence;
    message.claimed = active.operation->in_table;
    message.key_generated = !active.operation->in_table;
    message.take_over = active.operation->take_over;
  }
  message.model = request.model;
  message.adapter = request.adapter;
  message.weights = active.admitted.weights;
  for (const PrefixPiece& piece : active.placement.pieces) {
    message.chain.push_back(piece.chain_hash);
    message.chain_end_bytes.push_back(piece.end_byte);
  }
  if (request.kind != RequestKind::kPlain) {
    message.cache_salt = CacheSalt(active.placement.scope);
  }
  message.urgent = active.admitted.route.urgent;
  message.streamed = request.streamed;
  message.deadline = std::chrono::duration_cast<std::chrono::milliseconds>(
      active.admitted.deadline - now_);
  message.resume_from = active.answer.next();
  message.resume_attempt = attempt.resumed_attempt;
  message.continuation = active.answer.text();
  message.method = request.method;
  message.target = request.target;
  message.headers = request.headers;
  message.body = request.body;
  return message;
}

}  // namespace yuccapick
