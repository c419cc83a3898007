#include "yuccapick/gateway_ring.h"

#include <algorithm>
#include <utility>

#include "yuccapick/rendezvous.h"

namespace yuccapick {

GatewayRing::GatewayRing(InstanceId own)
    : gateways_{std::move(own)},
      hashes_{RendezvousNodeHash(gateways_.front().value)} {}

void GatewayRing::SetPeers(const std::vector<InstanceId>& peers) {
  if (std::equal(gateways_.begin() + 1, gateways_.end(), peers.begin(),
                 peers.end())) {
    return;
  }
  gateways_.resize(1);
  hashes_.resize(1);
  for (const InstanceId& peer : peers) {
    gateways_.push_back(peer);
    hashes_.push_back(RendezvousNodeHash(peer.value));
  }
}

std::vector<InstanceId> GatewayRing::Pick(std::uint64_t key,
                                          std::size_t count) const {
  std::vector<InstanceId> picked;
  for (const std::uint32_t n : RendezvousHomes(key, hashes_, count)) {
    picked.push_back(gateways_[n]);
  }
  return picked;
}

bool GatewayRing::IsOwnPicked(std::uint64_t key, std::size_t count) const {
  const std::vector<std::uint32_t> homes = RendezvousHomes(key, hashes_, count);
  return std::find(homes.begin(), homes.end(), 0U) != homes.end();
}

}  // namespace yuccapick
