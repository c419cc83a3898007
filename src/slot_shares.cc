#include "yuccapick/slot_shares.h"

#include <algorithm>
#include <cmath>

namespace yuccapick {
namespace {

constexpr double kDecreaseFactor = 0.85;
constexpr double kIncreaseFactor = 1.25;

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
  team.last_started_at = now;
  if (now - team.peak_since > options_.usage_window / 2) {
    team.previous_peak = team.peak;
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
  if (load.queued > options_.max_engine_queue) {
    slots_ = std::max<double>(options_.min_slots, slots_ * kDecreaseFactor);
  } else if (work_waits) {
    slots_ = std::min<double>(options_.max_slots, slots_ * kIncreaseFactor + 1);
  }
}

bool SlotShares::IsActive(const Team& team, TimePoint now) const {
  const bool used_recently =
      now - team.last_started_at <= options_.usage_window;
  return team.running > 0 || (team.peak > 0 && used_recently);
}

double SlotShares::ReservedFor(const Team& team, double weights,
                               TimePoint now) const {
  if (!IsActive(team, now)) return 0;
  const double entitled =
      slots_ * options_.reserved_share * team.weight / weights;
  const double used = std::max(team.peak, team.previous_peak);
  return std::max(0.0, std::min(std::ceil(entitled), used) - team.running);
}

bool SlotShares::MayStart(const TeamId& id, TimePoint now) const {
  if (running_ >= slots()) return false;
  double weights = 0;
  for (const auto& [other, team] : teams_) {
    if (other == id || IsActive(team, now)) weights += team.weight;
  }
  double blocked = 0;
  for (const auto& [other, team] : teams_) {
    if (other != id) blocked += ReservedFor(team, std::max(weights, 1e-6), now);
  }
  auto it = teams_.find(id);
  const bool has_none = it == teams_.end() || it->second.running == 0;
  return has_none || running_ + blocked < slots();
}

}  // namespace yuccapick
