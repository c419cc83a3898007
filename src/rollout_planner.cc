#include "yuccapick/rollout_planner.h"

#include <algorithm>
#include <cmath>

namespace yuccapick {

std::optional<RolloutPlanner::Outdated> RolloutPlanner::OutdatedModel(
    const UpstreamEntry& upstream,
    const std::map<ModelId, WeightNumber>& named) {
  for (const auto& [model, weights] : upstream.weights) {
    const auto it = named.find(model);
    if (it != named.end() && weights < it->second) {
      return Outdated{
          &upstream, model, it->second, weights, upstream.orders_accepted, {}};
    }
  }
  return std::nullopt;
}

void RolloutPlanner::Enter(Task& task, Stage stage, TimePoint now) {
  task.stage = stage;
  task.since = now;
  task.next_question = now;
}

void RolloutPlanner::DropFinished(const std::map<ModelId, WeightNumber>& named,
                                  const UpstreamRoster& roster) {
  for (auto it = tasks_.begin(); it != tasks_.end();) {
    const UpstreamEntry* upstream = roster.FindUsable(it->first);
    const bool same_life =
        upstream != nullptr && upstream->life == it->second.life;
    if (same_life && OutdatedModel(*upstream, named)) {
      ++it;
    } else {
      it = tasks_.erase(it);
    }
  }
}

std::vector<RolloutPlanner::Outdated> RolloutPlanner::Outstanding(
    const std::map<ModelId, WeightNumber>& named, const UpstreamRoster& roster,
    const UpstreamLoad& load, TimePoint now) const {
  std::vector<Outdated> outdated;
  for (const UpstreamEntry* upstream : roster.All()) {
    if (upstream->leaving || tasks_.contains(upstream->id)) continue;
    const auto aside = aside_until_.find(upstream->id);
    if (aside != aside_until_.end() && now < aside->second) continue;
    auto found = OutdatedModel(*upstream, named);
    if (!found) continue;
    found->work = load.Total(upstream->id, now);
    outdated.push_back(*found);
  }
  // The oldest weights are due first; then those with the least to lose.
  std::stable_sort(outdated.begin(), outdated.end(),
                   [](const Outdated& a, const Outdated& b) {
                     if (a.held != b.held) return a.held < b.held;
                     return a.work.kv_tokens < b.work.kv_tokens;
                   });
  return outdated;
}

std::size_t RolloutPlanner::Ordered() const {
  return static_cast<std::size_t>(
      std::count_if(tasks_.begin(), tasks_.end(), [](const auto& entry) {
        const Stage stage = entry.second.stage;
        return stage == Stage::kOrdered || stage == Stage::kLoading;
      }));
}

std::size_t RolloutPlanner::EndingSoon(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      tasks_.begin(), tasks_.end(), [this, now](const auto& entry) {
        const Task& task = entry.second;
        return task.stage == Stage::kLoading &&
               now - task.since >= load_time_ - options_.prepare_ahead;
      }));
}

void RolloutPlanner::NoteLoadTime(std::chrono::steady_clock::duration elapsed) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(elapsed);
  load_time_ = load_time_.count() == 0 ? ms : std::min(load_time_, ms);
}

bool RolloutPlanner::Survey(const UpstreamRoster& roster,
                            const UpstreamLoad& load, TimePoint now) {
  std::size_t engines = 0;
  std::uint64_t tokens = 0;
  for (const UpstreamEntry* upstream : roster.All()) {
    if (upstream->leaving || upstream->weights.empty()) continue;
    ++engines;
    tokens += load.Total(upstream->id, now).prefill_tokens;
  }
  const double share = static_cast<double>(engines) * options_.share_at_once;
  at_once_ = std::max(options_.min_at_once,
                      static_cast<std::size_t>(std::floor(share)));
  return tokens > options_.busy_prefill_tokens * engines;
}

void RolloutPlanner::Begin(const std::vector<Outdated>& outdated, bool busy,
                           TimePoint now) {
  std::size_t prepared = EndingSoon(now);
  if (busy) prepared = std::min(prepared, options_.busy_prepared);
  const std::size_t limit = at_once_ + prepared;
  for (const Outdated& next : outdated) {
    if (tasks_.size() >= limit) return;
    Task task;
    task.model = next.model;
    task.weights = next.weights;
    task.life = next.upstream->life;
    task.orders_accepted = next.orders_accepted;
    Enter(task, Stage::kAnnounced, now);
    tasks_.emplace(next.upstream->id, task);
  }
}

RolloutAction RolloutPlanner::Ask(const UpstreamId& upstream, Task& task,
                                  TimePoint now) {
  task.waiting = true;
  task.next_question = now + options_.question_every;
  return RolloutQuestion{upstream};
}

std::optional<RolloutAction> RolloutPlanner::Advance(const UpstreamId& upstream,
                                                     Task& task,
                                                     TimePoint now) {
  if (task.waiting) return std::nullopt;
  switch (task.stage) {
    case Stage::kAnnounced:
      if (now - task.since < options_.announce) return std::nullopt;
      Enter(task, Stage::kAsking, now);
      return Advance(upstream, task, now);
    case Stage::kAsking:
      if (!task.orders_accepted) {
        if (now < task.next_question) return std::nullopt;
        return Ask(upstream, task, now);
      }
      if (Ordered() >= at_once_) return std::nullopt;
      Enter(task, Stage::kOrdered, now);
      task.waiting = true;
      return RolloutOrder{upstream, task.model, task.weights,
                          *task.orders_accepted};
    case Stage::kLoading:
      if (now < task.next_question) return std::nullopt;
      return Ask(upstream, task, now);
    case Stage::kPaused:
      if (now - task.since < options_.retry_pause) return std::nullopt;
      task.orders_accepted.reset();
      Enter(task, Stage::kAsking, now);
      return Ask(upstream, task, now);
    case Stage::kOrdered:
      return std::nullopt;
  }
  return std::nullopt;
}

std::vector<RolloutAction> RolloutPlanner::OnTick(
    const std::map<ModelId, WeightNumber>& named, const UpstreamRoster& roster,
    const UpstreamLoad& load, TimePoint now) {
  DropFinished(named, roster);
  const bool busy = Survey(roster, load, now);
  Begin(Outstanding(named, roster, load, now), busy, now);
  std::vector<RolloutAction> actions;
  for (auto& [upstream, task] : tasks_) {
    // Weights named meanwhile replace those not ordered yet.
    const auto newest = named.find(task.model);
    const bool ordered =
        task.stage == Stage::kOrdered || task.stage == Stage::kLoading;
    if (newest != named.end() && !ordered) task.weights = newest->second;
    if (auto action = Advance(upstream, task, now)) {
      actions.push_back(std::move(*action));
    }
  }
  return actions;
}

void RolloutPlanner::OnOrderAnswer(const UpstreamId& upstream,
                                   OrderAnswer answer, TimePoint now) {
  const auto it = tasks_.find(upstream);
  if (it == tasks_.end() || it->second.stage != Stage::kOrdered) return;
  Task& task = it->second;
  task.waiting = false;
  switch (answer) {
    case OrderAnswer::kAccepted:
      Enter(task, Stage::kLoading, now);
      task.next_question = now + std::max(options_.first_question,
                                          load_time_ - options_.question_ahead);
      return;
    case OrderAnswer::kAlreadyHolds:
    case OrderAnswer::kNone:
      Enter(task, Stage::kLoading, now);
      return;
    case OrderAnswer::kConflict:
    case OrderAnswer::kRefused:
      Enter(task, Stage::kPaused, now);
      return;
  }
}

void RolloutPlanner::OnReport(const UpstreamId& upstream,
                              const std::optional<RolloutReport>& report,
                              TimePoint now) {
  const auto it = tasks_.find(upstream);
  if (it == tasks_.end()) return;
  Task& task = it->second;
  task.waiting = false;
  if (!report) {
    if (++task.unanswered < options_.max_unanswered) return;
    aside_until_[upstream] = now + options_.aside;
    tasks_.erase(it);
    return;
  }
  task.unanswered = 0;
  const auto held = report->weights.find(task.model);
  if (held != report->weights.end() && held->second >= task.weights &&
      !report->busy) {
    // Its entry in the list follows; until then it is no task any more.
    if (task.stage == Stage::kLoading) NoteLoadTime(now - task.since);
    tasks_.erase(it);
    return;
  }
  if (task.stage == Stage::kAsking) {
    if (!report->busy) task.orders_accepted = report->orders_accepted;
    return;
  }
  if (task.stage != Stage::kLoading || report->busy) return;
  const bool carried_out = report->orders_accepted != task.orders_accepted;
  if (carried_out || now - task.since >= options_.lost_after) {
    Enter(task, Stage::kPaused, now);
  }
}

void RolloutPlanner::Reset() {
  tasks_.clear();
  aside_until_.clear();
}

std::set<UpstreamId> RolloutPlanner::Loading() const {
  std::set<UpstreamId> loading;
  for (const auto& [upstream, task] : tasks_) loading.insert(upstream);
  return loading;
}

}  // namespace yuccapick
