#ifndef YUCCAPICK_PART_OWNERS_H_
#define YUCCAPICK_PART_OWNERS_H_

/// @file
/// Assigns each prompt part to the gateway that collects knowledge of it.

#include <cstdint>
#include <string>
#include <vector>

#include "yuccapick/ids.h"

namespace yuccapick {

/// A gateway that may own parts.
struct PartOwner {
  InstanceId instance;
  std::string endpoint;  ///< `IP:PORT` for messages.
};

/// Chooses owners by rendezvous hashing, so that gateways with the same list of
/// members agree, and a member that leaves moves only its own parts.
class PartOwners {
 public:
  /// @param self this gateway
  /// @param peers all other live gateways
  /// @param include_self false if this gateway stops soon; ignored without
  ///   peers
  void SetMembers(const InstanceId& self, const std::vector<PartOwner>& peers,
                  bool include_self = true);

  /// @return the endpoint of the part's owner; empty if this gateway owns it
  const std::string& EndpointOf(std::uint64_t part_hash) const;
  /// Number of gateways that own parts, including this one.
  std::size_t size() const { return members_.size(); }

 private:
  struct Member {
    std::uint64_t node_hash = 0;
    std::string endpoint;  ///< Empty for this gateway.
  };

  std::vector<Member> members_{Member()};
};

}  // namespace yuccapick

#endif  // YUCCAPICK_PART_OWNERS_H_
