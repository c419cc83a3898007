#include "yuccapick/part_owners.h"

#include <algorithm>

#include "yuccapick/rendezvous.h"

namespace yuccapick {

void PartOwners::SetMembers(const InstanceId& self,
                            const std::vector<PartOwner>& peers,
                            bool include_self) {
  members_.clear();
  if (include_self || peers.empty()) {
    members_.push_back({RendezvousNodeHash(self.value), ""});
  }
  for (const PartOwner& peer : peers) {
    members_.push_back(
        {RendezvousNodeHash(peer.instance.value), peer.endpoint});
  }
}

const std::string& PartOwners::EndpointOf(std::uint64_t part_hash) const {
  const auto owner =
      std::max_element(members_.begin(), members_.end(),
                       [part_hash](const Member& a, const Member& b) {
                         return RendezvousScore(part_hash, a.node_hash) <
                                RendezvousScore(part_hash, b.node_hash);
                       });
  return owner->endpoint;
}

}  // namespace yuccapick
