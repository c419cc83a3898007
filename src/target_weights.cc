#include "yuccapick/target_weights.h"

#include <algorithm>

namespace yuccapick {
namespace {

/// Older versions are dropped; upstreams without them are overdue anyway.
constexpr std::size_t kMaxVersionsPerModel = 16;

}  // namespace

bool TargetWeightsHistory::OnTargetSet(const ModelId& model,
                                       WeightVersionNumber weights,
                                       std::optional<StoreTime> set_after,
                                       StoreTime learned_at) {
  std::vector<TargetVersion>& versions = targets_[model];
  if (!versions.empty() && weights <= versions.back().weights) return false;
  versions.push_back({weights, set_after, learned_at});
  if (versions.size() > kMaxVersionsPerModel) versions.erase(versions.begin());
  return true;
}

void TargetWeightsHistory::OnSetAfterKnown(const ModelId& model,
                                           WeightVersionNumber weights,
                                           StoreTime set_after) {
  std::vector<TargetVersion>& versions = targets_[model];
  const auto it =
      std::lower_bound(versions.begin(), versions.end(), weights,
                       [](const TargetVersion& target, WeightVersionNumber w) {
                         return target.weights < w;
                       });
  if (it != versions.end() && it->weights == weights) {
    it->set_after = std::max(it->set_after.value_or(set_after), set_after);
    return;
  }
  versions.insert(it, {weights, set_after, set_after});
}

WeightVersionNumber TargetWeightsHistory::Newest(const ModelId& model) const {
  const auto it = targets_.find(model);
  return it == targets_.end() ? 0 : it->second.back().weights;
}

std::map<ModelId, WeightVersionNumber> TargetWeightsHistory::NewestOfAllModels()
    const {
  std::map<ModelId, WeightVersionNumber> newest;
  for (const auto& [model, versions] : targets_) {
    newest[model] = versions.back().weights;
  }
  return newest;
}

std::vector<TargetSetTime> TargetWeightsHistory::SetTimes() const {
  std::vector<TargetSetTime> times;
  for (const auto& [model, versions] : targets_) {
    for (const TargetVersion& target : versions) {
      if (!target.set_after) continue;
      times.push_back({model, target.weights, *target.set_after});
    }
  }
  return times;
}

std::optional<StoreTime> TargetWeightsHistory::ReplacedAt(
    const ModelId& model, WeightVersionNumber held) const {
  const auto it = targets_.find(model);
  if (it == targets_.end()) return std::nullopt;
  std::optional<StoreTime> replaced_at;
  for (const TargetVersion& target : it->second) {
    if (target.weights <= held) continue;
    replaced_at =
        std::min(replaced_at.value_or(target.SetAt()), target.SetAt());
  }
  return replaced_at;
}

bool TargetWeightsHistory::IsOverdue(const ModelId& model,
                                     WeightVersionNumber held,
                                     std::chrono::milliseconds limit,
                                     StoreTime now) const {
  const std::optional<StoreTime> replaced_at = ReplacedAt(model, held);
  return replaced_at && now - *replaced_at >= limit;
}

}  // namespace yuccapick
