#include "yuccapick/crash_quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace yuccapick {
namespace {

constexpr std::size_t kCoordinatorsPerPart = 2;
/// Crashes that are kept for each part.
constexpr std::size_t kMaxCrashes = 8;
/// Limits the observations of each sort in one report, so that it fits a
/// datagram.
constexpr std::size_t kMaxReported = 200;
/// A cleared part is remembered for this long, so that late copies of the block
/// have no effect.
constexpr std::chrono::milliseconds kClearedLifetime{60'000};

/// Removes the entry with the least `time_of(entry)` if `map` is full.
template <typename Map, typename TimeOf>
void MakeRoom(Map& map, std::size_t max_size, TimeOf time_of) {
  if (map.size() < max_size) return;
  map.erase(std::min_element(map.begin(), map.end(),
                             [&](const auto& a, const auto& b) {
                               return time_of(a.second) < time_of(b.second);
                             }));
}

/// One crash breaks several requests with the same part.
bool IsSame(const SuspectCrash& a, const SuspectCrash& b) {
  return a.part == b.part && a.upstream == b.upstream;
}

bool IsSame(const SuspectSurvival& a, const SuspectSurvival& b) {
  return a == b;
}

/// Appends an observation unless the list is full or has the same one.
template <typename T>
void AppendNew(std::vector<T>& list, const T& observation) {
  if (list.size() >= kMaxReported) return;
  const bool known = std::any_of(list.begin(), list.end(), [&](const T& it) {
    return IsSame(it, observation);
  });
  if (!known) list.push_back(observation);
}

}  // namespace

UpstreamRunId UpstreamRunIdOf(const UpstreamId& id, Incarnation incarnation) {
  return UpstreamRunId(XXH3_64bits_withSeed(id.value.data(), id.value.size(),
                                            incarnation.value));
}

CrashQuarantine::CrashQuarantine(InstanceId own, Options options)
    : options_(options), gateways_(std::move(own)) {}

bool CrashQuarantine::IsFirstCoordinator(PartId part) const {
  return gateways_.IsOwnPicked(part.value, 1);
}

bool CrashQuarantine::IsCoordinator(PartId part) const {
  return gateways_.IsOwnPicked(part.value, kCoordinatorsPerPart);
}

void CrashQuarantine::OnCrash(const std::vector<PartId>& parts,
                              UpstreamRunId upstream, StoreTime now) {
  for (const PartId part : parts) {
    MakeRoom(awaiting_answer_, options_.max_parts,
             [](StoreTime since) { return since; });
    awaiting_answer_[part] = now;
    Report(SuspectCrash{part, upstream, now}, now);
  }
}

void CrashQuarantine::Report(const SuspectCrash& crash, StoreTime now) {
  for (const InstanceId& to :
       gateways_.Pick(crash.part.value, kCoordinatorsPerPart)) {
    if (to == gateways_.own()) {
      AddCrash(crash, now);
    } else {
      AppendNew(reports_[to].crashes, crash);
    }
  }
}

void CrashQuarantine::OnSurvived(const std::vector<PartId>& parts,
                                 StoreTime began_at, StoreTime now) {
  for (const PartId part : parts) {
    const auto awaiting = awaiting_answer_.find(part);
    const bool awaited =
        awaiting != awaiting_answer_.end() && awaiting->second < began_at;
    if (!awaited && !IsBlocked(part) && !HasCrashBefore(part, began_at)) {
      continue;
    }
    if (awaited) awaiting_answer_.erase(awaiting);
    Report(SuspectSurvival{part, began_at}, now);
  }
}

bool CrashQuarantine::HasCrashBefore(PartId part, StoreTime time) const {
  const auto it = suspects_.find(part);
  if (it == suspects_.end() || it->second.crashes.empty()) return false;
  return it->second.crashes.front().at < time;
}

void CrashQuarantine::Report(const SuspectSurvival& survival, StoreTime now) {
  for (const InstanceId& to :
       gateways_.Pick(survival.part.value, kCoordinatorsPerPart)) {
    if (to == gateways_.own()) {
      AddSurvival(survival, now);
    } else {
      AppendNew(reports_[to].survivals, survival);
    }
  }
}

void CrashQuarantine::OnReport(const SuspectReport& report, StoreTime now) {
  for (const SuspectCrash& crash : report.crashes) AddCrash(crash, now);
  for (const SuspectSurvival& it : report.survivals) AddSurvival(it, now);
}

CrashQuarantine::Suspect& CrashQuarantine::FindOrAddSuspect(PartId part,
                                                            StoreTime now) {
  if (!suspects_.contains(part)) {
    MakeRoom(suspects_, options_.max_parts,
             [](const Suspect& it) { return it.updated_at; });
  }
  Suspect& suspect = suspects_[part];
  suspect.updated_at = now;
  return suspect;
}

void CrashQuarantine::AddCrash(const SuspectCrash& crash, StoreTime now) {
  const auto block = blocks_.find(crash.part);
  if (block != blocks_.end() && block->second.decision.blocked) {
    const bool is_trial = crash.at >= block->second.decision.until;
    if (is_trial) BlockAgain(block->second, now);
    return;
  }
  Suspect& suspect = FindOrAddSuspect(crash.part, now);
  if (crash.at <= suspect.survived_at) return;
  const bool known = std::any_of(
      suspect.crashes.begin(), suspect.crashes.end(),
      [&](const Crash& it) { return it.upstream == crash.upstream; });
  if (known || suspect.crashes.size() >= kMaxCrashes) return;
  const auto place = std::upper_bound(
      suspect.crashes.begin(), suspect.crashes.end(), crash.at,
      [](StoreTime at, const Crash& it) { return at < it.at; });
  suspect.crashes.insert(place, {crash.upstream, crash.at});
}

void CrashQuarantine::AddSurvival(const SuspectSurvival& survival,
                                  StoreTime now) {
  Suspect& suspect = FindOrAddSuspect(survival.part, now);
  suspect.survived_at = std::max(suspect.survived_at, survival.began_at);
  std::erase_if(suspect.crashes,
                [&](const Crash& it) { return it.at <= suspect.survived_at; });
  const auto block = blocks_.find(survival.part);
  if (block == blocks_.end() || !block->second.decision.blocked) return;
  if (survival.began_at <= block->second.decision.decided_at) return;
  Decide({survival.part, false, now, now, 0});
}

void CrashQuarantine::Decide(const SuspectDecision& decision) {
  if (OnDecision(decision)) decisions_.push_back(decision);
}

bool CrashQuarantine::OnDecision(const SuspectDecision& decision) {
  const auto it = blocks_.find(decision.part);
  if (it != blocks_.end() &&
      decision.decided_at <= it->second.decision.decided_at) {
    return false;
  }
  if (it == blocks_.end()) {
    MakeRoom(blocks_, options_.max_parts,
             [](const Block& block) { return block.decision.until; });
  }
  blocks_[decision.part] = {decision, StoreTime()};
  if (decision.blocked) suspects_.erase(decision.part);
  return true;
}

void CrashQuarantine::BlockAgain(const Block& block, StoreTime now) {
  SuspectDecision decision = block.decision;
  const std::chrono::milliseconds last = decision.until - decision.decided_at;
  decision.decided_at = now;
  decision.until = now + std::min(last * 2, options_.longest_block);
  ++decision.blocks;
  Decide(decision);
}

void CrashQuarantine::BlockIfSettled(PartId part, StoreTime now) {
  const std::vector<Crash>& crashes = suspects_.at(part).crashes;
  if (crashes.size() < options_.crashes_to_block) return;
  const StoreTime enough_at = crashes[options_.crashes_to_block - 1].at;
  if (now < enough_at + options_.settle_time) return;
  Decide({part, true, now, now + options_.first_block, 1});
}

void CrashQuarantine::OnTick(StoreTime now) {
  DropExpired(now);
  std::vector<PartId> parts;
  for (const auto& [part, suspect] : suspects_) parts.push_back(part);
  for (const PartId part : parts) BlockIfSettled(part, now);
  ClearUnusedBlocks(now);
}

void CrashQuarantine::ClearUnusedBlocks(StoreTime now) {
  std::vector<PartId> unused;
  for (const auto& [part, block] : blocks_) {
    const SuspectDecision& decision = block.decision;
    if (!decision.blocked) continue;
    if (now < decision.until + options_.longest_block) continue;
    if (IsFirstCoordinator(part)) unused.push_back(part);
  }
  for (const PartId part : unused) Decide({part, false, now, now, 0});
}

void CrashQuarantine::DropExpired(StoreTime now) {
  std::erase_if(suspects_, [&](const auto& entry) {
    return now - entry.second.updated_at >= options_.evidence_lifetime;
  });
  std::erase_if(awaiting_answer_, [&](const auto& entry) {
    return now - entry.second >= options_.evidence_lifetime;
  });
  std::erase_if(blocks_, [&](const auto& entry) {
    const SuspectDecision& decision = entry.second.decision;
    return !decision.blocked && now - decision.decided_at >= kClearedLifetime;
  });
}

std::optional<SuspectRefusal> CrashQuarantine::Admit(
    const std::vector<PartId>& parts, StoreTime now) {
  if (blocks_.empty()) return std::nullopt;
  for (const PartId part : parts) {
    const auto it = blocks_.find(part);
    if (it == blocks_.end() || !it->second.decision.blocked) continue;
    Block& block = it->second;
    const StoreTime open_at = std::max(block.decision.until, block.trial_until);
    if (now < open_at) return SuspectRefusal{part, open_at - now};
    if (!IsFirstCoordinator(part)) {
      return SuspectRefusal{part, options_.trial_timeout};
    }
    block.trial_until = now + options_.trial_timeout;
  }
  return std::nullopt;
}

std::vector<AddressedSuspectReport> CrashQuarantine::TakeReports() {
  std::vector<AddressedSuspectReport> taken;
  for (auto& [to, report] : reports_) taken.push_back({to, std::move(report)});
  reports_.clear();
  return taken;
}

std::vector<SuspectDecision> CrashQuarantine::TakeDecisions() {
  return std::exchange(decisions_, {});
}

bool CrashQuarantine::IsBlocked(PartId part) const {
  const auto it = blocks_.find(part);
  return it != blocks_.end() && it->second.decision.blocked;
}

std::vector<SuspectDecision> CrashQuarantine::Decisions() const {
  std::vector<SuspectDecision> decisions;
  for (const auto& [part, block] : blocks_) {
    decisions.push_back(block.decision);
  }
  return decisions;
}

std::size_t CrashQuarantine::blocked_count() const {
  return static_cast<std::size_t>(std::count_if(
      blocks_.begin(), blocks_.end(),
      [](const auto& entry) { return entry.second.decision.blocked; }));
}

}  // namespace yuccapick
