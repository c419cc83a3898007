#include "yuccapick/upstream_roster.h"

#include <algorithm>
#include <utility>

namespace yuccapick {

using Kind = RosterChange::Kind;

std::string_view RosterChangeName(Kind kind) {
  switch (kind) {
    case Kind::kAdded:
      return "added";
    case Kind::kRestarted:
      return "restarted";
    case Kind::kUpdated:
      return "updated";
    case Kind::kLeaving:
      return "leaving";
    case Kind::kUnconfirmed:
      return "unconfirmed";
    case Kind::kUnreadable:
      return "unreadable";
    case Kind::kRemoved:
      return "removed";
  }
  return "unknown";
}

void UpstreamRoster::RememberLeaving(const UpstreamRun& run,
                                     std::optional<TimePoint> seen_at) {
  const LeavingRun* known = leaving_runs_.Find(run.id);
  if (known != nullptr && known->incarnation > run.incarnation) return;
  if (known != nullptr && !seen_at) seen_at = known->seen_at;
  leaving_runs_.Put(run.id, {run.incarnation, seen_at});
}

bool UpstreamRoster::IsLeaving(const UpstreamEntry& listed,
                               TimePoint written_after) const {
  if (listed.leaving) return true;
  const LeavingRun* seen = leaving_runs_.Find(listed.id);
  if (seen == nullptr) return false;
  if (seen->incarnation >= listed.incarnation) return true;
  const auto it = members_.find(listed.id);
  const bool known = it != members_.end() &&
                     it->second.entry.incarnation == listed.incarnation;
  return !known && seen->seen_at && written_after < *seen->seen_at;
}

void UpstreamRoster::RememberRemoved(const UpstreamRun& run) {
  const Incarnation* known = removed_runs_.Find(run.id);
  if (known != nullptr && *known >= run.incarnation) return;
  removed_runs_.Put(run.id, run.incarnation);
}

bool UpstreamRoster::MayHaveExpired(TimePoint now) const {
  if (reregistration_until_ && now < *reregistration_until_) return true;
  return outage_since_ && now - *outage_since_ >= options_.min_outage;
}

bool UpstreamRoster::AwaitsRegistrations(TimePoint now) const {
  return outage_since_ ||
         (reregistration_until_ && now < *reregistration_until_);
}

TimePoint UpstreamRoster::UnconfirmedUntil(TimePoint now) const {
  const bool answers = !outage_since_ && reregistration_until_;
  const TimePoint registered =
      answers ? *reregistration_until_ : now + options_.reregistration_time;
  const TimePoint drained = std::max(listed_at_ + options_.drain_timeout,
                                     unavailable_at_ + options_.contact_time);
  return std::min(registered, drained - options_.delivery_time);
}

std::set<ServiceId> UpstreamRoster::MostlyUnconfirmedServices() const {
  std::map<ServiceId, int> surplus;
  for (const auto& [id, member] : members_) {
    if (!member.IsUsable()) continue;
    surplus[member.entry.service] += member.unconfirmed_until ? 1 : -1;
  }
  std::set<ServiceId> services;
  for (const auto& [service, n] : surplus) {
    if (n > 0) services.insert(service);
  }
  return services;
}

void UpstreamRoster::OnListCurrent(TimePoint at) {
  listed_at_ = std::max(listed_at_, at);
}

void UpstreamRoster::OnListRestored(TimePoint now) {
  reregistration_until_ = now + options_.reregistration_time;
  // The list was away between its last answer and now.
  const bool known = listed_at_ != TimePoint();
  unavailable_at_ = std::max(unavailable_at_, known ? listed_at_ : now);
}

std::optional<RosterChange> UpstreamRoster::OnRestoredEntry(
    const UpstreamEntry& listed, TimePoint now) {
  const Incarnation* removed = removed_runs_.Find(listed.id);
  if (removed != nullptr && *removed >= listed.incarnation) {
    return std::nullopt;
  }
  const auto it = members_.find(listed.id);
  const bool known = it != members_.end();
  if (known && it->second.entry.incarnation > listed.incarnation) {
    return OnRemoved(listed.id, now);
  }
  return OnEntry(listed, TimePoint::min());
}

std::optional<RosterChange> UpstreamRoster::OnLeavingSeen(
    const UpstreamRun& run, TimePoint seen_at) {
  const LeavingRun* seen = leaving_runs_.Find(run.id);
  if (seen != nullptr && seen->incarnation > run.incarnation) {
    return std::nullopt;
  }
  RememberLeaving(run, seen_at);
  const auto it = members_.find(run.id);
  if (it == members_.end()) return std::nullopt;
  UpstreamEntry& entry = it->second.entry;
  if (entry.incarnation != run.incarnation || entry.leaving) {
    return std::nullopt;
  }
  entry.leaving = true;
  return RosterChange{Kind::kLeaving, run.id};
}

std::optional<RosterChange> UpstreamRoster::OnEntry(const UpstreamEntry& listed,
                                                    TimePoint written_after) {
  UpstreamEntry entry = listed;
  entry.leaving = IsLeaving(listed, written_after);
  if (entry.leaving) {
    RememberLeaving({entry.id, entry.incarnation}, std::nullopt);
  }
  removed_runs_.Erase(entry.id);
  const auto it = members_.find(entry.id);
  if (it == members_.end()) {
    members_.emplace(entry.id, Member{entry, std::nullopt, false});
    const Kind kind = entry.leaving ? Kind::kLeaving : Kind::kAdded;
    return RosterChange{kind, entry.id};
  }
  Member& member = it->second;
  const bool was_unsure =
      member.unconfirmed_until.has_value() || member.unreadable;
  member.unconfirmed_until.reset();
  member.unreadable = false;
  const UpstreamEntry before = std::exchange(member.entry, entry);
  if (before.incarnation != entry.incarnation) {
    return RosterChange{Kind::kRestarted, entry.id};
  }
  member.entry.leaving |= before.leaving;
  // Within one incarnation weight versions only rise, but the entry may lag
  // behind what the upstream reported itself.
  for (const auto& [model, weights] : before.weights) {
    const auto held = member.entry.weights.find(model);
    if (held == member.entry.weights.end()) continue;
    held->second = std::max(held->second, weights);
  }
  if (member.entry.leaving && !before.leaving) {
    return RosterChange{Kind::kLeaving, entry.id};
  }
  if (before == member.entry && !was_unsure) return std::nullopt;
  return RosterChange{Kind::kUpdated, entry.id};
}

std::optional<RosterChange> UpstreamRoster::OnRemoved(const UpstreamId& id,
                                                      TimePoint now) {
  const auto it = members_.find(id);
  if (it == members_.end()) return std::nullopt;
  Member& member = it->second;
  if (MayHaveExpired(now) && !member.entry.leaving) {
    if (member.unconfirmed_until) return std::nullopt;
    member.unconfirmed_until = UnconfirmedUntil(now);
    return RosterChange{Kind::kUnconfirmed, id, *member.unconfirmed_until};
  }
  RememberRemoved({id, member.entry.incarnation});
  members_.erase(it);
  return RosterChange{Kind::kRemoved, id};
}

std::optional<RosterChange> UpstreamRoster::OnUnreadable(const UpstreamId& id) {
  const auto it = members_.find(id);
  if (it == members_.end() || it->second.unreadable) return std::nullopt;
  it->second.unreadable = true;
  return RosterChange{Kind::kUnreadable, id};
}

bool UpstreamRoster::OnWeightsSeen(const UpstreamId& id, const ModelId& model,
                                   WeightVersionNumber weights) {
  const auto it = members_.find(id);
  if (it == members_.end()) return false;
  const auto held = it->second.entry.weights.find(model);
  if (held == it->second.entry.weights.end()) return false;
  if (held->second >= weights) return false;
  held->second = weights;
  return true;
}

void UpstreamRoster::OnListUnavailable(TimePoint now, TimePoint sent_at) {
  unavailable_at_ = std::max(unavailable_at_, sent_at);
  if (!outage_since_) outage_since_ = now;
}

void UpstreamRoster::OnListAvailable(TimePoint now) {
  if (!outage_since_) return;
  if (now - *outage_since_ >= options_.min_outage) {
    reregistration_until_ = now + options_.reregistration_time;
  }
  outage_since_.reset();
}

std::vector<RosterChange> UpstreamRoster::OnTick(TimePoint now) {
  std::vector<RosterChange> changes;
  std::set<ServiceId> kept;
  if (AwaitsRegistrations(now)) kept = MostlyUnconfirmedServices();
  for (auto it = members_.begin(); it != members_.end();) {
    const auto& until = it->second.unconfirmed_until;
    const bool due = until && now >= *until;
    if (!due || kept.contains(it->second.entry.service)) {
      ++it;
      continue;
    }
    changes.push_back({Kind::kRemoved, it->first});
    RememberRemoved({it->first, it->second.entry.incarnation});
    it = members_.erase(it);
  }
  return changes;
}

const UpstreamEntry* UpstreamRoster::FindUsable(const UpstreamId& id) const {
  const auto it = members_.find(id);
  const bool usable = it != members_.end() && it->second.IsUsable();
  return usable ? &it->second.entry : nullptr;
}

const UpstreamEntry* UpstreamRoster::Find(const UpstreamId& id) const {
  const auto it = members_.find(id);
  return it == members_.end() ? nullptr : &it->second.entry;
}

std::vector<const UpstreamEntry*> UpstreamRoster::Usable(
    const ServiceId& service) const {
  std::vector<const UpstreamEntry*> usable;
  for (const auto& [id, member] : members_) {
    if (!member.IsUsable() || member.entry.service != service) continue;
    usable.push_back(&member.entry);
  }
  return usable;
}

std::vector<const UpstreamEntry*> UpstreamRoster::All() const {
  std::vector<const UpstreamEntry*> all;
  for (const auto& [id, member] : members_) all.push_back(&member.entry);
  return all;
}

}  // namespace yuccapick
