#ifndef YUCCAPICK_DISTRIBUTION_TREE_H_
#define YUCCAPICK_DISTRIBUTION_TREE_H_

/// @file
/// A shallow tree over the live processes, along which changes are pushed.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "yuccapick/ids.h"

namespace yuccapick {

/// Orders the processes by the hash of their ids. The first `kRootCount` are
/// roots, which poll the store for the head row of the configuration; each
/// process pushes changes to up to `kFanOut` later ones. Processes with the
/// same list compute the same tree; when the list changes, the tree is rebuilt.
class DistributionTree {
 public:
  static constexpr std::size_t kRootCount = 3;
  static constexpr std::size_t kFanOut = 16;

  DistributionTree() = default;
  explicit DistributionTree(std::vector<InstanceId> members);

  /// True if `id` is a root, which polls the store at the short interval.
  bool IsRoot(const InstanceId& id) const;
  /// Members that `id` pushes to.
  std::vector<InstanceId> ChildrenOf(const InstanceId& id) const;
  /// Number of pushes from a root to `id`; 0 for a root.
  std::size_t DepthOf(const InstanceId& id) const;

  const std::vector<InstanceId>& members() const { return members_; }

 private:
  std::size_t PositionOf(const InstanceId& id) const;

  std::vector<InstanceId> members_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_DISTRIBUTION_TREE_H_
