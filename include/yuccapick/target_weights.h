#ifndef YUCCAPICK_TARGET_WEIGHTS_H_
#define YUCCAPICK_TARGET_WEIGHTS_H_

/// @file
/// Target weight versions set by the operator, and when each was set.

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "yuccapick/ids.h"
#include "yuccapick/upstream_roster.h"

namespace yuccapick {

/// Records when each weight version became a model's target, so that requests
/// stop going in time to upstreams that still lack it.
class TargetWeightsHistory {
 public:
  // Commands.

  /// @param known_at when this process learned of it
  /// @return true if `weights` is newer than every version before
  bool OnTargetSet(const ModelId& model, WeightVersionNumber weights,
                   TimePoint known_at);
  /// A version was set before this process learned of it, or was replaced
  /// before that.
  void OnTargetSetEarlier(const ModelId& model, WeightVersionNumber weights,
                          TimePoint set_at);

  // Queries.

  /// @return 0 if no target was set
  WeightVersionNumber Newest(const ModelId& model) const;
  /// Newest target of every model.
  std::map<ModelId, WeightVersionNumber> NewestOfAllModels() const;
  /// When the first version newer than `held` was set; nullopt if there is
  /// none.
  std::optional<TimePoint> ReplacedAt(const ModelId& model,
                                      WeightVersionNumber held) const;
  /// True if a version newer than `held` was set at least `limit` ago.
  bool IsOverdue(const ModelId& model, WeightVersionNumber held,
                 std::chrono::milliseconds limit, TimePoint now) const;

 private:
  struct TargetVersion {
    WeightVersionNumber weights = 0;
    TimePoint set_at;
  };

  std::map<ModelId, std::vector<TargetVersion>> targets_;  ///< Ascending.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TARGET_WEIGHTS_H_
