#include "yuccapick/stream_origins.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace yuccapick {

StreamId StreamIdOf(std::string_view attempt_id) {
  return StreamId(XXH3_64bits(attempt_id.data(), attempt_id.size()));
}

StreamOrigins::GroupIndex StreamOrigins::IndexOf(const SoftwareGroup& group) {
  const auto it = std::find(groups_.begin(), groups_.end(), group);
  const auto index = static_cast<GroupIndex>(it - groups_.begin());
  if (it == groups_.end()) groups_.push_back(group);
  return index;
}

void StreamOrigins::Expire(TimePoint now) {
  if (now - current_since_ < options_.lifetime) return;
  current_since_ = now;
  previous_ = std::exchange(current_, Streams());
  std::erase_if(unreported_, [&](const Unreported& it) {
    return now - it.began_at >= options_.lifetime;
  });
  std::erase_if(listed_at_, [&](const auto& it) {
    return now - it.second >= options_.lifetime * 2;
  });
}

void StreamOrigins::Add(StreamId stream, GroupIndex group, TimePoint now) {
  Expire(now);
  current_.try_emplace(stream.value, group);
}

void StreamOrigins::OnStreamTimeLimit(std::chrono::milliseconds limit) {
  options_.lifetime = std::max(options_.lifetime, limit);
}

void StreamOrigins::OnListed(const SoftwareGroup& group, TimePoint now) {
  if (!listening_since_) listening_since_ = now;
  listed_at_[group] = now;
}

void StreamOrigins::OnHistory(const std::vector<SoftwareGroup>& recorded,
                              TimePoint now) {
  for (const SoftwareGroup& group : recorded) OnListed(group, now);
  history_known_ = true;
}

void StreamOrigins::OnGap(TimePoint now) {
  history_known_ = false;
  listening_since_ = now;
}

bool StreamOrigins::KnowsHistory(TimePoint now) const {
  if (history_known_) return true;
  return listening_since_ && now - *listening_since_ >= options_.lifetime;
}

std::vector<SoftwareGroup> StreamOrigins::Listed(TimePoint now) const {
  std::vector<SoftwareGroup> listed;
  for (const auto& [group, listed_at] : listed_at_) {
    if (now - listed_at < options_.lifetime) listed.push_back(group);
  }
  return listed;
}

void StreamOrigins::OnBegan(StreamId stream, const SoftwareGroup& group,
                            bool split, TimePoint now) {
  OnListed(group, now);
  const GroupIndex index = IndexOf(group);
  Add(stream, index, now);
  unreported_.push_back({stream, index, split, now});
}

void StreamOrigins::OnPeerReport(const StreamOriginReport& report,
                                 TimePoint now) {
  // A peer may know of a version before this process does.
  OnListed(report.group, now);
  OnSaved(report, now);
}

void StreamOrigins::OnSaved(const StreamOriginReport& report, TimePoint now) {
  const GroupIndex index = IndexOf(report.group);
  for (const StreamId stream : report.streams) Add(stream, index, now);
}

std::vector<StreamOriginReport> StreamOrigins::TakeUnreported(std::size_t limit,
                                                              TimePoint now) {
  std::vector<bool> mixed;
  for (const SoftwareGroup& group : groups_) {
    mixed.push_back(IsMixed(group.service, now));
  }
  std::map<GroupIndex, std::vector<StreamId>> taken;
  std::size_t n = 0;
  std::erase_if(unreported_, [&](const Unreported& it) {
    if (n == limit || (!it.split && !mixed[it.group])) return false;
    taken[it.group].push_back(it.stream);
    ++n;
    return true;
  });
  std::vector<StreamOriginReport> reports;
  for (auto& [index, streams] : taken) {
    reports.push_back({groups_[index], std::move(streams)});
  }
  return reports;
}

std::vector<SoftwareGroup> StreamOrigins::ListedOf(const ServiceId& service,
                                                   TimePoint now) const {
  std::vector<SoftwareGroup> listed = Listed(now);
  std::erase_if(listed, [&service](const SoftwareGroup& it) {
    return it.service != service;
  });
  return listed;
}

bool StreamOrigins::IsMixed(const ServiceId& service, TimePoint now) const {
  return ListedOf(service, now).size() > 1;
}

std::optional<SoftwareGroup> StreamOrigins::Find(StreamId stream) const {
  for (const Streams* streams : {&current_, &previous_}) {
    const auto it = streams->find(stream.value);
    if (it != streams->end()) return groups_[it->second];
  }
  return std::nullopt;
}

}  // namespace yuccapick
