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

/// A weight version that was set as a model's target after a time.
struct TargetSetTime {
  ModelId model;
  WeightVersionNumber weights = 0;
  StoreTime set_after;

  bool operator==(const TargetSetTime&) const = default;
};

/// Records when each weight version became a model's target, so that requests
/// stop going in time to upstreams that still lack it.
class TargetWeightsHistory {
 public:
  // Commands.

  /// @param set_after a time at which it was not set yet; nullopt if none is
  ///   known
  /// @param learned_at counts until one is known
  /// @return true if `weights` is newer than every version before
  bool OnTargetSet(const ModelId& model, WeightVersionNumber weights,
                   std::optional<StoreTime> set_after, StoreTime learned_at);
  /// Another time before a version was set; the latest one counts. The version
  /// may have been replaced before this process learned of it.
  void OnSetAfterKnown(const ModelId& model, WeightVersionNumber weights,
                       StoreTime set_after);

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
  /// The versions with a known time, for a peer.
  std::vector<TargetSetTime> SetTimes() const;

 private:
  struct TargetVersion {
    /// Not after the time at which the version was set, unless it is unknown.
    StoreTime SetAt() const { return set_after.value_or(learned_at); }

    WeightVersionNumber weights = 0;
    std::optional<StoreTime> set_after;
    StoreTime learned_at;
  };

  std::map<ModelId, std::vector<TargetVersion>> targets_;  ///< Ascending.
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TARGET_WEIGHTS_H_
