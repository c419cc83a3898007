#include <utility>

#include "easylogging++.h"
#include "shell/control_impl.h"
#include "yuccapick/control_message.h"

namespace yuccapick {
namespace {

constexpr std::chrono::milliseconds kRootPollInterval{500};
constexpr std::chrono::milliseconds kPeerFetchInterval{300};
constexpr std::chrono::milliseconds kPushRetryDelay{150};
constexpr std::chrono::milliseconds kMinAgentPushInterval{500};
constexpr int kMaxPushAttempts = 4;

}  // namespace

void ControlLoop::Impl::PollHead() {
  if (polling_head_ || options_.settings.platform.table_url.empty()) return;
  polling_head_ = true;
  ScheduleHeadPoll();
  ++counters_.table_reads;
  table_->Read({std::string(kConfigHeadKey)},
               [weak = weak_from_this()](const ReadResult& result) {
                 if (const auto self = weak.lock()) self->OnHeadRead(result);
               });
}

void ControlLoop::Impl::ScheduleHeadPoll() {
  const bool short_interval = tree_.IsRoot(self_) || sync_.config() == nullptr;
  const auto interval = short_interval
                            ? kRootPollInterval
                            : ConfigPollInterval(tree_.members().size());
  next_head_poll_ = Clock::now() + Jittered(interval);
}

void ControlLoop::Impl::OnHeadRead(const ReadResult& result) {
  polling_head_ = false;
  if (!result.ok()) {
    ++counters_.table_failures;
    return;
  }
  for (const TableRow& row : *result) {
    const auto head = ParseHead(row.value);
    if (head.ok()) sync_.OnHead(*head);
  }
  ApplyConfigUpdates();
}

void ControlLoop::Impl::ApplyConfigUpdates() {
  if (const ConfigPtr config = sync_.Install()) {
    LOG(INFO) << "event=config_in_force version=" << config->version.value
              << " content=" << config->content_hash;
    Emit(ConfigChanged{config});
    PublishStats();
    PushConfigToChildren();
  }
  for (const std::string& hash : sync_.HashesToFetch(Clock::now())) {
    FetchContent(hash);
  }
}

void ControlLoop::Impl::FetchContent(const std::string& hash) {
  ++counters_.object_reads;
  objects_->Get(hash, [weak = weak_from_this(),
                       hash](absl::StatusOr<std::string> content) {
    const auto self = weak.lock();
    if (self == nullptr) return;
    if (!content.ok()) {
      ++self->counters_.table_failures;
      return;
    }
    self->sync_.OnContents({{hash, *std::move(content)}});
    self->ApplyConfigUpdates();
  });
}

void ControlLoop::Impl::PushConfigToChildren() {
  for (const InstanceId& child : tree_.ChildrenOf(self_)) {
    PushConfig(child, kMaxPushAttempts);
  }
  if (!tree_.IsRoot(self_)) return;
  for (const InstanceId& id : tree_.members()) {
    if (id != self_ && tree_.IsRoot(id)) PushConfig(id, kMaxPushAttempts);
  }
}

void ControlLoop::Impl::PushConfig(const InstanceId& child, int attempts_left) {
  const auto it = endpoints_.find(child);
  if (it == endpoints_.end() || attempts_left == 0) return;
  const ConfigVersion pushed = sync_.version();
  const ConfigVersion before(pushed.value - 1);
  ++counters_.pushes_sent;
  Exchange(it->second, {pushed, sync_.BundleFor(before)},
           [this, child, pushed, attempts_left](bool ok) {
             if (ok || sync_.version() != pushed) return;
             auto timer = std::make_shared<asio::steady_timer>(thread_.loop(),
                                                               kPushRetryDelay);
             timer->async_wait([weak = weak_from_this(), timer, child,
                                attempts_left](asio::error_code ec) {
               const auto self = weak.lock();
               if (!ec && self) self->PushConfig(child, attempts_left - 1);
             });
           });
}

void ControlLoop::Impl::Exchange(const Endpoint& peer,
                                 const ControlMessage& message,
                                 std::function<void(bool)> done) {
  peers_->Call(
      peer, kControlCall, EncodeControl(message),
      [weak = weak_from_this(), peer, sent = message.bundle.head.version,
       done = std::move(done)](const absl::StatusOr<std::string>& bytes) {
        const auto self = weak.lock();
        if (self == nullptr) return;
        const auto answer = bytes.ok() ? DecodeControl(*bytes) : bytes.status();
        if (answer.ok()) self->OnControlMessage(*answer);
        done(answer.ok());
        if (answer.ok() && sent.value != 0) {
          self->SendMissingConfig(peer, answer->have);
        }
      });
}

void ControlLoop::Impl::SendMissingConfig(const Endpoint& peer,
                                          ConfigVersion have) {
  if (have >= sync_.version()) return;
  peers_->Call(peer, kControlCall,
               EncodeControl({sync_.version(), sync_.BundleFor(have)}),
               [](const absl::StatusOr<std::string>&) {});
}

void ControlLoop::Impl::OnControlMessage(const ControlMessage& message) {
  if (message.bundle.head.version.value != 0) {
    sync_.OnHead(message.bundle.head);
    sync_.OnContents(message.bundle.contents);
  }
  sync_.OnPeerVersion(message.have);
  ApplyConfigUpdates();
}

void ControlLoop::Impl::HandleCall(const std::string& bytes,
                                   const CallDone& done) {
  const auto message = DecodeControl(bytes);
  if (!message.ok()) return done(message.status());
  if (message->bundle.head.version.value != 0) ++counters_.pushes_received;
  OnControlMessage(*message);
  done(EncodeControl({sync_.version(), sync_.BundleFor(message->have)}));
}

void ControlLoop::Impl::OnPeerVersion(ConfigVersion version) {
  sync_.OnPeerVersion(version);
  if (sync_.behind_peers()) FetchFromRandomPeer();
}

void ControlLoop::Impl::FetchFromRandomPeer() {
  const auto now = Clock::now();
  if (now < next_peer_fetch_ || endpoints_.empty()) return;
  next_peer_fetch_ = now + Jittered(kPeerFetchInterval);
  std::uniform_int_distribution<std::size_t> pick(0, endpoints_.size() - 1);
  const auto it =
      std::next(endpoints_.begin(), static_cast<std::ptrdiff_t>(pick(random_)));
  if (it->first == self_) {
    next_peer_fetch_ = now;
    return;
  }
  ++counters_.peer_fetches;
  Exchange(it->second, {sync_.version(), {}}, [](bool) {});
}

void ControlLoop::Impl::PushToOutdatedAgent(const AgentReport& report) {
  if (report.config == sync_.version()) return;
  const auto now = Clock::now();
  Clock::time_point& last = pushed_at_[report.upstream.id];
  if (now - last < kMinAgentPushInterval) return;
  last = now;
  const Endpoint peer{report.upstream.agent_host, report.upstream.agent_port};
  if (peer.port == 0) return;
  ++counters_.pushes_sent;
  Exchange(peer, {sync_.version(), sync_.BundleFor(report.config)},
           [](bool) {});
}

}  // namespace yuccapick
