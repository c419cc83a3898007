#include "yuccapick/distribution_tree.h"

#include <algorithm>
#include <utility>

#include "yuccapick/rendezvous.h"

namespace yuccapick {

DistributionTree::DistributionTree(std::vector<InstanceId> members)
    : members_(std::move(members)) {
  const auto score = [](const InstanceId& id) {
    return std::pair(RendezvousNodeHash(id.value), id);
  };
  std::sort(members_.begin(), members_.end(),
            [&](const InstanceId& a, const InstanceId& b) {
              return score(a) > score(b);
            });
  members_.erase(std::unique(members_.begin(), members_.end()), members_.end());
}

std::size_t DistributionTree::PositionOf(const InstanceId& id) const {
  const auto it = std::find(members_.begin(), members_.end(), id);
  return static_cast<std::size_t>(it - members_.begin());
}

bool DistributionTree::IsRoot(const InstanceId& id) const {
  return PositionOf(id) < kRootCount;
}

std::vector<InstanceId> DistributionTree::ChildrenOf(
    const InstanceId& id) const {
  const std::size_t position = PositionOf(id);
  const std::size_t first = kRootCount + position * kFanOut;
  const std::size_t last = std::min(first + kFanOut, members_.size());
  std::vector<InstanceId> children;
  for (std::size_t i = first; i < last; ++i) children.push_back(members_[i]);
  return children;
}

std::size_t DistributionTree::DepthOf(const InstanceId& id) const {
  std::size_t depth = 0;
  for (std::size_t i = PositionOf(id); i >= kRootCount;
       i = (i - kRootCount) / kFanOut) {
    ++depth;
  }
  return depth;
}

}  // namespace yuccapick
