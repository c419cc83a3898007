#include "yuccapick/crash_quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "crash_quarantine_impl.h"

namespace yuccapick {

using detail::AppendNew;
using detail::kCoordinatorsPerSuspect;
using detail::NextDecisionTime;

namespace {

/// Crashes that are kept for each suspect.
constexpr std::size_t kMaxCrashes = 8;
/// A cleared suspect is remembered for this long, so that late copies of the
/// block have no effect.
constexpr std::chrono::milliseconds kClearedLifetime{60'000};

/// Removes the entry with the least `rank(entry)` if `map` is full.
template <typename Map, typename Rank>
void MakeRoom(Map& map, std::size_t max_size, Rank rank) {
  if (map.size() < max_size) return;
  map.erase(std::min_element(map.begin(), map.end(),
                             [&](const auto& a, const auto& b) {
                               return rank(a.second) < rank(b.second);
                             }));
}

}  // namespace

UpstreamRunId UpstreamRunIdOf(const UpstreamId& id, Incarnation incarnation) {
  return UpstreamRunId(XXH3_64bits_withSeed(id.value.data(), id.value.size(),
                                            incarnation.value));
}

CrashQuarantine::CrashQuarantine(InstanceId own, Options options)
    : options_(options), gateways_(std::move(own)) {}

const BlockPolicy& CrashQuarantine::PolicyOf(const SuspectId& suspect) const {
  return suspect.kind == SuspectKind::kRequest ? options_.request
                                               : options_.part;
}

bool CrashQuarantine::IsFirstCoordinator(const SuspectId& suspect) const {
  return gateways_.IsOwnPicked(suspect.hash, 1);
}

bool CrashQuarantine::IsCoordinator(const SuspectId& suspect) const {
  return gateways_.IsOwnPicked(suspect.hash, kCoordinatorsPerSuspect);
}

void CrashQuarantine::OnCrash(const std::vector<SuspectId>& suspects,
                              UpstreamRunId upstream, StoreTime now) {
  for (const SuspectId& suspect : suspects) {
    MakeRoom(awaiting_answer_, options_.max_suspects,
             [](StoreTime since) { return since; });
    awaiting_answer_[suspect] = now;
    Report(SuspectCrash{suspect, upstream, now}, now);
  }
  EndTrials(suspects, TrialOutcome::kFailed);
  ReportTrials(now);
}

void CrashQuarantine::Report(const SuspectCrash& crash, StoreTime now) {
  for (const InstanceId& to :
       gateways_.Pick(crash.suspect.hash, kCoordinatorsPerSuspect)) {
    if (to == gateways_.own()) {
      AddCrash(crash, now);
    } else {
      AppendNew(reports_[to].crashes, crash);
    }
  }
}

void CrashQuarantine::OnSurvived(const std::vector<SuspectId>& suspects,
                                 StoreTime began_at, StoreTime now) {
  for (const SuspectId& suspect : suspects) {
    const auto awaiting = awaiting_answer_.find(suspect);
    const bool awaited =
        awaiting != awaiting_answer_.end() && awaiting->second < began_at;
    if (!awaited && !IsBlocked(suspect) && !HasCrashBefore(suspect, began_at)) {
      continue;
    }
    if (awaited) awaiting_answer_.erase(awaiting);
    Report(SuspectSurvival{suspect, began_at}, now);
  }
  EndTrials(suspects, TrialOutcome::kAnswered);
  ReportTrials(now);
}

bool CrashQuarantine::HasCrashBefore(const SuspectId& suspect,
                                     StoreTime time) const {
  const auto it = suspects_.find(suspect);
  if (it == suspects_.end() || it->second.crashes.empty()) return false;
  return it->second.crashes.front().at < time;
}

void CrashQuarantine::Report(const SuspectSurvival& survival, StoreTime now) {
  for (const InstanceId& to :
       gateways_.Pick(survival.suspect.hash, kCoordinatorsPerSuspect)) {
    if (to == gateways_.own()) {
      AddSurvival(survival, now);
    } else {
      AppendNew(reports_[to].survivals, survival);
    }
  }
}

void CrashQuarantine::OnReport(const SuspectReport& report, StoreTime now) {
  for (const SuspectCrash& it : report.crashes) AddCrash(it, now);
  for (const SuspectSurvival& it : report.survivals) AddSurvival(it, now);
  for (const TrialResult& it : report.trial_results) {
    OnTrialResult(it, report.from, now);
  }
  for (const SuspectId& it : report.wanted_trials) {
    GrantTrial(it, report.from, now);
  }
}

CrashQuarantine::Evidence& CrashQuarantine::FindOrAddEvidence(
    const SuspectId& suspect, StoreTime now) {
  if (!suspects_.contains(suspect)) {
    // A caller that sends ever new requests can't displace the repeated ones.
    MakeRoom(suspects_, options_.max_suspects, [](const Evidence& it) {
      return std::make_tuple(it.crashes.size(), it.updated_at);
    });
  }
  Evidence& evidence = suspects_[suspect];
  evidence.updated_at = now;
  return evidence;
}

void CrashQuarantine::AddCrash(const SuspectCrash& crash, StoreTime now) {
  // Of a blocked suspect, only the outcome of its trial counts.
  if (IsBlocked(crash.suspect)) return;
  Evidence& evidence = FindOrAddEvidence(crash.suspect, now);
  if (crash.at <= evidence.survived_at) return;
  const bool known = std::any_of(
      evidence.crashes.begin(), evidence.crashes.end(),
      [&](const Crash& it) { return it.upstream == crash.upstream; });
  if (known || evidence.crashes.size() >= kMaxCrashes) return;
  const auto place = std::upper_bound(
      evidence.crashes.begin(), evidence.crashes.end(), crash.at,
      [](StoreTime at, const Crash& it) { return at < it.at; });
  evidence.crashes.insert(place, {crash.upstream, crash.at});
}

void CrashQuarantine::AddSurvival(const SuspectSurvival& survival,
                                  StoreTime now) {
  Evidence& evidence = FindOrAddEvidence(survival.suspect, now);
  evidence.survived_at = std::max(evidence.survived_at, survival.began_at);
  std::erase_if(evidence.crashes,
                [&](const Crash& it) { return it.at <= evidence.survived_at; });
  const auto block = blocks_.find(survival.suspect);
  if (block == blocks_.end() || !block->second.decision.blocked) return;
  const SuspectDecision last = block->second.decision;
  if (survival.began_at < last.decided_at) return;
  const StoreTime at = NextDecisionTime(last, now);
  Decide({survival.suspect, false, at, at, 0, InstanceId()});
}

void CrashQuarantine::Decide(const SuspectDecision& decision) {
  if (OnDecision(decision)) decisions_.push_back(decision);
}

bool CrashQuarantine::OnDecision(const SuspectDecision& decision) {
  const auto it = blocks_.find(decision.suspect);
  if (it != blocks_.end() &&
      decision.decided_at <= it->second.decision.decided_at) {
    return false;
  }
  if (it == blocks_.end()) {
    MakeRoom(blocks_, options_.max_suspects, [](const Block& block) {
      return std::make_tuple(block.decision.blocked, block.decision.until);
    });
  }
  blocks_[decision.suspect] = {decision};
  if (decision.blocked) suspects_.erase(decision.suspect);
  return true;
}

std::chrono::milliseconds CrashQuarantine::BlockTime(
    const SuspectId& suspect, std::uint32_t blocks) const {
  const BlockPolicy& policy = PolicyOf(suspect);
  std::chrono::milliseconds time = policy.first_block;
  for (std::uint32_t i = 1; i < blocks; ++i) {
    if (time >= options_.longest_block) break;
    time *= policy.growth;
  }
  return std::min(time, options_.longest_block);
}

void CrashQuarantine::BlockAgain(const SuspectDecision& last, StoreTime now) {
  const std::uint32_t blocks = last.blocks + 1;
  const StoreTime at = NextDecisionTime(last, now);
  Decide({last.suspect, true, at, at + BlockTime(last.suspect, blocks), blocks,
          InstanceId()});
}

void CrashQuarantine::BlockIfSettled(const SuspectId& suspect, StoreTime now) {
  const std::vector<Crash>& crashes = suspects_.at(suspect).crashes;
  const BlockPolicy& policy = PolicyOf(suspect);
  if (crashes.size() < policy.crashes_to_block) return;
  const StoreTime enough_at = crashes[policy.crashes_to_block - 1].at;
  auto delay = policy.settle_time;
  if (!IsFirstCoordinator(suspect)) delay += options_.second_delay;
  if (now < enough_at + delay) return;
  Decide({suspect, true, now, now + BlockTime(suspect, 1), 1, InstanceId()});
}

void CrashQuarantine::OnTick(StoreTime now) {
  DropExpired(now);
  std::vector<SuspectId> suspects;
  for (const auto& [suspect, evidence] : suspects_) {
    suspects.push_back(suspect);
  }
  for (const SuspectId& suspect : suspects) BlockIfSettled(suspect, now);
  ReportTrials(now);
  EndOverdueTrials(now);
  ClearUnusedBlocks(now);
}

void CrashQuarantine::ClearUnusedBlocks(StoreTime now) {
  std::vector<SuspectId> unused;
  for (const auto& [suspect, block] : blocks_) {
    const SuspectDecision& decision = block.decision;
    if (!decision.blocked) continue;
    if (now < decision.until + options_.longest_block) continue;
    if (IsFirstCoordinator(suspect)) unused.push_back(suspect);
  }
  for (const SuspectId& suspect : unused) {
    Decide({suspect, false, now, now, 0, InstanceId()});
  }
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

std::vector<AddressedSuspectReport> CrashQuarantine::TakeReports() {
  std::vector<AddressedSuspectReport> taken;
  for (auto& [to, report] : reports_) {
    report.from = gateways_.own();
    taken.push_back({to, std::move(report)});
  }
  reports_.clear();
  return taken;
}

std::vector<SuspectDecision> CrashQuarantine::TakeDecisions() {
  return std::exchange(decisions_, {});
}

bool CrashQuarantine::IsBlocked(const SuspectId& suspect) const {
  const auto it = blocks_.find(suspect);
  return it != blocks_.end() && it->second.decision.blocked;
}

std::vector<SuspectDecision> CrashQuarantine::Decisions() const {
  std::vector<SuspectDecision> decisions;
  for (const auto& [suspect, block] : blocks_) {
    decisions.push_back(block.decision);
  }
  return decisions;
}

std::size_t CrashQuarantine::blocked_count(SuspectKind kind) const {
  return static_cast<std::size_t>(
      std::count_if(blocks_.begin(), blocks_.end(), [kind](const auto& entry) {
        const SuspectDecision& decision = entry.second.decision;
        return decision.blocked && decision.suspect.kind == kind;
      }));
}

}  // namespace yuccapick
