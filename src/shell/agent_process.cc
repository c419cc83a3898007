#include "shell/agent_process.h"

#include <utility>
#include <variant>

#include "easylogging++.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMailboxCapacity = 1 << 12;
constexpr std::chrono::milliseconds kFlushPollInterval{5};
constexpr std::chrono::milliseconds kFlushTimeout{1'000};

UpstreamClientOptions ClientOptions(const AgentSettings& settings) {
  UpstreamClientOptions options;
  options.kind = settings.kind;
  options.url = settings.upstream_url;
  while (options.url.ends_with('/')) options.url.pop_back();
  return options;
}

ControlLoopOptions ControlOptions(const ProcessSettings& settings,
                                  Incarnation incarnation, std::uint64_t seed) {
  ControlLoopOptions options;
  options.role = ControlRole::kAgent;
  options.settings = settings;
  options.incarnation = incarnation;
  options.seed = seed;
  return options;
}

}  // namespace

AgentProcess::AgentProcess(const ProcessSettings& settings,
                           Incarnation incarnation, std::uint64_t seed,
                           std::function<void()> drained)
    : settings_(settings),
      drained_(std::move(drained)),
      events_(link_thread_.loop(), kMailboxCapacity,
              [this](const AgentEvent& event) { server_->Handle(event); }),
      commands_(upstream_thread_.loop(), kMailboxCapacity,
                [this](const UpstreamCommand& command) {
                  upstream_->Execute(command);
                }),
      control_(
          ControlOptions(settings, incarnation, seed),
          [this](const ControlEvent& event) { return OnControlEvent(event); }),
      flush_timer_(link_thread_.loop()) {
  AgentServerOutputs outputs;
  outputs.upstream = [this](const UpstreamCommand& command) {
    return commands_.Post(command);
  };
  outputs.drained = [this] { FinishDrain(); };
  outputs.peer_version = [this](ConfigVersion version) {
    control_.OnPeerVersion(version);
  };
  server_ = std::make_shared<AgentServer>(link_thread_.loop(), settings_,
                                          incarnation, std::move(outputs));
  upstream_ = std::make_shared<UpstreamClient>(
      upstream_thread_.loop(), ClientOptions(settings_.agent),
      [this](const AgentEvent& event) { return events_.Post(event); });
  ServeControlCalls();
  if (settings_.metrics.port == 0) return;
  MetricsSources sources;
  sources.render = [this] { return server_->RenderMetrics(); };
  sources.ready = [this] {
    return server_->core().Upstream().state == UpstreamState::kLive;
  };
  metrics_ = std::make_unique<MetricsServer>(
      link_thread_.loop(), settings_.metrics, std::move(sources));
}

void AgentProcess::OpenMetrics() {
  const absl::Status status = metrics_->Open();
  if (status.ok()) return;
  LOG(ERROR) << "event=metrics_listen_failed reason=\"" << status.message()
             << '"';
}

bool AgentProcess::OnControlEvent(const ControlEvent& event) {
  if (const auto* config = std::get_if<ConfigChanged>(&event)) {
    return Post(*config);
  }
  const auto* changed = std::get_if<UpstreamChanged>(&event);
  const bool leaving = changed != nullptr &&
                       changed->upstream.id == settings_.agent.upstream &&
                       changed->upstream.state == UpstreamState::kLeaving;
  return !leaving || Post(UpstreamDrainRequested{settings_.drain_deadline});
}

void AgentProcess::ServeControlCalls() {
  server_->links().HandleCall(
      kControlCall, [this](std::string bytes, CallDone done) {
        control_.HandleCall(
            std::move(bytes),
            [this, done = std::move(done)](absl::StatusOr<std::string> result) {
              asio::post(link_thread_.loop(),
                         [done, result = std::move(result)] { done(result); });
            });
      });
}

AgentProcess::~AgentProcess() { Stop(); }

absl::Status AgentProcess::Start() {
  if (absl::Status status = server_->Start(); !status.ok()) return status;
  asio::post(upstream_thread_.loop(), [this] { upstream_->Start(); });
  if (metrics_ != nullptr) {
    asio::post(link_thread_.loop(), [this] { OpenMetrics(); });
  }
  link_thread_.Start();
  upstream_thread_.Start();
  control_.Start();
  LOG(INFO) << "event=agent_started upstream=" << settings_.agent.upstream.value
            << " port=" << server_->links().port() << " incarnation="
            << server_->core().Upstream().agent_incarnation.value;
  return absl::OkStatus();
}

void AgentProcess::Drain() {
  control_.SetLeaving();
  asio::post(link_thread_.loop(),
             [this] { server_->Drain(settings_.drain_deadline); });
}

void AgentProcess::FinishDrain() {
  flush_deadline_ = std::chrono::steady_clock::now() + kFlushTimeout;
  PollFlushed();
}

void AgentProcess::PollFlushed() {
  const bool timed_out = std::chrono::steady_clock::now() >= flush_deadline_;
  if (timed_out || server_->links().flushed()) {
    LOG(INFO) << "event=drain_complete flushed=" << !timed_out;
    server_->Stop();
    return drained_();
  }
  flush_timer_.expires_after(kFlushPollInterval);
  flush_timer_.async_wait([this](asio::error_code ec) {
    if (!ec) PollFlushed();
  });
}

void AgentProcess::Stop() {
  control_.Stop();
  link_thread_.Stop();
  upstream_thread_.Stop();
  upstream_->Stop();
}

}  // namespace yuccapick
