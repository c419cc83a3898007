#include "yuccapick/router_core.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "router_impl.h"

namespace yuccapick {
namespace {

ClaimLedgerOptions LedgerOptions(const RouterCoreOptions& options) {
  ClaimLedgerOptions ledger;
  ledger.writer =
      fmt::format("{}-{}", options.instance.value, options.incarnation.value);
  ledger.commits.seed = options.seed;
  ledger.commits.settle_unknown = options.guards.unknown_commit;
  ledger.guards = options.guards;
  return ledger;
}

CircuitBreakerOptions BreakerOptions(const RouterCoreOptions& options) {
  CircuitBreakerOptions breaker;
  breaker.seed = options.seed;
  return breaker;
}

}  // namespace

RouterCore::RouterCore(RouterCoreOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

RouterCore::~RouterCore() = default;

RouterActions RouterCore::Handle(const RouterEvent& event, TimePoint now) {
  return impl_->Handle(event, now);
}

bool RouterCore::Ready() const { return impl_->Ready(); }

RouterCore::Impl::Impl(RouterCoreOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      upstreams_(options_.guards),
      placement_({options_.domain, options_.region, options_.seed}),
      ledger_(LedgerOptions(options_)),
      breaker_(BreakerOptions(options_)) {}

RouterActions RouterCore::Impl::Handle(const RouterEvent& event,
                                       TimePoint now) {
  now_ = std::max(now_, now);
  std::visit([this](const auto& typed) { On(typed); }, event);
  RunTimers();
  RunClaimEvents();
  CommitClaims();
  CheckDrained();
  ScheduleWake();
  return std::exchange(actions_, {});
}

bool RouterCore::Impl::Ready() const {
  return config_ != nullptr && !upstreams_.empty() && !drain_deadline_;
}

void RouterCore::Impl::On(const ReportArrived& event) {
  const UpstreamInfo& reported = event.report.upstream;
  if (reported.state >= UpstreamState::kLeaving) {
    upstreams_.MarkLeaving(reported.id, reported.agent_incarnation);
    const UpstreamInfo* held = upstreams_.Find(reported.id);
    if (held != nullptr) placement_.ApplyUpstream(*held, now_);
  }
  placement_.ApplyReport(event.report, now_);
}

void RouterCore::Impl::On(const UpstreamChanged& event) {
  if (!first_view_) first_view_ = now_;
  upstreams_.Apply(event.upstream);
  placement_.ApplyUpstream(*upstreams_.Find(event.upstream.id), now_);
}

void RouterCore::Impl::On(const ConfigChanged& event) {
  if (event.config == nullptr) return;
  const bool newer =
      config_ == nullptr || event.config->version > config_->version;
  if (newer) config_ = event.config;
}

void RouterCore::Impl::On(const TableCommitted& event) {
  ledger_.OnCommitted(event.command, event.result, now_);
}

void RouterCore::Impl::On(const DrainRequested& event) {
  if (!drain_deadline_) drain_deadline_ = now_ + event.deadline;
}

void RouterCore::Impl::On(const Tick& /*event*/) {}

Flight* RouterCore::Impl::FlightOf(const AttemptId& attempt,
                                   const UpstreamId& upstream) {
  auto owner = attempt_owners_.find(attempt);
  if (owner == attempt_owners_.end()) return nullptr;
  Flight& flight = flights_.at(owner->second);
  for (const Attempt& it : flight.attempts) {
    const bool same_upstream =
        it.upstream == upstream || !options_.guards.attempt_match;
    if (it.id == attempt && same_upstream) return &flight;
  }
  return nullptr;
}

void RouterCore::Impl::Complete(Flight& flight) {
  if (!flight.detached) {
    actions_.push_back(FinishAnswer{flight.request.id});
    ReportFinished(flight, true, {});
  }
  Forget(flight);
}

void RouterCore::Impl::Fail(Flight& flight, const Error& error) {
  if (!flight.detached) {
    actions_.push_back(FailRequest{flight.request.id, error});
    ReportFinished(flight, false, error);
  }
  Forget(flight);
}

void RouterCore::Impl::ReportFinished(const Flight& flight, bool complete,
                                      const Error& error) {
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  RequestFinished finished;
  finished.team = flight.request.team;
  finished.service = flight.request.service;
  finished.urgent = flight.admitted.route.urgent;
  finished.complete = complete;
  finished.error = error.kind;
  finished.execution = complete ? Execution::kRan : error.execution;
  finished.attempts = flight.attempts_made;
  const TimePoint sent = flight.attempts_made > 0 ? flight.first_sent : now_;
  finished.queued = duration_cast<microseconds>(sent - flight.arrived);
  if (flight.first_token) {
    finished.first_token =
        duration_cast<microseconds>(*flight.first_token - flight.arrived);
  }
  finished.total = duration_cast<microseconds>(now_ - flight.arrived);
  finished.usage = flight.usage;
  actions_.push_back(std::move(finished));
}

void RouterCore::Impl::Forget(Flight& flight) {
  CancelAttempts(flight);
  if (flight.operation) {
    ledger_.Forget(flight.operation->id);
    operation_owners_.erase(flight.operation->id);
  }
  --in_flight_[flight.request.service];
  flights_.erase(flight.request.id);
}

void RouterCore::Impl::DropAttempt(Flight& flight, const AttemptId& attempt) {
  auto it = std::find_if(flight.attempts.begin(), flight.attempts.end(),
                         [&](const Attempt& a) { return a.id == attempt; });
  if (it == flight.attempts.end()) return;
  upstreams_.OnEnded(it->upstream);
  attempt_owners_.erase(attempt);
  flight.attempts.erase(it);
}

void RouterCore::Impl::CancelAttempts(Flight& flight) {
  while (!flight.attempts.empty()) {
    const Attempt attempt = flight.attempts.back();
    actions_.push_back(CancelAttempt{attempt.upstream, attempt.id});
    placement_.OnFinished(attempt.id, std::nullopt, now_);
    DropAttempt(flight, attempt.id);
  }
}

void RouterCore::Impl::CheckDrained() {
  if (!drain_deadline_ || drain_reported_) return;
  const bool idle = flights_.empty() && ledger_.pending() == 0;
  if (!idle && now_ < *drain_deadline_) return;
  drain_reported_ = true;
  actions_.push_back(DrainComplete{});
}

void RouterCore::Impl::RunTimers() {
  for (const RequestId& id : timers_.PopDue(now_)) {
    auto it = flights_.find(id);
    if (it != flights_.end()) OnDue(it->second);
  }
  const bool drain_over = drain_deadline_ && now_ >= *drain_deadline_;
  if (!drain_over) return;
  std::vector<RequestId> left;
  for (const auto& [id, flight] : flights_) left.push_back(id);
  for (const RequestId& id : left) {
    OnDeadline(flights_.at(id));
    auto it = flights_.find(id);
    if (it != flights_.end()) Forget(it->second);
  }
}

void RouterCore::Impl::OnDue(Flight& flight) {
  if (flight.admitted.deadline <= now_) {
    OnDeadline(flight);
    return;
  }
  if (flight.retry_at && *flight.retry_at <= now_) {
    flight.retry_at.reset();
    Dispatch(flight);
    return;
  }
  if (flight.hedge_at && *flight.hedge_at <= now_) {
    Hedge(flight);
    return;
  }
  if (!flight.operation || flight.operation->stage_until > now_) return;
  const OperationClaim::Stage stage = flight.operation->stage;
  if (stage == OperationClaim::Stage::kSettling) Settle(flight);
  if (stage == OperationClaim::Stage::kClaiming) {
    Fail(flight, {ErrorKind::kPlatformUnavailable, Execution::kUnknown,
                  "the table service did not answer in time; repeat the "
                  "request with the same key",
                  std::chrono::milliseconds(1'000)});
  }
}

void RouterCore::Impl::OnDeadline(Flight& flight) {
  const bool idempotent = flight.admitted.route.idempotent;
  const bool sent = flight.attempts_made > 0;
  Error error{
      ErrorKind::kDeadlineExceeded, Execution::kUnknown,
      fmt::format("request of team {} to service {} ran out of time; "
                  "repeat it with a longer deadline",
                  flight.request.team.value, flight.request.service.value),
      std::nullopt};
  if (!sent) error.execution = RefusalExecution(flight.request, idempotent);
  if (flight.operation && flight.operation->may_have_run) {
    Detach(flight, error);
    return;
  }
  Fail(flight, error);
}

void RouterCore::Impl::CommitClaims() {
  std::optional<GroupCommit> commit = ledger_.NextCommit(now_);
  if (!commit) return;
  actions_.push_back(
      CommitTable{commit->command, std::move(commit->transaction)});
}

void RouterCore::Impl::ScheduleWake() {
  std::optional<TimePoint> next = timers_.Next();
  const auto consider = [&next](std::optional<TimePoint> when) {
    if (when && (!next || *when < *next)) next = when;
  };
  consider(ledger_.WakeTime());
  if (!drain_reported_) consider(drain_deadline_);
  if (next) actions_.push_back(WakeAt{*next});
}

TimePoint RouterCore::Impl::Jittered(std::chrono::milliseconds ceiling) {
  std::uniform_int_distribution<std::int64_t> jitter(1, ceiling.count());
  return now_ + std::chrono::milliseconds(jitter(random_));
}

}  // namespace yuccapick
