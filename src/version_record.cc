#include "yuccapick/version_record.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace yuccapick {

using std::chrono::milliseconds;

void VersionRecord::OnRead(const std::vector<RecordedVersion>& rows,
                           std::optional<StoreTime> history_lost_until) {
  rows_.clear();
  for (const RecordedVersion& row : rows) rows_[row.group] = row;
  history_lost_until_ = history_lost_until;
}

void VersionRecord::OnNewGeneration(std::optional<StoreTime> answered_at) {
  for (auto it = rows_.begin(); it != rows_.end();) {
    if (!Outlasts(it->first, answered_at)) {
      it = rows_.erase(it);
      continue;
    }
    if (!history_lost_until_) it->second.survived_returns = true;
    ++it;
  }
  // Until the record is read again.
  history_lost_until_ = StoreTime::max();
}

std::optional<StoreTime> VersionRecord::SinceOf(
    const SoftwareGroup& group) const {
  const auto it = rows_.find(group);
  return it == rows_.end() ? std::nullopt : it->second.since;
}

bool VersionRecord::SurvivedReturns(const SoftwareGroup& group) const {
  const auto it = rows_.find(group);
  return it != rows_.end() && it->second.survived_returns;
}

bool VersionRecord::IsTimed(const SoftwareGroup& group) const {
  return SinceOf(group).has_value();
}

std::optional<milliseconds> VersionRecord::AgeOf(
    const SoftwareGroup& group, std::optional<StoreTime> at) const {
  const std::optional<StoreTime> since = SinceOf(group);
  if (!since || !at) return std::nullopt;
  return *at - *since;
}

bool VersionRecord::Outlasts(const SoftwareGroup& group,
                             std::optional<StoreTime> answered_at) const {
  const std::optional<milliseconds> age = AgeOf(group, answered_at);
  return age && *age >= options_.max_copy_age;
}

std::vector<SoftwareGroup> VersionRecord::Starters(
    const std::vector<ServingVersion>& serving,
    std::optional<StoreTime> answered_at) const {
  std::vector<SoftwareGroup> starters;
  for (const ServingVersion& it : serving) {
    if (Outlasts(it.group, answered_at)) starters.push_back(it.group);
  }
  if (!starters.empty()) return starters;
  // Without a known row, the version that was started first is the oldest.
  const auto age_order = [this](const ServingVersion& it) {
    const std::optional<StoreTime> since = SinceOf(it.group);
    return std::tuple(!since.has_value(), since.value_or(StoreTime()),
                      since ? Incarnation() : it.oldest);
  };
  const auto oldest =
      std::min_element(serving.begin(), serving.end(),
                       [&](const ServingVersion& a, const ServingVersion& b) {
                         return age_order(a) < age_order(b);
                       });
  for (const ServingVersion& it : serving) {
    if (age_order(it) == age_order(*oldest)) starters.push_back(it.group);
  }
  return starters;
}

std::vector<SoftwareGroup> VersionRecord::PossibleOrigins(
    const std::vector<SoftwareGroup>& listed,
    std::optional<StoreTime> answered_at) const {
  const auto has_older = [&](StoreTime since) {
    return std::any_of(
        listed.begin(), listed.end(), [&](const SoftwareGroup& other) {
          const auto others_since = SinceOf(other);
          return others_since &&
                 *others_since + options_.recording_time <= since;
        });
  };
  std::vector<SoftwareGroup> possible;
  for (const SoftwareGroup& it : listed) {
    const std::optional<StoreTime> since = SinceOf(it);
    const bool unused =
        since && !Outlasts(it, answered_at) && has_older(*since);
    if (!unused) possible.push_back(it);
  }
  return possible;
}

std::optional<SoftwareGroup> VersionRecord::OnlyOrigin(
    const std::vector<SoftwareGroup>& listed,
    std::optional<StoreTime> answered_at) const {
  const std::vector<SoftwareGroup> possible =
      PossibleOrigins(listed, answered_at);
  if (possible.size() != 1) return std::nullopt;
  const bool history_lost =
      history_lost_until_ &&
      (!answered_at || *answered_at < *history_lost_until_);
  if (history_lost && !SurvivedReturns(possible.front())) return std::nullopt;
  return possible.front();
}

}  // namespace yuccapick
