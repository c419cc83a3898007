#include "yuccapick/rollout_planner.h"

#include <algorithm>
#include <cmath>

namespace yuccapick {

std::optional<RolloutPlanner::Outdated> RolloutPlanner::OutdatedModel(
    const UpstreamEntry& upstream,
    const std::map<ModelId, WeightVersionNumber>& named) {
  for (const auto& [model, weights] : upstream.weights) {
    const auto it = named.find(model);
    if (it != named.end() && weights < it->second) {
      return Outdated{&upstream, model, it->second, weights, {}};
    }
  }
  return std::nullopt;
}

void RolloutPlanner::Enter(Task& task, Stage stage, TimePoint now) {
  task.stage = stage;
  task.since = now;
  task.next_question = now;
}

void RolloutPlanner::DropFinished(
    const std::map<ModelId, WeightVersionNumber>& named,
    const UpstreamRoster& roster) {
  for (auto it = tasks_.begin(); it != tasks_.end();) {
    const UpstreamEntry* upstream = roster.FindUsable(it->first);
    const bool same_life =
        upstream != nullptr && upstream->incarnation == it->second.incarnation;
    if (same_life && OutdatedModel(*upstream, named)) {
      ++it;
    } else {
      it = tasks_.erase(it);
    }
  }
}

std::vector<RolloutPlanner::Outdated> RolloutPlanner::Outstanding(
    const std::map<ModelId, WeightVersionNumber>& named,
    const UpstreamRoster& roster, const UpstreamLoad& load,
    TimePoint now) const {
  std::vector<Outdated> outdated;
  for (const UpstreamEntry* upstream : roster.All()) {
    if (upstream->leaving || tasks_.contains(upstream->id)) continue;
    if (held_back_.contains(upstream->id)) continue;
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

bool RolloutPlanner::MayOrderMore(const UpstreamLoad& load,
                                  TimePoint now) const {
  std::size_t ordered = 0;
  std::size_t loading = 0;
  for (const auto& [upstream, task] : tasks_) {
    const bool has_order =
        task.stage == Stage::kOrdered || task.stage == Stage::kLoading;
    if (!has_order) continue;
    ++ordered;
    // The others end their requests first.
    if (load.Total(upstream, now).requests == 0) ++loading;
  }
  const double most = static_cast<double>(at_once_) * options_.max_ordered;
  return loading < at_once_ && ordered < static_cast<std::size_t>(most);
}

void RolloutPlanner::NoteDone(const Task& task, TimePoint now) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const auto load = duration_cast<milliseconds>(now - task.since);
  load_time_ = load_time_.count() == 0 ? load : std::min(load_time_, load);
  const auto cycle = duration_cast<milliseconds>(now - task.begun);
  cycle_ = cycle_.count() == 0 ? cycle : (cycle_ * 3 + cycle) / 4;
}

std::size_t RolloutPlanner::OutOfServiceLimit(std::size_t outdated,
                                              bool idle) const {
  const std::chrono::duration<double> cycle =
      cycle_.count() == 0 ? options_.first_cycle : cycle_;
  const std::chrono::duration<double> time =
      options_.limit * options_.limit_use;
  const double needed = static_cast<double>(outdated) * (cycle / time);
  const double most =
      static_cast<double>(engines_) * options_.max_out_of_service;
  const std::size_t room = idle ? at_once_ + 1 : at_once_;
  return std::max(room,
                  static_cast<std::size_t>(std::min(std::ceil(needed), most)));
}

bool RolloutPlanner::Survey(const UpstreamRoster& roster,
                            const UpstreamLoad& load, TimePoint now) {
  engines_ = 0;
  std::uint64_t tokens = 0;
  for (const UpstreamEntry* upstream : roster.All()) {
    if (upstream->leaving || upstream->weights.empty()) continue;
    ++engines_;
    tokens += load.Total(upstream->id, now).prefill_tokens;
  }
  const double share = static_cast<double>(engines_) * options_.share_at_once;
  at_once_ = std::max(options_.min_at_once,
                      static_cast<std::size_t>(std::floor(share)));
  return tokens <= options_.idle_prefill_tokens * engines_;
}

void RolloutPlanner::Begin(const std::vector<Outdated>& outdated,
                           std::size_t limit, TimePoint now) {
  for (const Outdated& next : outdated) {
    if (tasks_.size() >= limit) return;
    Task task;
    task.model = next.model;
    task.weights = next.weights;
    task.incarnation = next.upstream->incarnation;
    task.begun = now;
    task.number = ++tasks_begun_;
    Enter(task, Stage::kDraining, now);
    tasks_.emplace(next.upstream->id, task);
  }
}

RolloutAction RolloutPlanner::Ask(const UpstreamId& upstream, Task& task,
                                  TimePoint now) {
  task.waiting = true;
  task.next_question = now + options_.question_every;
  return RolloutStatusQuery{upstream};
}

std::optional<RolloutAction> RolloutPlanner::AdvanceDraining(
    const UpstreamId& upstream, Task& task, const UpstreamLoad& load,
    TimePoint now) {
  if (!task.orders_accepted) {
    if (now < task.next_question) return std::nullopt;
    return Ask(upstream, task, now);
  }
  const auto age = now - task.since;
  const bool drained = load.Total(upstream, now).requests == 0;
  if (age < options_.announce) return std::nullopt;
  if (!drained && age < options_.drain) return std::nullopt;
  if (!MayOrderMore(load, now)) return std::nullopt;
  Enter(task, Stage::kOrdered, now);
  task.waiting = true;
  return RolloutOrder{upstream, task.model, task.weights,
                      *task.orders_accepted};
}

std::optional<RolloutAction> RolloutPlanner::Advance(const UpstreamId& upstream,
                                                     Task& task,
                                                     const UpstreamLoad& load,
                                                     TimePoint now) {
  if (task.waiting) return std::nullopt;
  switch (task.stage) {
    case Stage::kDraining:
      return AdvanceDraining(upstream, task, load, now);
    case Stage::kLoading:
      if (now < task.next_question) return std::nullopt;
      return Ask(upstream, task, now);
    case Stage::kPaused:
      if (now - task.since < options_.retry_pause) return std::nullopt;
      task.orders_accepted.reset();
      Enter(task, Stage::kDraining, now);
      return Ask(upstream, task, now);
    case Stage::kOrdered:
      return std::nullopt;
  }
  return std::nullopt;
}

std::vector<RolloutPlanner::Tasks::iterator>
RolloutPlanner::InOrderOfBeginning() {
  std::vector<Tasks::iterator> order;
  for (auto it = tasks_.begin(); it != tasks_.end(); ++it) order.push_back(it);
  std::stable_sort(order.begin(), order.end(), [](auto a, auto b) {
    return a->second.number < b->second.number;
  });
  return order;
}

std::vector<RolloutAction> RolloutPlanner::OnTick(
    const std::map<ModelId, WeightVersionNumber>& named,
    const UpstreamRoster& roster, const UpstreamLoad& load, TimePoint now) {
  DropFinished(named, roster);
  const bool idle = Survey(roster, load, now);
  const std::vector<Outdated> outdated = Outstanding(named, roster, load, now);
  Begin(outdated, OutOfServiceLimit(outdated.size() + tasks_.size(), idle),
        now);
  std::vector<RolloutAction> actions;
  for (const auto& it : InOrderOfBeginning()) {
    auto& [upstream, task] = *it;
    // Weights named meanwhile replace those not ordered yet.
    const auto newest = named.find(task.model);
    const bool ordered =
        task.stage == Stage::kOrdered || task.stage == Stage::kLoading;
    if (newest != named.end() && !ordered) task.weights = newest->second;
    if (auto action = Advance(upstream, task, load, now)) {
      actions.push_back(std::move(*action));
    }
  }
  return actions;
}

void RolloutPlanner::OnRolloutOrderResult(const UpstreamId& upstream,
                                          RolloutOrderResult answer,
                                          TimePoint now) {
  const auto it = tasks_.find(upstream);
  if (it == tasks_.end() || it->second.stage != Stage::kOrdered) return;
  Task& task = it->second;
  task.waiting = false;
  switch (answer) {
    case RolloutOrderResult::kAccepted:
      Enter(task, Stage::kLoading, now);
      task.next_question = now + std::max(options_.first_question,
                                          load_time_ - options_.question_ahead);
      return;
    case RolloutOrderResult::kAlreadyLoaded:
    case RolloutOrderResult::kNone:
      Enter(task, Stage::kLoading, now);
      return;
    case RolloutOrderResult::kConflict:
    case RolloutOrderResult::kRefused:
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
    if (task.stage == Stage::kLoading) NoteDone(task, now);
    tasks_.erase(it);
    return;
  }
  if (task.stage == Stage::kDraining) {
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
