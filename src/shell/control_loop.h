#ifndef YUCCAPICK_SHELL_CONTROL_LOOP_H_
#define YUCCAPICK_SHELL_CONTROL_LOOP_H_

/// @file
/// The platform duty of a router or an agent: configuration, membership, lease,
/// orders, and the table for the cores.

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
  Incarnation incarnation;  ///< Of this process; see `MakeIncarnation`.
  std::uint64_t seed = 0;   ///< Of jitter.
};

/// What the platform duty tells the process's decisions.
using ControlEvent =
    std::variant<ConfigChanged, UpstreamChanged, TableCommitted, TableRead>;

/// Counters of the platform duty.
struct ControlStats {
  std::uint64_t config_version = 0;  ///< In force here; 0 before the first.
  std::uint64_t table_reads = 0;
  std::uint64_t table_writes = 0;
  std::uint64_t table_failures = 0;
  std::uint64_t object_reads = 0;
  std::uint64_t pushes_sent = 0;
  std::uint64_t pushes_taken = 0;
  std::uint64_t peer_fetches = 0;
  std::uint64_t sink_refusals = 0;  ///< Events that waited for a full sink.
  std::uint64_t upstreams_live = 0;
  std::uint64_t orders_sent = 0;
  std::uint64_t orders_refused = 0;
  std::uint64_t lease_fence = 0;  ///< Of the planner's lease; 0 if not held.
};

/// Owns one thread with one event loop. Every public method may be called from
/// any thread and returns at once.
class ControlLoop {
 public:
  /// Runs on the control thread, such as `Mailbox::Post` of the decisions. An
  /// event for which it returns false is offered again.
  using Sink = std::function<bool(const ControlEvent&)>;
  /// Sends an order to the agent beside an upstream, such as
  /// `AgentLinks::Order`; `done` may run on any thread.
  using OrderSender = std::function<bool(
      UpstreamId, EngineOrder,
      std::function<void(absl::StatusOr<OrderResult>)> done)>;
  using CallDone = std::function<void(absl::StatusOr<std::string>)>;

  ControlLoop(ControlLoopOptions options, Sink sink);
  /// Stops the thread. No event arrives at the sink afterwards.
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;

  /// Routers set it before `Start`; without it no orders are given.
  void SetOrderSender(OrderSender sender);
  void Start();
  /// Hands the lease back if it is held, then ends the thread.
  void Stop();

  /// Executes a core's transaction; a `TableCommitted` follows.
  void Commit(CommitTable command);
  /// Executes a core's read; a `TableRead` follows.
  void Read(ReadTable command);

  /// Direct word of an agent, for membership, versions and orders.
  void OnReport(const AgentReport& report);
  /// A peer showed this version in some exchange. If it is ahead of the one in
  /// force, the newer configuration is fetched.
  void OnPeerVersion(ConfigVersion version);
  /// The process is about to stop: takes no lease, hands a held one back.
  void SetLeaving();

  /// Answers the call `control` of a link. Agents hand it to their
  /// `LinkServer::HandleCall(kControlCall, …)`; routers listen by themselves on
  /// the settings' `link` address. `done` runs on the control thread.
  void HandleCall(std::string bytes, CallDone done);

  ControlStats stats() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

/// Name of the call by which processes exchange configuration.
inline constexpr const char* kControlCall = "control";

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_CONTROL_LOOP_H_
