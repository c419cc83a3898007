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
  ledger.commits.retry_unknown = options.guards.unknown_commit;
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
  HandleClaimEvents();
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
  if (!first_upstream_view_at_) first_upstream_view_at_ = now_;
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

ActiveRequest* RouterCore::Impl::FindActive(const AttemptId& attempt,
                                            const UpstreamId& upstream) {
  auto owner = attempt_owners_.find(attempt);
  if (owner == attempt_owners_.end()) return nullptr;
  ActiveRequest& active = active_requests_.at(owner->second);
  for (const Attempt& it : active.attempts) {
    const bool same_upstream =
        it.upstream == upstream || !options_.guards.attempt_match;
    if (it.id == attempt && same_upstream) return &active;
  }
  return nullptr;
}

void RouterCore::Impl::Complete(ActiveRequest& active) {
  if (!active.detached) {
    actions_.push_back(FinishAnswer{active.request.id});
    ReportFinished(active, true, {});
  }
  Forget(active);
}

void RouterCore::Impl::Fail(ActiveRequest& active, const Error& error) {
  if (!active.detached) {
    actions_.push_back(FailRequest{active.request.id, error});
    ReportFinished(active, false, error);
  }
  Forget(active);
}

void RouterCore::Impl::ReportFinished(const ActiveRequest& active,
                                      bool complete, const Error& error) {
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  RequestFinished finished;
  finished.team = active.request.team;
  finished.service = active.request.service;
  finished.urgent = active.admitted.route.urgent;
  finished.complete = complete;
  finished.error = error.kind;
  finished.execution = complete ? Execution::kRan : error.execution;
  finished.attempts = active.attempts_made;
  const TimePoint sent = active.attempts_made > 0 ? active.first_sent_at : now_;
  finished.queued = duration_cast<microseconds>(sent - active.arrived_at);
  if (active.first_token_at) {
    finished.first_token =
        duration_cast<microseconds>(*active.first_token_at - active.arrived_at);
  }
  finished.total = duration_cast<microseconds>(now_ - active.arrived_at);
  finished.usage = active.usage;
  actions_.push_back(std::move(finished));
}

void RouterCore::Impl::Forget(ActiveRequest& active) {
  CancelAttempts(active);
  if (active.operation) {
    ledger_.Forget(active.operation->id);
    operation_owners_.erase(active.operation->id);
  }
  --in_flight_[active.request.service];
  active_requests_.erase(active.request.id);
}

void RouterCore::Impl::EraseAttempt(ActiveRequest& active,
                                    const AttemptId& attempt) {
  auto it = std::find_if(active.attempts.begin(), active.attempts.end(),
                         [&](const Attempt& a) { return a.id == attempt; });
  if (it == active.attempts.end()) return;
  upstreams_.OnEnded(it->upstream);
  attempt_owners_.erase(attempt);
  active.attempts.erase(it);
}

void RouterCore::Impl::CancelAttempts(ActiveRequest& active) {
  while (!active.attempts.empty()) {
    const Attempt attempt = active.attempts.back();
    actions_.push_back(CancelAttempt{attempt.upstream, attempt.id});
    placement_.OnFinished(attempt.id, std::nullopt, now_);
    EraseAttempt(active, attempt.id);
  }
}

void RouterCore::Impl::CheckDrained() {
  if (!drain_deadline_ || drain_reported_) return;
  const bool idle = active_requests_.empty() && ledger_.pending() == 0;
  if (!idle && now_ < *drain_deadline_) return;
  drain_reported_ = true;
  actions_.push_back(DrainComplete{});
}

void RouterCore::Impl::RunTimers() {
  for (const RequestId& id : timers_.PopDue(now_)) {
    auto it = active_requests_.find(id);
    if (it != active_requests_.end()) OnTimer(it->second);
  }
  const bool drain_over = drain_deadline_ && now_ >= *drain_deadline_;
  if (!drain_over) return;
  std::vector<RequestId> remaining;
  for (const auto& [id, active] : active_requests_) remaining.push_back(id);
  for (const RequestId& id : remaining) {
    OnDeadline(active_requests_.at(id));
    auto it = active_requests_.find(id);
    if (it != active_requests_.end()) Forget(it->second);
  }
}

void RouterCore::Impl::OnTimer(ActiveRequest& active) {
  if (active.admitted.deadline <= now_) {
    OnDeadline(active);
    return;
  }
  if (active.retry_at && *active.retry_at <= now_) {
    active.retry_at.reset();
    Dispatch(active);
    return;
  }
  if (active.hedge_at && *active.hedge_at <= now_) {
    Hedge(active);
    return;
  }
  if (!active.operation || active.operation->stage_deadline > now_) return;
  const OperationClaim::Stage stage = active.operation->stage;
  if (stage == OperationClaim::Stage::kResolving) ResolveOutcome(active);
  if (stage == OperationClaim::Stage::kClaiming) {
    Fail(active, {ErrorKind::kPlatformUnavailable, Execution::kUnknown,
                  "the table service did not answer in time; repeat the "
                  "request with the same key",
                  std::chrono::milliseconds(1'000)});
  }
}

void RouterCore::Impl::OnDeadline(ActiveRequest& active) {
  const bool idempotent = active.admitted.route.idempotent;
  const bool sent = active.attempts_made > 0;
  Error error{
      ErrorKind::kDeadlineExceeded, Execution::kUnknown,
      fmt::format("the request of team {} to service {} exceeded its "
                  "deadline; repeat it with a longer one",
                  active.request.team.value, active.request.service.value),
      std::nullopt};
  if (!sent) error.execution = RefusalExecution(active.request, idempotent);
  if (active.operation && active.operation->may_have_run) {
    Detach(active, error);
    return;
  }
  Fail(active, error);
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
