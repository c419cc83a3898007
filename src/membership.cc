#include "yuccapick/membership.h"

#include <algorithm>

namespace yuccapick {
namespace {

/// True if anything but the life differs that placement or links act on.
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
    const auto [it, fresh] = entries_.try_emplace(listed.info.id);
    Entry& entry = it->second;
    const UpstreamInfo before = entry.info;
    if (fresh) entry.info = listed.info;
    TakeListed(entry, listed, now);
    Update(entry, fresh || Differs(before, entry.info), now, changed);
  }
  for (auto& [id, entry] : entries_) Update(entry, false, now, changed);
  return changed;
}

void Membership::TakeListed(Entry& entry, const ListedUpstream& listed,
                            TimePoint now) {
  entry.listed = true;
  if (!entry.heard) {
    entry.info.agent_host = listed.info.agent_host;
    entry.info.agent_port = listed.info.agent_port;
    entry.info.services = listed.info.services;
  }
  const bool newly = listed.leaving && !entry.listed_leaving;
  const bool lag_over =
      entry.heard && now - entry.first_report >= options_.list_lag;
  if (listed.leaving && (newly || lag_over)) entry.leaving = true;
  entry.listed_leaving = listed.leaving;
}

void Membership::BeginIncarnation(Entry& entry, const UpstreamInfo& info,
                                  TimePoint now) {
  const bool first_word =
      !entry.heard && entry.info.agent_incarnation.value == 0;
  // Before the first word the list's mark is all there is; it stays.
  if (!first_word) entry.leaving = false;
  entry.info.agent_incarnation = info.agent_incarnation;
  entry.heard = true;
  entry.first_report = now;
}

std::vector<UpstreamInfo> Membership::OnReport(const AgentReport& report,
                                               TimePoint now) {
  std::vector<UpstreamInfo> changed;
  const auto [it, fresh] = entries_.try_emplace(report.upstream.id);
  Entry& entry = it->second;
  const UpstreamInfo before = entry.info;
  if (fresh) {
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
  const UpstreamInfo& word = report.upstream;
  if (word.state >= UpstreamState::kLeaving) entry.leaving = true;
  entry.info.kind = word.kind;
  entry.info.engine_incarnation = word.engine_incarnation;
  entry.info.loaded = word.loaded;
  if (!word.services.empty()) entry.info.services = word.services;
  if (!word.domain.empty()) entry.info.domain = word.domain;
  if (!word.region.empty()) entry.info.region = word.region;
  Update(entry, fresh || Differs(before, entry.info), now, changed);
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
      (!entry.heard || silence >= options_.gone_after)) {
    return UpstreamState::kGone;
  }
  if (entry.leaving) return UpstreamState::kLeaving;
  const bool quiet = !entry.heard || silence >= options_.suspect_after;
  return quiet ? UpstreamState::kSuspect : UpstreamState::kLive;
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
