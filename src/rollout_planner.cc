#include "yuccapick/rollout_planner.h"

#include <algorithm>
#include <cmath>

namespace yuccapick {

std::optional<RolloutPlanner::Outdated> RolloutPlanner::FindOutdatedModel(
    const UpstreamEntry& upstream,
    const std::map<ModelId, WeightVersionNumber>& targets) {
  for (const auto& [model, weights] : upstream.weights) {
    const auto it = targets.find(model);
    if (it != targets.end() && weights < it->second) {
      return Outdated{&upstream, model, it->second, weights, {}, {}};
    }
  }
  return std::nullopt;
}

void RolloutPlanner::EnterStage(Task& task, Stage stage, TimePoint now) {
  task.stage = stage;
  task.stage_since = now;
  task.next_query_at = now;
}

void RolloutPlanner::RemoveFinishedTasks(
    const std::map<ModelId, WeightVersionNumber>& targets,
    const UpstreamRoster& roster) {
  for (auto it = tasks_.begin(); it != tasks_.end();) {
    const UpstreamEntry* upstream = roster.FindUsable(it->first);
    const bool same_incarnation =
        upstream != nullptr && upstream->incarnation == it->second.incarnation;
    if (same_incarnation && FindOutdatedModel(*upstream, targets)) {
      ++it;
    } else {
      it = tasks_.erase(it);
    }
  }
}

std::vector<RolloutPlanner::Outdated> RolloutPlanner::FindOutdated(
    const std::map<ModelId, WeightVersionNumber>& targets,
    const UpstreamRoster& roster, const UpstreamLoad& load,
    TimePoint now) const {
  std::vector<Outdated> outdated;
  for (const UpstreamEntry* upstream : roster.All()) {
    if (upstream->leaving || tasks_.contains(upstream->id)) continue;
    if (excluded_.contains(upstream->id)) continue;
    const auto skipped = skipped_until_.find(upstream->id);
    if (skipped != skipped_until_.end() && now < skipped->second) continue;
    auto found = FindOutdatedModel(*upstream, targets);
    if (!found) continue;
    const auto unanswered = unanswered_orders_.find(upstream->id);
    if (unanswered != unanswered_orders_.end()) {
      found->ordered_at = unanswered->second;
      if (now - unanswered->second < options_.lost_order_timeout) continue;
    }
    found->work = load.Total(upstream->id, now);
    outdated.push_back(*found);
  }
  // Upstreams whose orders may still be carried out last, then oldest weights
  // first; among equals, the upstream with the least KV cache in use first.
  std::stable_sort(outdated.begin(), outdated.end(),
                   [](const Outdated& a, const Outdated& b) {
                     if (a.ordered_at != b.ordered_at) {
                       return a.ordered_at < b.ordered_at;
                     }
                     if (a.held != b.held) return a.held < b.held;
                     return a.work.kv_tokens < b.work.kv_tokens;
                   });
  return outdated;
}

bool RolloutPlanner::CanSendOrder(const UpstreamLoad& load,
                                  TimePoint now) const {
  std::size_t ordered = 0;
  std::size_t loading = 0;
  for (const auto& [upstream, task] : tasks_) {
    const bool has_order =
        task.stage == Stage::kOrdered || task.stage == Stage::kLoading;
    if (!has_order) continue;
    ++ordered;
    // The others finish their requests before they load.
    if (load.Total(upstream, now).requests == 0) ++loading;
  }
  const double max_orders =
      static_cast<double>(max_loading_) * options_.max_order_factor;
  return loading < max_loading_ &&
         ordered < static_cast<std::size_t>(max_orders);
}

void RolloutPlanner::RecordCompletion(const Task& task, TimePoint now) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const auto load = duration_cast<milliseconds>(now - task.stage_since);
  min_load_time_ =
      min_load_time_.count() == 0 ? load : std::min(min_load_time_, load);
  const auto cycle = duration_cast<milliseconds>(now - task.started_at);
  mean_cycle_time_ = mean_cycle_time_.count() == 0
                         ? cycle
                         : (mean_cycle_time_ * 3 + cycle) / 4;
}

std::size_t RolloutPlanner::OutOfServiceLimit(std::size_t outdated,
                                              bool idle) const {
  const std::chrono::duration<double> cycle = mean_cycle_time_.count() == 0
                                                  ? options_.initial_cycle_time
                                                  : mean_cycle_time_;
  const std::chrono::duration<double> time =
      options_.limit * options_.limit_fraction;
  const double needed = static_cast<double>(outdated) * (cycle / time);
  const double max_engines =
      static_cast<double>(engines_) * options_.max_out_of_service_share;
  const std::size_t load_limit = idle ? max_loading_ + 1 : max_loading_;
  return std::max(load_limit, static_cast<std::size_t>(
                                  std::min(std::ceil(needed), max_engines)));
}

bool RolloutPlanner::UpdateLoadLimit(const UpstreamRoster& roster,
                                     const UpstreamLoad& load, TimePoint now) {
  engines_ = 0;
  std::uint64_t tokens = 0;
  for (const UpstreamEntry* upstream : roster.All()) {
    if (upstream->leaving || upstream->weights.empty()) continue;
    ++engines_;
    tokens += load.Total(upstream->id, now).prefill_tokens;
  }
  const double share = static_cast<double>(engines_) * options_.loading_share;
  max_loading_ = std::max(options_.min_loading_limit,
                          static_cast<std::size_t>(std::floor(share)));
  if (!unanswered_orders_.empty()) max_loading_ += options_.catch_up_loads;
  return tokens <= options_.idle_prefill_tokens * engines_;
}

void RolloutPlanner::StartTasks(const std::vector<Outdated>& outdated,
                                std::size_t limit, TimePoint now) {
  for (const Outdated& next : outdated) {
    if (tasks_.size() >= limit) return;
    Task task;
    task.model = next.model;
    task.weights = next.weights;
    task.incarnation = next.upstream->incarnation;
    task.started_at = now;
    task.start_number = ++tasks_started_;
    EnterStage(task, Stage::kDraining, now);
    tasks_.emplace(next.upstream->id, task);
  }
}

RolloutAction RolloutPlanner::QueryStatus(const UpstreamId& upstream,
                                          Task& task, TimePoint now) {
  task.awaiting_answer = true;
  task.next_query_at = now + options_.query_interval;
  return RolloutStatusQuery{upstream};
}

std::optional<RolloutAction> RolloutPlanner::AdvanceDraining(
    const UpstreamId& upstream, Task& task, const UpstreamLoad& load,
    TimePoint now) {
  if (!task.orders_accepted) {
    if (now < task.next_query_at) return std::nullopt;
    return QueryStatus(upstream, task, now);
  }
  const auto age = now - task.stage_since;
  const bool drained = load.Total(upstream, now).requests == 0;
  if (age < options_.announce_delay) return std::nullopt;
  if (!drained && age < options_.drain_timeout) return std::nullopt;
  if (!CanSendOrder(load, now)) return std::nullopt;
  EnterStage(task, Stage::kOrdered, now);
  task.awaiting_answer = true;
  return RolloutOrder{upstream, task.model, task.weights,
                      *task.orders_accepted};
}

std::optional<RolloutAction> RolloutPlanner::Advance(const UpstreamId& upstream,
                                                     Task& task,
                                                     const UpstreamLoad& load,
                                                     TimePoint now) {
  if (task.awaiting_answer) return std::nullopt;
  switch (task.stage) {
    case Stage::kDraining:
      return AdvanceDraining(upstream, task, load, now);
    case Stage::kLoading:
      if (now < task.next_query_at) return std::nullopt;
      return QueryStatus(upstream, task, now);
    case Stage::kPaused:
      if (now - task.stage_since < options_.retry_delay) return std::nullopt;
      task.orders_accepted.reset();
      EnterStage(task, Stage::kDraining, now);
      return QueryStatus(upstream, task, now);
    case Stage::kOrdered:
      return std::nullopt;
  }
  return std::nullopt;
}

std::vector<RolloutPlanner::Tasks::iterator>
RolloutPlanner::TasksInStartOrder() {
  std::vector<Tasks::iterator> order;
  for (auto it = tasks_.begin(); it != tasks_.end(); ++it) order.push_back(it);
  std::stable_sort(order.begin(), order.end(), [](auto a, auto b) {
    return a->second.start_number < b->second.start_number;
  });
  return order;
}

std::vector<RolloutAction> RolloutPlanner::OnTick(
    const std::map<ModelId, WeightVersionNumber>& targets,
    const UpstreamRoster& roster, const UpstreamLoad& load, TimePoint now) {
  RemoveFinishedTasks(targets, roster);
  std::erase_if(unanswered_orders_, [&](const auto& entry) {
    const UpstreamEntry* upstream = roster.FindUsable(entry.first);
    return upstream == nullptr || !FindOutdatedModel(*upstream, targets);
  });
  const bool idle = UpdateLoadLimit(roster, load, now);
  const std::vector<Outdated> outdated =
      FindOutdated(targets, roster, load, now);
  StartTasks(outdated, OutOfServiceLimit(outdated.size() + tasks_.size(), idle),
             now);
  std::vector<RolloutAction> actions;
  for (const auto& it : TasksInStartOrder()) {
    auto& [upstream, task] = *it;
    // A newer target replaces one that has not been ordered yet.
    const auto newest = targets.find(task.model);
    const bool ordered =
        task.stage == Stage::kOrdered || task.stage == Stage::kLoading;
    if (newest != targets.end() && !ordered) task.weights = newest->second;
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
  task.awaiting_answer = false;
  switch (answer) {
    case RolloutOrderResult::kAccepted:
      EnterStage(task, Stage::kLoading, now);
      task.next_query_at =
          now + std::max(options_.first_query_delay,
                         min_load_time_ - options_.query_lead_time);
      return;
    case RolloutOrderResult::kNone:
      task.unanswered_order = true;
      EnterStage(task, Stage::kLoading, now);
      return;
    case RolloutOrderResult::kAlreadyLoaded:
      EnterStage(task, Stage::kLoading, now);
      return;
    case RolloutOrderResult::kConflict:
    case RolloutOrderResult::kRefused:
      EnterStage(task, Stage::kPaused, now);
      return;
  }
}

void RolloutPlanner::OnReport(const UpstreamId& upstream,
                              const std::optional<RolloutReport>& report,
                              TimePoint now) {
  const auto it = tasks_.find(upstream);
  if (it == tasks_.end()) return;
  Task& task = it->second;
  task.awaiting_answer = false;
  if (!report) {
    if (++task.unanswered_queries < options_.max_unanswered_queries) return;
    skipped_until_[upstream] = now + options_.skip_duration;
    tasks_.erase(it);
    return;
  }
  task.unanswered_queries = 0;
  const auto held = report->weights.find(task.model);
  if (held != report->weights.end() && held->second >= task.weights &&
      !report->busy) {
    // The roster is updated later, but the task is finished already.
    if (task.stage == Stage::kLoading) RecordCompletion(task, now);
    tasks_.erase(it);
    return;
  }
  if (task.stage == Stage::kDraining) {
    if (!report->busy) task.orders_accepted = report->orders_accepted;
    return;
  }
  if (task.stage != Stage::kLoading || report->busy) return;
  const bool carried_out = report->orders_accepted != task.orders_accepted;
  const auto age = now - task.stage_since;
  if (task.unanswered_order && !carried_out &&
      age >= options_.unanswered_order_hold) {
    unanswered_orders_[upstream] = task.stage_since;
    tasks_.erase(it);
    return;
  }
  if (carried_out || age >= options_.lost_order_timeout) {
    EnterStage(task, Stage::kPaused, now);
  }
}

void RolloutPlanner::Reset() {
  tasks_.clear();
  skipped_until_.clear();
  unanswered_orders_.clear();
}

std::set<UpstreamId> RolloutPlanner::Loading() const {
  std::set<UpstreamId> loading;
  for (const auto& [upstream, task] : tasks_) loading.insert(upstream);
  return loading;
}

}  // namespace yuccapick
