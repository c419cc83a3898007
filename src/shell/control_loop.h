#ifndef YUCCAPICK_SHELL_CONTROL_LOOP_H_
#define YUCCAPICK_SHELL_CONTROL_LOOP_H_

/// @file
/// Control loop of a router or an agent: distributes the configuration, tracks
/// membership, and executes table transactions for the router and agent cores.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "absl/status/statusor.h"
#include "shell/settings.h"
#include "yuccapick/ids.h"
#include "yuccapick/router_events.h"

namespace yuccapick {

enum class ControlRole : std::uint8_t { kRouter, kAgent };

struct ControlLoopOptions {
  ControlRole role = ControlRole::kRouter;
  ProcessSettings settings;
  Incarnation incarnation;  ///< This process; see `MakeIncarnation`.
  std::uint64_t seed = 0;   ///< Seeds the jitter.
};

/// Events that the control loop sends to the router or agent core.
using ControlEvent =
    std::variant<ConfigChanged, UpstreamChanged, TableCommitted, TableRead>;

/// Counters of the control loop.
struct ControlStats {
  std::uint64_t config_version = 0;  ///< In force; 0 before the first.
  std::uint64_t table_reads = 0;
  std::uint64_t table_writes = 0;
  std::uint64_t table_failures = 0;
  std::uint64_t object_reads = 0;
  std::uint64_t pushes_sent = 0;
  std::uint64_t pushes_received = 0;
  std::uint64_t peer_fetches = 0;
  std::uint64_t sink_refusals = 0;  ///< Times an event found the sink full.
  std::uint64_t upstreams_live = 0;
  std::uint64_t orders_sent = 0;
  std::uint64_t orders_refused = 0;
  std::uint64_t lease_fence = 0;  ///< Rollout lease; 0 if not held.
};

/// Owns one thread with one event loop. Every public method may be called from
/// any thread; all but `Stop` return without blocking.
class ControlLoop {
 public:
  /// Runs on the control thread, such as `Mailbox::Post` of the core. An event
  /// for which it returns false is delivered again later.
  using Sink = std::function<bool(const ControlEvent&)>;
  /// Sends an order to the agent of an upstream, such as
  /// `AgentLinks::Order`; `done` may run on any thread.
  using OrderSender = std::function<bool(
      UpstreamId, EngineOrder,
      std::function<void(absl::StatusOr<OrderResult>)> done)>;
  using CallDone = std::function<void(absl::StatusOr<std::string>)>;

  ControlLoop(ControlLoopOptions options, Sink sink);
  /// Stops the thread. The sink receives no event afterwards.
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  /// Routers set it before `Start`; without it no orders are sent.
  void SetOrderSender(OrderSender sender);
  void Start();
  /// Releases the lease if it is held, then stops the thread.
  void Stop();

  /// Executes a core's transaction; the result is emitted as `TableCommitted`.
  void Commit(CommitTable command);
  /// Executes a core's read; the result is emitted as `TableRead`.
  void Read(ReadTable command);

  /// Processes an agent's report: updates membership and versions.
  void OnReport(const AgentReport& report);
  /// A peer reported this configuration version. If it is newer than the one in
  /// force, the newer configuration is fetched.
  void OnPeerVersion(ConfigVersion version);
  /// The process is about to stop: acquires no lease and releases a held one.
  void SetLeaving();

  /// Answers the link call `control`. Agents register it with
  /// `LinkServer::HandleCall(kControlCall, …)`; a router's control loop listens
  /// on the `link` address of the settings. `done` runs on the control thread.
  void HandleCall(std::string bytes, CallDone done);

  ControlStats stats() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

/// Name of the link call by which processes exchange configuration.
inline constexpr const char* kControlCall = "control";

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_CONTROL_LOOP_H_
