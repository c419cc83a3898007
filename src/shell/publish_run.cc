#include "shell/publish_run.h"

#include <map>
#include <memory>
#include <random>
#include <utility>

#include "shell/control_loop.h"
#include "shell/peer_links.h"
#include "shell/platform_client.h"
#include "yuccapick/control_message.h"

namespace yuccapick {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kPollInterval{50};

/// Executes the actions of a `ConfigPublisher` on one event loop.
class PublishRun {
 public:
  PublishRun(const PublishTarget& target, PublishRequest request)
      : channel_(
            std::make_shared<PlatformChannel>(loop_, PlatformChannelOptions())),
        table_(channel_, target.settings.platform.table_url),
        objects_(channel_, target.settings.platform.objects_url),
        publisher_(std::move(request)) {}

  PublishResult Run() {
    Execute(publisher_.Start(Clock::now()));
    loop_.run();
    return std::move(result_);
  }

 private:
  void Handle(const PublishEvent& event) {
    Execute(publisher_.Handle(event, Clock::now()));
  }

  void Execute(const PublishActions& actions) {
    for (const PublishAction& action : actions) {
      std::visit([this](const auto& a) { On(a); }, action);
    }
  }

  void On(const ReadRows& action) {
    table_.Read(action.keys, [this](const ReadResult& result) {
      RowsRead event;
      event.available = result.ok();
      if (result.ok()) event.rows = *result;
      Handle(event);
    });
  }
  void On(const FetchObject& action) {
    objects_.Get(action.hash, [this, hash = action.hash](
                                  const absl::StatusOr<std::string>& content) {
      Handle(ObjectFetched{hash, content});
    });
  }
  void On(const StoreObject& action) {
    objects_.Put(action.hash, action.content,
                 [this, hash = action.hash](const absl::Status& status) {
                   Handle(ObjectStored{hash, status.ok()});
                 });
  }
  void On(const CommitRows& action) {
    table_.Commit(action.transaction, [this](const CommitResult& result) {
      Handle(RowsCommitted{result});
    });
  }
  void On(const WaitUntil& action) {
    timer_.expires_at(action.when);
    timer_.async_wait([this](asio::error_code ec) {
      if (!ec) Handle(WaitElapsed{});
    });
  }
  void On(const PublishFinished& action) {
    result_ = action.result;
    loop_.stop();
  }

  asio::io_context loop_{1};
  asio::steady_timer timer_{loop_};
  std::shared_ptr<PlatformChannel> channel_;
  HttpTableService table_;
  HttpObjectStore objects_;
  ConfigPublisher publisher_;
  PublishResult result_;
};

/// Polls every process on the instance list until all have a version in force.
class InForcePoller {
 public:
  InForcePoller(const PublishTarget& target, ConfigVersion version,
                std::chrono::milliseconds timeout)
      : version_(version),
        started_(Clock::now()),
        deadline_(started_ + timeout),
        channel_(
            std::make_shared<PlatformChannel>(loop_, PlatformChannelOptions())),
        instances_(channel_, target.settings.platform.instances_url),
        peers_(std::make_shared<PeerLinks>(loop_, target.settings, "publish",
                                           std::random_device{}())) {}

  InForceResult Run() {
    FetchList();
    loop_.run();
    peers_->Stop();
    return std::move(result_);
  }

 private:
  void FetchList() {
    instances_.List(
        [this](const absl::StatusOr<std::vector<InstanceEntry>>& list) {
          if (!list.ok() && Clock::now() < deadline_) return FetchList();
          if (list.ok()) {
            for (const InstanceEntry& entry : *list) {
              if (!entry.leaving) behind_[entry.id] = {entry.host, entry.port};
            }
          } else {
            behind_[InstanceId("the instance list")] = {};
          }
          result_.processes = behind_.size();
          PollProcesses();
        });
  }

  void PollProcesses() {
    const auto now = Clock::now();
    if (behind_.empty() || now >= deadline_) return Finish(now);
    for (const auto& [id, endpoint] : behind_) QueryProcess(id, endpoint);
    timer_.expires_after(kPollInterval);
    timer_.async_wait([this](asio::error_code ec) {
      if (!ec) PollProcesses();
    });
  }

  void QueryProcess(const InstanceId& id, const Endpoint& endpoint) {
    // Sends the preceding version, so that polling does not distribute the new
    // one and the reply contains only the change.
    const ConfigVersion before(version_.value - 1);
    peers_->Call(endpoint, kControlCall, EncodeControl({before, {}}),
                 [this, id](const absl::StatusOr<std::string>& bytes) {
                   if (!bytes.ok()) return;
                   const auto answer = DecodeControl(*bytes);
                   if (!answer.ok() || answer->have < version_) return;
                   behind_.erase(id);
                   if (behind_.empty()) Finish(Clock::now());
                 });
  }

  void Finish(Clock::time_point now) {
    result_.after =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - started_);
    for (const auto& [id, endpoint] : behind_) {
      result_.behind.push_back(id.value);
    }
    timer_.cancel();
    loop_.stop();
  }

  ConfigVersion version_;
  Clock::time_point started_;
  Clock::time_point deadline_;
  asio::io_context loop_{1};
  asio::steady_timer timer_{loop_};
  std::shared_ptr<PlatformChannel> channel_;
  HttpInstanceList instances_;
  std::shared_ptr<PeerLinks> peers_;
  std::map<InstanceId, Endpoint> behind_;
  InForceResult result_;
};

}  // namespace

PublishResult PublishOnce(const PublishTarget& target, PublishRequest request) {
  return PublishRun(target, std::move(request)).Run();
}

InForceResult WaitInForce(const PublishTarget& target, ConfigVersion version,
                          std::chrono::milliseconds timeout) {
  return InForcePoller(target, version, timeout).Run();
}

}  // namespace yuccapick
