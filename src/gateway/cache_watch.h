#ifndef YUCCAPICK_GATEWAY_CACHE_WATCH_H_
#define YUCCAPICK_GATEWAY_CACHE_WATCH_H_

/// @file
/// Polls the cache events of engines and of the KV store.

#include <asio.hpp>
#include <map>
#include <memory>
#include <string>

#include "gateway/call_client.h"
#include "gateway/gateway_state.h"
#include "gateway/upstream_messages.h"

namespace yuccapick {

/// Runs one sequence of long polls for each watched cache. Not thread-safe;
/// used on one event loop.
class CacheWatch {
 public:
  CacheWatch(GatewayState& state, CallClient& calls)
      : state_(state), calls_(calls) {}

  /// Starts and stops polling according to the upstream list and the
  /// configuration.
  void OnTick(TimePoint now);

 private:
  struct Target {
    std::string endpoint;
    UpstreamId upstream;            ///< Empty for a KV store.
    Incarnation incarnation;        ///< Of the cache.
    std::uint64_t since = 0;        ///< Number of the last event seen.
    std::uint64_t generation = 0;   ///< Answers to older targets are dropped.
    bool reports_to_peers = false;  ///< Set if not all peers watch this cache.
    bool polling = false;           ///< A call is in flight.
    std::uint32_t failures = 0;     ///< Consecutive.
    TimePoint next_call;
  };

  /// True while the upstream has asked for a pause.
  bool IsPaused(const UpstreamId& upstream, TimePoint now) const;
  void SetTarget(const std::string& name, const std::string& endpoint,
                 const UpstreamId& upstream, bool reports_to_peers);
  void RemoveUnwantedTargets(const std::map<std::string, bool>& wanted);
  /// Number of gateways that take precedence over this one as watchers of the
  /// cache `name`.
  std::size_t WatcherRank(const std::string& name) const;
  bool AllMayWatch(std::uint32_t max_watchers) const;
  bool MayWatch(const std::string& name, std::uint32_t max_watchers) const;
  /// Watches the KV stores that this gateway may watch.
  /// @param wanted gets their names
  void WatchKvStores(std::map<std::string, bool>& wanted);
  /// Watches the engines that this gateway may watch.
  void WatchEngines(std::map<std::string, bool>& wanted);
  /// Tells the part's owner of a change if not all gateways watch the cache
  /// themselves.
  void TellOwner(const Target& target, const CacheChange& change);
  KvStoreState& StoreOf(const Target& target) {
    return state_.kv_stores[target.endpoint];
  }
  void Poll(const std::string& name, Target& target);
  void OnAnswer(const std::string& name, std::uint64_t generation,
                const absl::StatusOr<CallAnswer>& answer);
  /// A poll was not answered in time. Its connection may be lost, or the cache
  /// silent for a moment, so another one decides.
  void OnSilence(Target& target);
  void OnFailure(Target& target, std::string_view reason);
  void Apply(Target& target, const CacheEvents& events);
  /// A KV store answered.
  /// @param restarted it lost its contents since its last answer
  void ApplyStoreAnswer(const Target& target, bool restarted);

  GatewayState& state_;
  CallClient& calls_;
  std::map<std::string, Target> targets_;
  std::uint64_t generations_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_CACHE_WATCH_H_
