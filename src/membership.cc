#include "yuccapick/membership.h"

#include <algorithm>

namespace yuccapick {
namespace {

/// True if a field other than the state differs that placement or links use.
bool Differs(const UpstreamInfo& a, const UpstreamInfo& b) {
  return a.agent_host != b.agent_host || a.agent_port != b.agent_port ||
         a.agent_incarnation != b.agent_incarnation ||
         a.engine_incarnation != b.engine_incarnation || a.kind != b.kind ||
         a.services != b.services || a.loaded != b.loaded ||
         a.domain != b.domain || a.region != b.region;
}

}  // namespace

std::vector<UpstreamInfo> Membership::OnList(
    const std::vector<ListedUpstream>& list, TimePoint now) {
  std::vector<UpstreamInfo> changed;
  for (auto& [id, entry] : entries_) {
    if (entry.listed) entry.unlisted_since = now;
    entry.listed = false;
  }
  for (const ListedUpstream& listed : list) {
    const auto [it, inserted] = entries_.try_emplace(listed.info.id);
    Entry& entry = it->second;
    const UpstreamInfo before = entry.info;
    if (inserted) entry.info = listed.info;
    ApplyListed(entry, listed, now);
    Update(entry, inserted || Differs(before, entry.info), now, changed);
  }
  for (auto& [id, entry] : entries_) Update(entry, false, now, changed);
  return changed;
}

void Membership::ApplyListed(Entry& entry, const ListedUpstream& listed,
                             TimePoint now) {
  entry.listed = true;
  if (!entry.has_reported) {
    entry.info.agent_host = listed.info.agent_host;
    entry.info.agent_port = listed.info.agent_port;
    entry.info.services = listed.info.services;
  }
  const bool newly_leaving = listed.leaving && !entry.listed_leaving;
  const bool list_lag_passed =
      entry.has_reported && now - entry.first_report >= options_.list_lag;
  if (listed.leaving && (newly_leaving || list_lag_passed)) {
    entry.leaving = true;
  }
  entry.listed_leaving = listed.leaving;
}

void Membership::BeginIncarnation(Entry& entry, const UpstreamInfo& info,
                                  TimePoint now) {
  const bool first_contact =
      !entry.has_reported && entry.info.agent_incarnation.value == 0;
  // What the list says applies to the first incarnation that reports, since no
  // earlier one is known.
  if (!first_contact) entry.leaving = false;
  entry.info.agent_incarnation = info.agent_incarnation;
  entry.has_reported = true;
  entry.first_report = now;
}

std::vector<UpstreamInfo> Membership::OnReport(const AgentReport& report,
                                               TimePoint now) {
  std::vector<UpstreamInfo> changed;
  const auto [it, inserted] = entries_.try_emplace(report.upstream.id);
  Entry& entry = it->second;
  const UpstreamInfo before = entry.info;
  if (inserted) {
    entry.info = report.upstream;
    entry.info.agent_incarnation = Incarnation();
    entry.unlisted_since = now;
  }
  if (report.upstream.agent_incarnation < entry.info.agent_incarnation) {
    return changed;
  }
  if (report.upstream.agent_incarnation > entry.info.agent_incarnation) {
    BeginIncarnation(entry, report.upstream, now);
  }
  entry.last_report = now;
  const UpstreamInfo& reported = report.upstream;
  if (reported.state >= UpstreamState::kLeaving) entry.leaving = true;
  entry.info.kind = reported.kind;
  entry.info.engine_incarnation = reported.engine_incarnation;
  entry.info.loaded = reported.loaded;
  if (!reported.services.empty()) entry.info.services = reported.services;
  if (!reported.domain.empty()) entry.info.domain = reported.domain;
  if (!reported.region.empty()) entry.info.region = reported.region;
  Update(entry, inserted || Differs(before, entry.info), now, changed);
  return changed;
}

std::vector<UpstreamInfo> Membership::OnTick(TimePoint now) {
  std::vector<UpstreamInfo> changed;
  for (auto it = entries_.begin(); it != entries_.end();) {
    Update(it->second, false, now, changed);
    const bool gone = it->second.info.state == UpstreamState::kGone;
    it = gone ? entries_.erase(it) : std::next(it);
  }
  return changed;
}

UpstreamState Membership::StateOf(const Entry& entry, TimePoint now) const {
  const auto silence = now - entry.last_report;
  if (!entry.listed && now - entry.unlisted_since >= options_.gone_after &&
      (!entry.has_reported || silence >= options_.gone_after)) {
    return UpstreamState::kGone;
  }
  if (entry.leaving) return UpstreamState::kLeaving;
  const bool silent = !entry.has_reported || silence >= options_.suspect_after;
  return silent ? UpstreamState::kSuspect : UpstreamState::kLive;
}

void Membership::Update(Entry& entry, bool other_change, TimePoint now,
                        std::vector<UpstreamInfo>& changed) const {
  const UpstreamState state = StateOf(entry, now);
  if (state == entry.info.state && !other_change) return;
  entry.info.state = state;
  changed.push_back(entry.info);
}

std::vector<UpstreamInfo> Membership::All() const {
  std::vector<UpstreamInfo> all;
  for (const auto& [id, entry] : entries_) all.push_back(entry.info);
  return all;
}

std::size_t Membership::CountLive() const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [](const auto& entry) {
        return entry.second.info.state == UpstreamState::kLive;
      }));
}

}  // namespace yuccapick
