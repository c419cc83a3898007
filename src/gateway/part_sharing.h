#ifndef YUCCAPICK_GATEWAY_PART_SHARING_H_
#define YUCCAPICK_GATEWAY_PART_SHARING_H_

/// @file
/// Shares knowledge of cached prompt parts with the gateways that own them.

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gateway/delayed_call.h"
#include "gateway/gateway_state.h"
#include "gateway/peer_exchange.h"
#include "yuccapick/part_messages.h"
#include "yuccapick/part_owners.h"

namespace yuccapick {

/// Carries the messages of `GatewayState::parts`: asks owners before requests
/// are placed, and tells them what engines hold. A lost message costs at most
/// one computation of a part that an engine had cached. Used on one event loop.
class PartSharing {
 public:
  /// @param peers must outlive this object, like the other arguments
  PartSharing(GatewayState& state, PeerExchange& exchange,
              const PeerRegistry& peers);

  /// Number of gateways that own parts, including this one.
  std::size_t owner_count() const { return owners_.size(); }
  void Stop() { send_updates_.Cancel(); }
  void OnTick(TimePoint now);
  /// Asks the owner of the chain's last part which engines hold it.
  /// @param done called with the answer's arrival; not called if it is lost
  /// @return false if there is nobody to ask
  bool Ask(const PartChain& chain, std::function<void()> done);
  /// Tells the part's owner what an engine holds of it, together with other
  /// updates.
  void Tell(const HolderUpdate& update);

  void OnQuery(const HoldersQuery& query);
  void OnAnswer(const HoldersAnswer& answer);
  void OnUpdates(const std::vector<HolderUpdate>& updates);

 private:
  struct PendingQuery {
    PartChain chain;
    std::function<void()> done;
    TimePoint sent_at;
  };

  void SendUpdates();

  GatewayState& state_;
  PeerExchange& exchange_;
  const PeerRegistry& peers_;
  PartOwners owners_;
  std::uint64_t queries_sent_ = 0;
  std::map<std::uint64_t, PendingQuery> pending_;
  /// Not yet sent, by the owner's endpoint.
  std::map<std::string, std::vector<HolderUpdate>> updates_;
  DelayedCall send_updates_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_PART_SHARING_H_
