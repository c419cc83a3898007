#include "shell/agent_links.h"

#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>

#include "easylogging++.h"
#include "shell/agent_link.h"
#include "shell/loop_thread.h"
#include "shell/mailbox.h"

namespace yuccapick {
namespace {

/// Delay before delivery to a full sink is retried.
constexpr std::chrono::milliseconds kSinkRetryDelay{1};
constexpr std::chrono::milliseconds kStatsInterval{200};

struct ReceiveCommand {
  UpstreamId upstream;
  AttemptId attempt;
  bool receiving = true;
};
struct OrderCommand {
  UpstreamId upstream;
  EngineOrder order;
  std::function<void(absl::StatusOr<OrderResult>)> done;
};
struct CallCommand {
  UpstreamId upstream;
  std::string name;
  std::string bytes;
  CallDone done;
};

using Command =
    std::variant<UpstreamInfo, SendAttempt, CancelAttempt, ReceiveCommand,
                 ConfigVersion, OrderCommand, CallCommand>;

bool SameAddress(const UpstreamInfo& a, const UpstreamInfo& b) {
  return a.agent_host == b.agent_host && a.agent_port == b.agent_port;
}

absl::Status NoLinkError(const UpstreamId& upstream) {
  return absl::UnavailableError("no link to an agent of upstream " +
                                upstream.value +
                                "; wait until the instance list contains it");
}

}  // namespace

class AgentLinks::Impl {
 public:
  Impl(AgentLinksOptions options, Sink sink)
      : sink_(std::move(sink)),
        retry_timer_(thread_.loop()),
        stats_timer_(thread_.loop()),
        mailbox_(thread_.loop(), options.mailbox_capacity,
                 [this](Command command) { Dispatch(std::move(command)); }) {
    context_.options = std::move(options);
    context_.try_emit = [this](const RouterEvent& event) {
      return TryEmit(event);
    };
    context_.emit_or_queue = [this](RouterEvent event) {
      EmitOrQueue(std::move(event));
    };
  }

  ~Impl() { Stop(); }

  void Start() {
    auto tls = MakeTlsContext(context_.options.tls, LinkRole::kClient);
    if (tls.ok()) {
      context_.tls = *std::move(tls);
    } else {
      tls_error_ = tls.status();
      LOG(ERROR) << "event=link_tls_failed reason=\"" << tls_error_.message()
                 << '"';
    }
    asio::post(thread_.loop(), [this] { PublishStats(); });
    thread_.Start();
  }

  void Stop() {
    thread_.Stop();
    stopped_ = true;
    for (auto& [id, link] : links_) link->Stop();
    links_.clear();
  }

  bool Post(Command command) { return mailbox_.Post(std::move(command)); }

  AgentLinksStats stats() const {
    const std::lock_guard lock(stats_mutex_);
    return published_stats_;
  }

 private:
  void Dispatch(Command command) {
    std::visit([this](auto& typed) { On(std::move(typed)); }, command);
  }

  AgentLink* Find(const UpstreamId& id) const {
    const auto it = links_.find(id.value);
    return it == links_.end() ? nullptr : it->second.get();
  }

  void On(UpstreamInfo upstream) {
    const AgentLink* known = Find(upstream.id);
    const bool gone = upstream.state == UpstreamState::kGone;
    if (known != nullptr && !gone && SameAddress(known->upstream(), upstream)) {
      return;
    }
    const std::string id = upstream.id.value;
    if (known != nullptr) {
      const auto link = links_[id];
      links_.erase(id);
      link->Stop();
    }
    if (gone || !tls_error_.ok()) return;
    auto link = AgentLink::Make(thread_.loop(), context_, std::move(upstream));
    links_[id] = link;
    link->Start();
  }

  void On(const SendAttempt& command) {
    if (AgentLink* link = Find(command.upstream)) {
      return link->Send(command.request);
    }
    EmitOrQueue(AttemptLost{command.upstream, command.request.attempt, false});
  }

  void On(const CancelAttempt& command) {
    if (AgentLink* link = Find(command.upstream)) link->Cancel(command.attempt);
  }

  void On(const ReceiveCommand& command) {
    AgentLink* link = Find(command.upstream);
    if (link != nullptr) link->SetReceiving(command.attempt, command.receiving);
  }

  void On(ConfigVersion version) {
    context_.config = version;
    for (auto& [id, link] : links_) link->SendWatchRequest();
  }

  void On(OrderCommand command) {
    AgentLink* link = Find(command.upstream);
    if (link == nullptr) return command.done(NoLinkError(command.upstream));
    link->Order(command.order, std::move(command.done));
  }

  void On(CallCommand command) {
    AgentLink* link = Find(command.upstream);
    if (link == nullptr) return command.done(NoLinkError(command.upstream));
    link->Call(command.name, command.bytes, std::move(command.done));
  }

  bool TryEmit(const RouterEvent& event) {
    if (stopped_) return true;
    if (sink_(event)) return true;
    ++context_.stats.sink_refusals;
    ScheduleRetry();
    return false;
  }

  void EmitOrQueue(RouterEvent event) {
    if (stopped_) return;
    if (!pending_.empty() || !TryEmit(event)) {
      pending_.push_back(std::move(event));
    }
  }

  void ScheduleRetry() {
    if (retry_scheduled_) return;
    retry_scheduled_ = true;
    retry_timer_.expires_after(kSinkRetryDelay);
    retry_timer_.async_wait([this](asio::error_code ec) {
      if (!ec) RetryDelivery();
    });
  }

  void RetryDelivery() {
    retry_scheduled_ = false;
    while (!pending_.empty() && TryEmit(pending_.front())) pending_.pop_front();
    for (auto& [id, link] : links_) {
      if (retry_scheduled_) return;
      link->ResumeReceiving();
    }
  }

  void PublishStats() {
    {
      const std::lock_guard lock(stats_mutex_);
      published_stats_ = context_.stats;
    }
    stats_timer_.expires_after(kStatsInterval);
    stats_timer_.async_wait([this](asio::error_code ec) {
      if (!ec) PublishStats();
    });
  }

  LoopThread thread_;
  Sink sink_;
  AgentLinkContext context_;
  absl::Status tls_error_;
  std::unordered_map<std::string, std::shared_ptr<AgentLink>> links_;
  std::deque<RouterEvent> pending_;
  asio::steady_timer retry_timer_;
  asio::steady_timer stats_timer_;
  bool retry_scheduled_ = false;
  bool stopped_ = false;
  mutable std::mutex stats_mutex_;
  AgentLinksStats published_stats_;
  Mailbox<Command> mailbox_;
};

AgentLinks::AgentLinks(AgentLinksOptions options, Sink sink)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(sink))) {}

AgentLinks::~AgentLinks() = default;

void AgentLinks::Start() { impl_->Start(); }

void AgentLinks::Stop() { impl_->Stop(); }

bool AgentLinks::Apply(UpstreamInfo upstream) {
  return impl_->Post(std::move(upstream));
}

bool AgentLinks::Send(SendAttempt attempt) {
  return impl_->Post(std::move(attempt));
}

bool AgentLinks::Cancel(CancelAttempt attempt) {
  return impl_->Post(std::move(attempt));
}

bool AgentLinks::SetReceiving(UpstreamId upstream, AttemptId attempt,
                              bool receiving) {
  return impl_->Post(
      ReceiveCommand{std::move(upstream), std::move(attempt), receiving});
}

bool AgentLinks::SetConfig(ConfigVersion version) {
  return impl_->Post(version);
}

bool AgentLinks::Order(UpstreamId upstream, EngineOrder order,
                       std::function<void(absl::StatusOr<OrderResult>)> done) {
  return impl_->Post(
      OrderCommand{std::move(upstream), std::move(order), std::move(done)});
}

bool AgentLinks::Call(UpstreamId upstream, std::string name, std::string bytes,
                      std::function<void(absl::StatusOr<std::string>)> done) {
  return impl_->Post(CallCommand{std::move(upstream), std::move(name),
                                 std::move(bytes), std::move(done)});
}

AgentLinksStats AgentLinks::stats() const { return impl_->stats(); }

}  // namespace yuccapick
