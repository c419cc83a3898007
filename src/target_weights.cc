#include "yuccapick/target_weights.h"

#include <algorithm>

namespace yuccapick {
namespace {

/// Versions of one model that are remembered. Older ones are overdue anyway.
constexpr std::size_t kMaxVersions = 16;

}  // namespace

bool TargetWeightsHistory::OnTargetSet(const ModelId& model,
                                       WeightVersionNumber weights,
                                       TimePoint known_at) {
  std::vector<Named>& versions = named_[model];
  if (!versions.empty() && weights <= versions.back().weights) return false;
  versions.push_back({weights, known_at});
  if (versions.size() > kMaxVersions) versions.erase(versions.begin());
  return true;
}

void TargetWeightsHistory::OnTargetSetEarlier(const ModelId& model,
                                              WeightVersionNumber weights,
                                              TimePoint named_at) {
  std::vector<Named>& versions = named_[model];
  const auto it =
      std::lower_bound(versions.begin(), versions.end(), weights,
                       [](const Named& named, WeightVersionNumber w) {
                         return named.weights < w;
                       });
  if (it != versions.end() && it->weights == weights) {
    it->named_at = std::min(it->named_at, named_at);
    return;
  }
  versions.insert(it, {weights, named_at});
}

WeightVersionNumber TargetWeightsHistory::Newest(const ModelId& model) const {
  const auto it = named_.find(model);
  return it == named_.end() ? 0 : it->second.back().weights;
}

std::map<ModelId, WeightVersionNumber> TargetWeightsHistory::NewestOfAllModels()
    const {
  std::map<ModelId, WeightVersionNumber> newest;
  for (const auto& [model, versions] : named_) {
    newest[model] = versions.back().weights;
  }
  return newest;
}

bool TargetWeightsHistory::IsOverdue(const ModelId& model,
                                     WeightVersionNumber held,
                                     std::chrono::milliseconds limit,
                                     TimePoint now) const {
  const auto it = named_.find(model);
  if (it == named_.end()) return false;
  for (const Named& named : it->second) {
    if (named.weights <= held) continue;
    if (now - named.named_at >= limit) return true;
  }
  return false;
}

}  // namespace yuccapick
