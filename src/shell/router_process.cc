#include "shell/router_process.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "easylogging++.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMailboxCapacity = 1 << 13;

RouterCoreOptions CoreOptions(const ProcessSettings& settings,
                              Incarnation incarnation, std::uint64_t seed) {
  RouterCoreOptions options;
  options.instance = settings.instance;
  options.incarnation = incarnation;
  options.domain = settings.domain;
  options.region = settings.region;
  options.seed = seed;
  return options;
}

AgentLinksOptions LinkOptions(const ProcessSettings& settings,
                              std::uint64_t seed) {
  AgentLinksOptions options;
  options.instance = settings.instance;
  options.secret = settings.secret;
  options.tls = settings.link_tls;
  options.seed = seed;
  return options;
}

ControlLoopOptions ControlOptions(const ProcessSettings& settings,
                                  Incarnation incarnation, std::uint64_t seed) {
  ControlLoopOptions options;
  options.role = ControlRole::kRouter;
  options.settings = settings;
  options.incarnation = incarnation;
  options.seed = seed;
  return options;
}

void AppendGauge(std::string& out, std::string_view name, std::uint64_t value) {
  fmt::format_to(std::back_inserter(out), "# TYPE {0} gauge\n{0} {1}\n", name,
                 value);
}

}  // namespace

RouterProcess::CoreLoop::CoreLoop(const RouterCoreOptions& options,
                                  std::function<void(RouterEvent)> consumer)
    : core(options),
      events(thread.loop(), kMailboxCapacity, std::move(consumer)),
      timer(thread.loop()) {}

RouterProcess::RouterProcess(const ProcessSettings& settings,
                             Incarnation incarnation, std::uint64_t seed,
                             std::function<void()> drained)
    : settings_(settings),
      drained_(std::move(drained)),
      metrics_([this] { return RenderGauges(); }),
      core_loop_(CoreOptions(settings, incarnation, seed),
                 [this](const RouterEvent& event) { OnEvent(event); }),
      links_(LinkOptions(settings, seed),
             [this](const RouterEvent& event) { return Post(event); }),
      control_(ControlOptions(settings, incarnation, seed),
               [this](const ControlEvent& event) {
                 return std::visit([this](const auto& e) { return Post(e); },
                                   event);
               }),
      caller_frontend_(
          settings,
          {[this](RouterEvent event) { return Post(std::move(event)); },
           [this](std::function<void(std::string)> done) {
             metrics_.Render(std::move(done));
           }}) {
  control_.SetOrderSender(
      [this](const UpstreamId& upstream, const EngineOrder& order, auto done) {
        return links_.Order(upstream, order, std::move(done));
      });
}

RouterProcess::~RouterProcess() { Stop(); }

absl::Status RouterProcess::Start() {
  metrics_.Start();
  core_loop_.thread.Start();
  links_.Start();
  control_.Start();
  return caller_frontend_.Start();
}

void RouterProcess::Drain() {
  drain_until_ = std::chrono::steady_clock::now() + settings_.drain_deadline;
  caller_frontend_.SetReady(false);
  control_.SetLeaving();
  static_cast<void>(Post(DrainRequested{settings_.drain_deadline}));
}

void RouterProcess::Stop() {
  using std::chrono::milliseconds;
  milliseconds write_limit{0};
  if (drain_until_) {
    write_limit = std::chrono::duration_cast<milliseconds>(
        *drain_until_ - std::chrono::steady_clock::now());
  }
  caller_frontend_.Stop(std::max(write_limit, milliseconds(0)));
  control_.Stop();
  links_.Stop();
  core_loop_.thread.Stop();
  metrics_.Stop();
}

void RouterProcess::OnEvent(const RouterEvent& event) {
  NotifyComponents(event);
  RouterActions actions =
      core_loop_.core.Handle(event, std::chrono::steady_clock::now());
  for (RouterAction& action : actions) {
    std::visit([this](auto& a) { Execute(a); }, action);
  }
  if (std::holds_alternative<DrainRequested>(event)) draining_ = true;
  caller_frontend_.SetReady(!draining_ && core_loop_.core.Ready());
}

/// Forwards reports, upstreams and configurations to the other components.
void RouterProcess::NotifyComponents(const RouterEvent& event) {
  if (const auto* report = std::get_if<ReportArrived>(&event)) {
    control_.OnReport(report->report);
  } else if (const auto* upstream = std::get_if<UpstreamChanged>(&event)) {
    if (!links_.Apply(upstream->upstream)) {
      LOG(WARNING) << "event=link_ring_full upstream="
                   << upstream->upstream.id.value;
    }
  } else if (const auto* config = std::get_if<ConfigChanged>(&event)) {
    static_cast<void>(links_.SetConfig(config->config->version));
    caller_frontend_.SetConfig(config->config);
    LOG(INFO) << "event=config_in_force version="
              << config->config->version.value;
  }
}

void RouterProcess::Execute(SendAttempt& action) {
  const AttemptLost lost{action.upstream, action.request.attempt, false};
  if (!links_.Send(std::move(action))) static_cast<void>(Post(lost));
}

void RouterProcess::Execute(CancelAttempt& action) {
  static_cast<void>(links_.Cancel(std::move(action)));
}

void RouterProcess::Execute(BeginAnswer& action) {
  caller_frontend_.Reply(std::move(action));
}

void RouterProcess::Execute(SendAnswerData& action) {
  caller_frontend_.Reply(std::move(action));
}

void RouterProcess::Execute(FinishAnswer& action) {
  caller_frontend_.Reply(action);
}

void RouterProcess::Execute(FailRequest& action) {
  caller_frontend_.Reply(std::move(action));
}

void RouterProcess::Execute(OperationQueryResult& action) {
  caller_frontend_.Reply(action);
}

void RouterProcess::Execute(CommitTable& action) {
  control_.Commit(std::move(action));
}

void RouterProcess::Execute(ReadTable& action) {
  control_.Read(std::move(action));
}

void RouterProcess::Execute(WakeAt& action) {
  if (core_loop_.wake.has_value() && *core_loop_.wake <= action.when) return;
  core_loop_.wake = action.when;
  core_loop_.timer.expires_at(action.when);
  core_loop_.timer.async_wait([this](const asio::error_code& ec) {
    if (ec) return;
    core_loop_.wake.reset();
    OnEvent(Tick{});
  });
}

void RouterProcess::Execute(DrainComplete& /*action*/) { drained_(); }

void RouterProcess::Execute(RequestFinished& action) {
  metrics_.Record(std::move(action));
}

std::string RouterProcess::RenderGauges() const {
  const AgentLinksStats links = links_.stats();
  const ControlStats control = control_.stats();
  std::string out;
  AppendGauge(out, "yuccapick_config_version", control.config_version);
  AppendGauge(out, "yuccapick_upstreams_live", control.upstreams_live);
  AppendGauge(out, "yuccapick_links_up", links.links_up);
  AppendGauge(out, "yuccapick_links_lost", links.links_lost);
  AppendGauge(out, "yuccapick_attempts_lost", links.attempts_lost);
  AppendGauge(out, "yuccapick_events_refused", core_loop_.events.refused());
  AppendGauge(out, "yuccapick_replies_delayed",
              caller_frontend_.DelayedReplies());
  AppendGauge(out, "yuccapick_table_reads", control.table_reads);
  AppendGauge(out, "yuccapick_table_writes", control.table_writes);
  AppendGauge(out, "yuccapick_table_failures", control.table_failures);
  AppendGauge(out, "yuccapick_lease_fence", control.lease_fence);
  return out;
}

}  // namespace yuccapick
