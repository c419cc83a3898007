#include "yuccapick/fair_queue.h"

#include <algorithm>
#include <utility>

namespace yuccapick {

void FairQueue::PriorityClass::Push(QueuedWork work) {
  Team& team = teams_[work.team];
  if (team.work.empty()) team.start = std::max(team.start, virtual_time_);
  team.work.push_back(std::move(work));
}

QueuedWork FairQueue::PriorityClass::TakeFrom(const TeamId& id) {
  Team& team = teams_.at(id);
  QueuedWork work = std::move(team.work.front());
  team.work.pop_front();
  virtual_time_ = std::max(virtual_time_, team.start);
  team.start += work.cost / std::max(work.weight, 1e-6);
  return work;
}

std::size_t FairQueue::PriorityClass::SizeOf(const TeamId& id) const {
  auto it = teams_.find(id);
  return it == teams_.end() ? 0 : it->second.work.size();
}

FairQueue::PushResult FairQueue::Push(QueuedWork work) {
  if (size_ >= options_.max_total) return PushResult::kFull;
  if (SizeOf(work.team) >= options_.max_per_team) return PushResult::kTeamFull;
  ++size_;
  (work.urgent ? urgent_ : normal_).Push(std::move(work));
  return PushResult::kQueued;
}

bool FairQueue::Remove(const AttemptId& attempt) {
  const auto removed =
      RemoveIf([&](const QueuedWork& work) { return work.attempt == attempt; });
  return !removed.empty();
}

std::vector<QueuedWork> FairQueue::TakeExpired(TimePoint now) {
  return RemoveIf(
      [now](const QueuedWork& work) { return work.deadline <= now; });
}

std::vector<QueuedWork> FairQueue::TakeAll() {
  return RemoveIf([](const QueuedWork&) { return true; });
}

std::size_t FairQueue::SizeOf(const TeamId& team) const {
  return urgent_.SizeOf(team) + normal_.SizeOf(team);
}

}  // namespace yuccapick
