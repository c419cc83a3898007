#include <fmt/format.h>

#include <utility>

#include "router_impl.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kConcurrencyRetryAfter{500};

constexpr std::chrono::milliseconds kNoUpstreamRetryAfter{1'000};
constexpr std::uint64_t kPieceBytes = 16 << 10;

Error DrainingError() {
  return {ErrorKind::kDraining, Execution::kNotRun,
          "this router is stopping; send the request again to another one",
          std::chrono::milliseconds(0)};
}

Error ConcurrencyError(const CallerRequest& request, std::uint32_t most) {
  return {ErrorKind::kOverloaded, Execution::kNotRun,
          fmt::format("{} requests of service {} are in flight at this router; "
                      "come back later or raise its max_concurrency",
                      most, request.service.value),
          kConcurrencyRetryAfter};
}

std::uint64_t TotalBytes(const std::vector<std::string>& levels) {
  std::uint64_t n = 0;
  for (const std::string& level : levels) n += level.size();
  return n;
}

PlacementRequest MakePlacement(const CallerRequest& request,
                               const AdmittedRequest& admitted) {
  PlacementRequest placement;
  placement.scope = {request.team, request.model, request.adapter,
                     admitted.weights};
  placement.service = request.service;
  placement.pieces = CutPrefix(placement.scope, request.levels, kPieceBytes);
  placement.prompt_bytes = TotalBytes(request.levels);
  placement.urgent = admitted.route.urgent;
  placement.reuse_weight = admitted.service->reuse_weight;
  return placement;
}

}  // namespace

void RouterCore::Impl::RefuseArrival(const CallerRequest& request,
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
    RefuseArrival(request, DrainingError());
    return;
  }
  AdmissionResult result = Admit(config_, request, now_);
  if (auto* error = std::get_if<Error>(&result)) {
    RefuseArrival(request, std::move(*error));
    return;
  }
  const auto& admitted = std::get<AdmittedRequest>(result);
  const std::uint32_t most = admitted.service->max_concurrency;
  if (most > 0 && in_flight_[request.service] >= most) {
    RefuseArrival(request, ConcurrencyError(request, most));
    return;
  }
  Flight flight;
  flight.request = request;
  flight.admitted = admitted;
  flight.arrived = now_;
  if (request.kind != RequestKind::kPlain) {
    flight.placement = MakePlacement(request, flight.admitted);
    flight.request.levels = {};  // The body has the text; the pieces suffice.
  }
  auto [it, inserted] = flights_.emplace(request.id, std::move(flight));
  if (!inserted) return;
  ++in_flight_[request.service];
  BudgetOf(request.service).OnRequest();
  ContinuationsOf(request.service).OnRequest();
  timers_.Arm(request.id, it->second.admitted.deadline);
  Dispatch(it->second);
}

void RouterCore::Impl::On(const CallerDisconnected& event) {
  auto it = flights_.find(event.request);
  if (it == flights_.end()) return;
  Flight& flight = it->second;
  const Error error{ErrorKind::kCancelled, Execution::kUnknown,
                    "the caller closed its connection", std::nullopt};
  if (flight.operation && flight.operation->may_have_run) {
    Detach(flight, error);
    return;
  }
  if (!flight.detached) ReportFinished(flight, false, error);
  Forget(flight);
}

void RouterCore::Impl::Dispatch(Flight& flight) {
  if (!flight.admitted.route.idempotent) {
    StartOperation(flight);
    return;
  }
  std::optional<Attempt> attempt = Choose(flight);
  if (!attempt) {
    Fail(flight, {ErrorKind::kNoUpstream, Execution::kNotRun,
                  fmt::format("no live upstream can serve {}; retry later or "
                              "add one",
                              flight.request.service.value),
                  kNoUpstreamRetryAfter});
    return;
  }
  Send(flight, *std::move(attempt));
  PlanHedge(flight);
}

AttemptId RouterCore::Impl::NextAttemptId() {
  return AttemptId(fmt::format("{}-{}-{}", options_.instance.value,
                               options_.incarnation.value,
                               ++attempts_started_));
}

std::optional<Attempt> RouterCore::Impl::Choose(Flight& flight) {
  std::optional<Attempt> attempt = ChooseAvoiding(flight, Avoided(flight));
  if (!attempt) attempt = ChooseAvoiding(flight, flight.excluded);
  const bool retry = flight.attempts_made > 0 && flight.attempts.empty();
  if (!attempt && retry) attempt = ChooseAvoiding(flight, {});
  return attempt;
}

std::optional<Attempt> RouterCore::Impl::ChooseAvoiding(
    Flight& flight, const std::vector<UpstreamId>& avoided) {
  Attempt attempt;
  const CallerRequest& request = flight.request;
  if (request.kind != RequestKind::kPlain) {
    flight.placement.excluded = avoided;
    std::optional<PlacementDecision> decision =
        placement_.Choose(flight.placement, now_);
    if (!decision) return std::nullopt;
    attempt.upstream = decision->upstream;
    attempt.agent_incarnation = decision->agent_incarnation;
    attempt.engine_incarnation = decision->engine_incarnation;
  } else {
    std::optional<UpstreamId> id =
        upstreams_.PickPlain(request.service, request.target, flight.excluded);
    if (!id) return std::nullopt;
    attempt.upstream = *id;
    attempt.agent_incarnation = upstreams_.Find(*id)->agent_incarnation;
  }
  attempt.id = NextAttemptId();
  return attempt;
}

void RouterCore::Impl::Send(Flight& flight, Attempt attempt) {
  attempt.sent = now_;
  AttemptRequest message = MakeAttempt(flight, attempt);
  breaker_.OnSent(attempt.upstream, now_);
  if (flight.attempts_made == 0) flight.first_sent = now_;
  ++flight.attempts_made;
  upstreams_.OnSent(attempt.upstream);
  if (flight.request.kind != RequestKind::kPlain) {
    PlacementDecision decision;
    decision.upstream = attempt.upstream;
    decision.agent_incarnation = attempt.agent_incarnation;
    decision.engine_incarnation = attempt.engine_incarnation;
    placement_.OnDispatched(attempt.id, flight.placement, decision, now_);
  }
  attempt_owners_[attempt.id] = flight.request.id;
  actions_.push_back(SendAttempt{attempt.upstream, std::move(message)});
  flight.attempts.push_back(std::move(attempt));
}

AttemptRequest RouterCore::Impl::MakeAttempt(const Flight& flight,
                                             const Attempt& attempt) const {
  const CallerRequest& request = flight.request;
  AttemptRequest message;
  message.attempt = attempt.id;
  message.team = request.team;
  message.service = request.service;
  message.kind = request.kind;
  message.agent_incarnation = attempt.agent_incarnation;
  message.engine_incarnation = attempt.engine_incarnation;
  message.config = flight.admitted.config->version;
  if (flight.operation) {
    message.key = flight.operation->id.key;
    message.fence = flight.operation->fence;
    message.claimed = flight.operation->in_table;
    message.key_made = !flight.operation->in_table;
    message.take_over = flight.operation->take_over;
  }
  message.model = request.model;
  message.adapter = request.adapter;
  message.weights = flight.admitted.weights;
  for (const PrefixPiece& piece : flight.placement.pieces) {
    message.chain.push_back(piece.chain_hash);
    message.chain_end_bytes.push_back(piece.end_byte);
  }
  if (request.kind != RequestKind::kPlain) {
    message.cache_salt = CacheSalt(flight.placement.scope);
  }
  message.urgent = flight.admitted.route.urgent;
  message.streamed = request.streamed;
  message.deadline = std::chrono::duration_cast<std::chrono::milliseconds>(
      flight.admitted.deadline - now_);
  message.resume_from = flight.answer.next();
  message.resume_attempt = attempt.resumes;
  message.continuation = flight.answer.text();
  message.method = request.method;
  message.target = request.target;
  message.headers = request.headers;
  message.body = request.body;
  return message;
}

}  // namespace yuccapick
