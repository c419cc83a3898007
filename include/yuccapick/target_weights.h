#ifndef YUCCAPICK_TARGET_WEIGHTS_H_
#define YUCCAPICK_TARGET_WEIGHTS_H_

/// @file
/// Target weight versions set by the operator, and when each was set.

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/store_clock.h"
#include "yuccapick/upstream_roster.h"

namespace yuccapick {

/// When a weight version was set as a model's target.
struct TargetSetTime {
  ModelId model;
  WeightVersionNumber weights = 0;
  StoreTime set_at;

  bool operator==(const TargetSetTime&) const = default;
};

/// Records when each weight version became a model's target, so that requests
/// stop going in time to upstreams that still lack it.
class TargetWeightsHistory {
 public:
  // Commands.

  /// @param set_at as far as known; not after the true time
  /// @return true if `weights` is newer than every version before
  bool OnTargetSet(const ModelId& model, WeightVersionNumber weights,
                   StoreTime set_at);
  /// Corrects when a version was set, or adds one that was replaced before this
  /// process learned of it.
  void OnSetTimeKnown(const ModelId& model, WeightVersionNumber weights,
                      StoreTime set_at);

  // Queries.

  /// @return 0 if no target was set
  WeightVersionNumber Newest(const ModelId& model) const;
  /// Newest target of every model.
  std::map<ModelId, WeightVersionNumber> NewestOfAllModels() const;
  /// When the first version newer than `held` was set; nullopt if there is
  /// none.
  std::optional<StoreTime> ReplacedAt(const ModelId& model,
                                      WeightVersionNumber held) const;
  /// True if a version newer than `held` was set at least `limit` ago.
  bool IsOverdue(const ModelId& model, WeightVersionNumber held,
                 std::chrono::milliseconds limit, StoreTime now) const;
  /// All recorded versions, for a peer.
  std::vector<TargetSetTime> SetTimes() const;

 private:
  struct TargetVersion {
    WeightVersionNumber weights = 0;
    StoreTime set_at;
  };

  std::map<ModelId, std::vector<TargetVersion>> targets_;  ///< Ascending.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TARGET_WEIGHTS_H_
