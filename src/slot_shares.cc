#include "yuccapick/slot_shares.h"

#include <algorithm>
#include <cmath>

namespace yuccapick {
namespace {

constexpr double kShrink = 0.85;
constexpr double kGrow = 1.25;

}  // namespace

SlotShares::SlotShares(SlotSharesOptions options)
    : options_(options),
      slots_(std::min(options.initial_slots, options.max_slots)) {}

void SlotShares::SetWeight(const TeamId& team, double weight) {
  teams_[team].weight = weight;
}

void SlotShares::OnStarted(const TeamId& id, TimePoint now) {
  Team& team = teams_[id];
  ++running_;
  ++team.running;
  team.last_used = now;
  if (now - team.peak_since > options_.memory / 2) {
    team.last_peak = team.peak;
    team.peak = 0;
    team.peak_since = now;
  }
  team.peak = std::max(team.peak, team.running);
}

void SlotShares::OnEnded(const TeamId& id) {
  Team& team = teams_[id];
  if (team.running == 0) return;
  --team.running;
  --running_;
}

void SlotShares::OnLoad(const LoadReport& load, bool work_waits) {
  if (load.queued > options_.queue_target) {
    slots_ = std::max<double>(options_.min_slots, slots_ * kShrink);
  } else if (work_waits) {
    slots_ = std::min<double>(options_.max_slots, slots_ * kGrow + 1);
  }
}

bool SlotShares::IsActive(const Team& team, TimePoint now) const {
  const bool used_lately = now - team.last_used <= options_.memory;
  return team.running > 0 || (team.peak > 0 && used_lately);
}

double SlotShares::HeldFor(const Team& team, double weights,
                           TimePoint now) const {
  if (!IsActive(team, now)) return 0;
  const double entitled = slots_ * options_.held_share * team.weight / weights;
  const double used = std::max(team.peak, team.last_peak);
  return std::max(0.0, std::min(std::ceil(entitled), used) - team.running);
}

bool SlotShares::MayStart(const TeamId& id, TimePoint now) const {
  if (running_ >= slots()) return false;
  double weights = 0;
  for (const auto& [other, team] : teams_) {
    if (other == id || IsActive(team, now)) weights += team.weight;
  }
  double held = 0;
  for (const auto& [other, team] : teams_) {
    if (other != id) held += HeldFor(team, std::max(weights, 1e-6), now);
  }
  auto it = teams_.find(id);
  const bool has_none = it == teams_.end() || it->second.running == 0;
  return has_none || running_ + held < slots();
}

}  // namespace yuccapick
