#ifndef YUCCAPICK_GATEWAY_RING_H_
#define YUCCAPICK_GATEWAY_RING_H_

/// @file
/// Picks the gateways that are responsible for something.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "yuccapick/ids.h"

namespace yuccapick {

/// The live gateways as this one knows them. Gateways that know the same ones
/// pick the same ones.
class GatewayRing {
 public:
  /// @param own this gateway
  explicit GatewayRing(InstanceId own);

  /// @param peers live gateways other than this one
  void SetPeers(const std::vector<InstanceId>& peers);

  /// Returns up to `count` gateways by rendezvous hashing, the first one first.
  std::vector<InstanceId> Pick(std::uint64_t key, std::size_t count) const;
  /// True if this gateway is one of those that `Pick` returns.
  bool IsOwnPicked(std::uint64_t key, std::size_t count) const;
  const InstanceId& own() const { return gateways_.front(); }
  std::size_t size() const { return gateways_.size(); }

 private:
  std::vector<InstanceId> gateways_;  ///< This one first.
  std::vector<std::uint64_t> hashes_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_RING_H_
