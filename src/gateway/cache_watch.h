#ifndef YUCCAPICK_GATEWAY_CACHE_WATCH_H_
#define YUCCAPICK_GATEWAY_CACHE_WATCH_H_

/// @file
/// Follows the cache events of engines and of the KV store.

#include <asio.hpp>
#include <map>
#include <memory>
#include <string>

#include "gateway/call_client.h"
#include "gateway/gateway_state.h"
#include "gateway/upstream_messages.h"

namespace yuccapick {

/// One loop of calls for each cache that is watched. Used on one loop.
class CacheWatch {
 public:
  CacheWatch(GatewayState& state, CallClient& calls)
      : state_(state), calls_(calls) {}

  /// Starts and stops loops to fit the engines and the configuration.
  void OnTick(TimePoint now);
  /// True if this gateway itself follows the KV store's events.
  bool watches_kv_store() const { return watches_kv_store_; }

 private:
  struct Target {
    std::string endpoint;
    UpstreamId upstream;      ///< Empty for the KV store.
    Incarnation incarnation;  ///< Of the cache.
    std::uint64_t since = 0;
    std::uint64_t generation = 0;
    bool tells_peers = false;  ///< Not all of them watch this cache.
    bool asking = false;
    std::uint32_t failures = 0;  ///< In a row.
    TimePoint next_call;
  };

  void Follow(const std::string& name, const std::string& endpoint,
              const UpstreamId& upstream, bool tells_peers);
  void DropOthers(const std::map<std::string, bool>& wanted);
  /// Gateways that go before this one in watching the cache `name`.
  std::size_t RankFor(const std::string& name) const;
  bool AllMayWatch(std::uint32_t max_watchers) const;
  bool MayWatch(const std::string& name, std::uint32_t max_watchers) const;
  /// Tells peers of a change if they do not all watch the cache themselves.
  void TellPeers(const Target& target, const CacheChange& change);
  void Ask(const std::string& name, Target& target);
  void OnAnswer(const std::string& name, std::uint64_t generation,
                const absl::StatusOr<CallAnswer>& answer);
  void OnFailure(Target& target, std::string_view reason);
  void Apply(Target& target, const CacheEvents& events);

  GatewayState& state_;
  CallClient& calls_;
  std::map<std::string, Target> targets_;
  std::uint64_t generations_ = 0;
  bool watches_kv_store_ = false;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_CACHE_WATCH_H_
