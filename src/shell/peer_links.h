#ifndef YUCCAPICK_SHELL_PEER_LINKS_H_
#define YUCCAPICK_SHELL_PEER_LINKS_H_

/// @file
/// Calls to other processes over links that are opened on demand.

#include <asio.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "shell/link_call.h"
#include "shell/link_client.h"
#include "shell/settings.h"

namespace yuccapick {

/// Keeps a link to each peer that was called recently. Used on the loop's
/// thread.
class PeerLinks : public std::enable_shared_from_this<PeerLinks> {
 public:
  PeerLinks(asio::io_context& loop, const ProcessSettings& settings,
            std::string name, std::uint64_t seed);

  /// Calls `name` at `peer`; connects first if there is no link. `done` gets an
  /// error if connecting fails or the call times out. A link on which the peer
  /// sent nothing meanwhile is replaced.
  void Call(const Endpoint& peer, const std::string& name, std::string bytes,
            CallDone done);
  /// Closes links that were idle for 30 s.
  void CloseIdle(std::chrono::steady_clock::time_point now);
  void Stop();

 private:
  struct PendingCall {
    std::string name;
    std::string bytes;
    CallDone done;
  };
  struct Peer {
    std::shared_ptr<LinkClient> client;
    std::deque<PendingCall> pending_calls;  ///< Sent once the link is up.
    std::chrono::steady_clock::time_point last_used;
  };
  using Address = std::pair<std::string, std::uint16_t>;

  /// Sends a call on a link that is up.
  void Send(const Address& address, LinkClient& client,
            const PendingCall& call);
  Peer& FindOrConnect(const Endpoint& endpoint);
  void OnCallTimeout(const Address& address,
                     std::chrono::steady_clock::time_point sent_at);
  void OnUp(const Address& address);
  void OnDown(const Address& address, const absl::Status& status);

  asio::io_context& loop_;
  LinkClientOptions options_;
  std::map<Address, Peer> peers_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_PEER_LINKS_H_
