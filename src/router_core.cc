#include "yuccapick/router_core.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "router_impl.h"

namespace yuccapick {

RouterCore::RouterCore(RouterCoreOptions options)
    : impl_(std::make_unique<Impl>(std::move(options))) {}

RouterCore::~RouterCore() = default;

RouterActions RouterCore::Handle(const RouterEvent& event, TimePoint now) {
  return impl_->Handle(event, now);
}

bool RouterCore::Ready() const { return impl_->Ready(); }

RouterCore::Impl::Impl(RouterCoreOptions options)
    : options_(std::move(options)),
      placement_({options_.domain, options_.region, options_.seed}) {}

RouterActions RouterCore::Impl::Handle(const RouterEvent& event,
                                       TimePoint now) {
  now_ = std::max(now_, now);
  std::visit([this](const auto& typed) { On(typed); }, event);
  CheckDrained();
  ScheduleWake();
  return std::exchange(actions_, {});
}

bool RouterCore::Impl::Ready() const {
  return config_ != nullptr && !upstreams_.empty() && !drain_deadline_;
}

void RouterCore::Impl::On(const ReportArrived& event) {
  const UpstreamInfo& reported = event.report.upstream;
  if (reported.life >= UpstreamLife::kLeaving) {
    upstreams_.MarkLeaving(reported.id, reported.agent_incarnation);
    const UpstreamInfo* held = upstreams_.Find(reported.id);
    if (held != nullptr) placement_.ApplyUpstream(*held, now_);
  }
  placement_.ApplyReport(event.report, now_);
}

void RouterCore::Impl::On(const UpstreamChanged& event) {
  upstreams_.Apply(event.upstream);
  placement_.ApplyUpstream(*upstreams_.Find(event.upstream.id), now_);
}

void RouterCore::Impl::On(const ConfigChanged& event) {
  if (event.config == nullptr) return;
  const bool newer =
      config_ == nullptr || event.config->version > config_->version;
  if (newer) config_ = event.config;
}

void RouterCore::Impl::On(const TableCommitted& /*event*/) {}

void RouterCore::Impl::On(const TableRead& /*event*/) {}

void RouterCore::Impl::On(const DrainRequested& event) {
  if (!drain_deadline_) drain_deadline_ = now_ + event.deadline;
}

void RouterCore::Impl::On(const Tick& /*event*/) { ExpireFlights(); }

Flight* RouterCore::Impl::FlightOf(const AttemptId& attempt,
                                   const UpstreamId& upstream) {
  auto owner = attempt_owners_.find(attempt);
  if (owner == attempt_owners_.end()) return nullptr;
  Flight& flight = flights_.at(owner->second);
  for (const Attempt& it : flight.attempts) {
    if (it.id == attempt && it.upstream == upstream) return &flight;
  }
  return nullptr;
}

void RouterCore::Impl::Complete(Flight& flight) {
  actions_.push_back(FinishAnswer{flight.request.id});
  Forget(flight, true, {});
}

void RouterCore::Impl::Fail(Flight& flight, const Error& error) {
  actions_.push_back(FailRequest{flight.request.id, error});
  Forget(flight, false, error);
}

void RouterCore::Impl::Forget(Flight& flight, bool complete,
                              const Error& error) {
  using std::chrono::duration_cast;
  using std::chrono::microseconds;
  CancelAttempts(flight);
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
  if (!drain_deadline_ || drain_reported_ || !flights_.empty()) return;
  drain_reported_ = true;
  actions_.push_back(DrainComplete{});
}

void RouterCore::Impl::ExpireFlights() {
  std::vector<RequestId> expired;
  const bool drain_over = drain_deadline_ && now_ >= *drain_deadline_;
  for (const auto& [id, flight] : flights_) {
    if (drain_over || flight.admitted.deadline <= now_) expired.push_back(id);
  }
  for (const RequestId& id : expired) {
    Flight& flight = flights_.at(id);
    const bool sent = flight.attempts_made > 0;
    Fail(flight,
         {drain_over ? ErrorKind::kDraining : ErrorKind::kDeadlineExceeded,
          sent ? Execution::kUnknown
               : RefusalExecution(flight.request,
                                  flight.admitted.route.idempotent),
          fmt::format("request of team {} to service {} ran out of time; send "
                      "it again with a longer deadline",
                      flight.request.team.value, flight.request.service.value),
          std::nullopt});
  }
}

void RouterCore::Impl::ScheduleWake() {
  std::optional<TimePoint> next;
  for (const auto& [id, flight] : flights_) {
    if (!next || flight.admitted.deadline < *next) {
      next = flight.admitted.deadline;
    }
  }
  if (drain_deadline_ && !drain_reported_) {
    next = next ? std::min(*next, *drain_deadline_) : *drain_deadline_;
  }
  if (next) actions_.push_back(WakeAt{*next});
}

}  // namespace yuccapick
