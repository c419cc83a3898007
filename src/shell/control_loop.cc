#include "shell/control_loop.h"

#include <utility>

#include "easylogging++.h"
#include "shell/control_impl.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kTickInterval{50};
constexpr std::size_t kMaxPendingEvents = 1 << 16;

}  // namespace

ControlLoop::Impl::Impl(ControlLoopOptions options, Sink sink)
    : options_(std::move(options)),
      sink_(std::move(sink)),
      random_(options_.seed),
      self_(options_.settings.instance) {
  const bool agent = options_.role == ControlRole::kAgent;
  if (agent) self_ = InstanceId(options_.settings.agent.upstream.value);
}

void ControlLoop::Impl::Start() {
  running_ = true;
  thread_.Start();
  Post([](Impl& impl) { impl.StartOnLoop(); });
}

void ControlLoop::Impl::StartOnLoop() {
  PlatformChannelOptions channel;
  channel.budget.seed = options_.seed;
  channel_ = std::make_shared<PlatformChannel>(thread_.loop(), channel);
  const PlatformSettings& platform = options_.settings.platform;
  table_.emplace(channel_, platform.table_url);
  objects_.emplace(channel_, platform.objects_url);
  instances_.emplace(channel_, platform.instances_url);
  peers_ = std::make_shared<PeerLinks>(thread_.loop(), options_.settings,
                                       self_.value, options_.seed);
  tick_.emplace(thread_.loop());
  if (options_.role == ControlRole::kRouter) ListenForPeers();
  Tick();
}

void ControlLoop::Impl::ListenForPeers() {
  LinkServerOptions listen;
  listen.listen = options_.settings.link;
  listen.secret = options_.settings.secret;
  listen.name = self_.value;
  listen.tls = options_.settings.link_tls;
  server_ = LinkServer::Make(thread_.loop(), listen);
  server_->HandleCall(kControlCall,
                      [weak = weak_from_this()](const std::string& bytes,
                                                const CallDone& done) {
                        const auto self = weak.lock();
                        if (self) self->HandleCall(bytes, done);
                      });
  const absl::Status status = server_->Start();
  if (status.ok()) return;
  LOG(ERROR) << "event=link_listen_failed error=\"" << status.ToString()
             << "\"";
}

void ControlLoop::Impl::Stop() {
  if (!std::exchange(running_, false)) return;
  Post([](Impl& impl) { impl.StopOnLoop(); });
  thread_.Join();
}

void ControlLoop::Impl::StopOnLoop() {
  tick_->cancel();
  peers_->Stop();
  if (server_) server_->Stop();
  Post([](Impl& impl) { impl.thread_.loop().stop(); });
}

void ControlLoop::Impl::ArmTick() {
  tick_->expires_after(kTickInterval);
  tick_->async_wait([weak = weak_from_this()](asio::error_code ec) {
    const auto self = weak.lock();
    if (!ec && self) self->Tick();
  });
}

void ControlLoop::Impl::Tick() {
  const auto now = Clock::now();
  FlushSink();
  EmitUpstreams(membership_.OnTick(now));
  if (now >= next_list_poll_) PollInstanceList();
  if (now >= next_head_poll_) PollHead();
  ApplyConfigUpdates();
  if (sync_.behind_peers() || sync_.config() == nullptr) FetchFromRandomPeer();
  peers_->CloseIdle(now);
  PublishStats();
  ArmTick();
}

void ControlLoop::Impl::Emit(ControlEvent event) {
  if (pending_events_.size() >= kMaxPendingEvents) {
    ++counters_.sink_refusals;
    return;
  }
  pending_events_.push_back(std::move(event));
  FlushSink();
}

void ControlLoop::Impl::FlushSink() {
  while (!pending_events_.empty()) {
    if (!sink_(pending_events_.front())) {
      ++counters_.sink_refusals;
      return;
    }
    pending_events_.pop_front();
  }
}

void ControlLoop::Impl::Commit(const CommitTable& command) {
  ++counters_.table_writes;
  table_->Commit(
      command.transaction,
      [weak = weak_from_this(), number = command.command](CommitResult result) {
        const auto self = weak.lock();
        if (self) {
          self->Emit(TableCommitted{number, std::move(result)});
        }
      });
}

void ControlLoop::Impl::Read(const ReadTable& command) {
  ++counters_.table_reads;
  table_->Read(command.keys, [weak = weak_from_this(),
                              number = command.command](ReadResult result) {
    const auto self = weak.lock();
    if (self == nullptr) return;
    TableRead event{number, result.ok(), {}};
    if (result.ok()) event.rows = *std::move(result);
    self->Emit(std::move(event));
  });
}

std::chrono::milliseconds ControlLoop::Impl::Jittered(
    std::chrono::milliseconds interval) {
  std::uniform_int_distribution<std::int64_t> jitter(interval.count() * 3 / 4,
                                                     interval.count() * 5 / 4);
  return std::chrono::milliseconds(jitter(random_));
}

void ControlLoop::Impl::PublishStats() {
  counters_.config_version = sync_.version().value;
  counters_.upstreams_live = membership_.CountLive();
  const std::lock_guard lock(stats_mutex_);
  published_stats_ = counters_;
}

ControlStats ControlLoop::Impl::stats() const {
  const std::lock_guard lock(stats_mutex_);
  return published_stats_;
}

ControlLoop::ControlLoop(ControlLoopOptions options, Sink sink)
    : impl_(std::make_shared<Impl>(std::move(options), std::move(sink))) {}

ControlLoop::~ControlLoop() { Stop(); }

void ControlLoop::SetOrderSender(OrderSender sender) {
  impl_->SetOrderSender(std::move(sender));
}

void ControlLoop::Start() { impl_->Start(); }
void ControlLoop::Stop() { impl_->Stop(); }

void ControlLoop::Commit(CommitTable command) {
  impl_->Post([c = std::move(command)](Impl& impl) { impl.Commit(c); });
}

void ControlLoop::Read(ReadTable command) {
  impl_->Post([c = std::move(command)](Impl& impl) { impl.Read(c); });
}

void ControlLoop::OnReport(const AgentReport& report) {
  impl_->Post([report](Impl& impl) { impl.OnReport(report); });
}

void ControlLoop::OnPeerVersion(ConfigVersion version) {
  impl_->Post([version](Impl& impl) { impl.OnPeerVersion(version); });
}

void ControlLoop::SetLeaving() {
  impl_->Post([](Impl& impl) { impl.SetLeaving(); });
}

void ControlLoop::HandleCall(std::string bytes, CallDone done) {
  impl_->Post([b = std::move(bytes), d = std::move(done)](Impl& impl) {
    impl.HandleCall(b, d);
  });
}

ControlStats ControlLoop::stats() const { return impl_->stats(); }

}  // namespace yuccapick
