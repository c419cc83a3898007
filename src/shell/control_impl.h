#ifndef YUCCAPICK_SHELL_CONTROL_IMPL_H_
#define YUCCAPICK_SHELL_CONTROL_IMPL_H_

/// @file
/// State of the control thread. All methods run on that thread unless noted
/// otherwise.

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>

#include "shell/control_loop.h"
#include "shell/link_server.h"
#include "shell/loop_thread.h"
#include "shell/peer_links.h"
#include "shell/platform_client.h"
#include "yuccapick/config_sync.h"
#include "yuccapick/control_message.h"
#include "yuccapick/distribution_tree.h"
#include "yuccapick/membership.h"

namespace yuccapick {

class ControlLoop::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(ControlLoopOptions options, Sink sink);

  // Callable from any thread.
  void Start();
  void Stop();
  /// Runs `work(*this)` on the control thread.
  template <typename Work>
  void Post(Work work) {
    asio::post(thread_.loop(),
               [weak = weak_from_this(), work = std::move(work)] {
                 if (const auto self = weak.lock()) work(*self);
               });
  }
  ControlStats stats() const;

  void SetOrderSender(OrderSender sender) { sender_ = std::move(sender); }
  void Commit(const CommitTable& command);
  void Read(const ReadTable& command);
  void OnReport(const AgentReport& report);
  void OnPeerVersion(ConfigVersion version);
  void HandleCall(const std::string& bytes, const CallDone& done);
  void SetLeaving() { leaving_ = true; }

 private:
  using Clock = std::chrono::steady_clock;

  void StartOnLoop();
  void StopOnLoop();
  void ListenForPeers();
  void ArmTick();
  void Tick();
  void Emit(ControlEvent event);
  void FlushSink();
  void PublishStats();

  // Configuration.
  void PollHead();
  void ScheduleHeadPoll();
  void OnHeadRead(const ReadResult& result);
  /// Installs a configuration that is complete and fetches missing contents.
  void ApplyConfigUpdates();
  void FetchContent(const std::string& hash);
  void PushConfigToChildren();
  void PushConfig(const InstanceId& child, int attempts_left);
  /// Sends a message to a peer and handles its reply; `done` receives whether
  /// the peer replied.
  void Exchange(const Endpoint& peer, const ControlMessage& message,
                std::function<void(bool)> done);
  /// Sends the current configuration to a peer that has version `have`, unless
  /// it is up to date.
  void SendMissingConfig(const Endpoint& peer, ConfigVersion have);
  void OnControlMessage(const ControlMessage& message);
  void FetchFromRandomPeer();
  /// Pushes the configuration to an agent that reports another version.
  void PushToOutdatedAgent(const AgentReport& report);

  // Membership.
  void PollInstanceList();
  void OnInstanceList(const std::vector<InstanceEntry>& list);
  void EmitUpstreams(const std::vector<UpstreamInfo>& changed);

  std::chrono::milliseconds Jittered(std::chrono::milliseconds interval);

  ControlLoopOptions options_;
  Sink sink_;
  OrderSender sender_;
  std::mt19937_64 random_;
  InstanceId self_;
  bool leaving_ = false;
  bool running_ = false;  ///< Between `Start` and `Stop`.

  LoopThread thread_;  ///< Must outlive the members below, which use its loop.
  std::shared_ptr<PlatformChannel> channel_;
  std::optional<HttpTableService> table_;
  std::optional<HttpObjectStore> objects_;
  std::optional<HttpInstanceList> instances_;
  std::shared_ptr<PeerLinks> peers_;
  std::shared_ptr<LinkServer> server_;

  ConfigSync sync_{ConfigSyncOptions{}};
  Membership membership_;
  DistributionTree tree_;
  std::map<InstanceId, Endpoint> endpoints_;
  std::map<UpstreamId, Clock::time_point> pushed_at_;
  Clock::time_point next_head_poll_;
  Clock::time_point next_list_poll_;
  Clock::time_point next_peer_fetch_;
  bool polling_head_ = false;
  bool polling_list_ = false;

  std::deque<ControlEvent> pending_events_;  ///< Not delivered yet.
  ControlStats counters_;
  mutable std::mutex stats_mutex_;
  ControlStats published_stats_;

  std::optional<asio::steady_timer> tick_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_CONTROL_IMPL_H_
