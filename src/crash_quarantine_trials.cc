#include <algorithm>
#include <utility>

#include "crash_quarantine_impl.h"
#include "yuccapick/crash_quarantine.h"

namespace yuccapick {

using detail::AppendNew;
using detail::kCoordinatorsPerSuspect;
using detail::NextDecisionTime;

bool CrashQuarantine::HoldsTrial(const Block& block) const {
  return block.decision.trial_by == gateways_.own() &&
         block.trial == TrialState::kNotSent;
}

CrashQuarantine::Verdict CrashQuarantine::Judge(const SuspectId& suspect,
                                                const InstanceId& asking,
                                                StoreTime now) const {
  const auto it = blocks_.find(suspect);
  if (it == blocks_.end() || !it->second.decision.blocked) {
    return Verdict::kFree;
  }
  const SuspectDecision& decision = it->second.decision;
  if (now < decision.until) {
    return HoldsTrial(it->second) ? Verdict::kTrial : Verdict::kRefused;
  }
  const bool overdue = !decision.trial_by.value.empty();
  return overdue || IsTrialRunningElsewhere(asking, now) ? Verdict::kRefused
                                                         : Verdict::kOpen;
}

bool CrashQuarantine::IsTrialRecent(const Block& block, StoreTime now) const {
  const SuspectDecision& it = block.decision;
  return !it.trial_by.value.empty() &&
         now < it.decided_at + options_.trial_begin_timeout;
}

bool CrashQuarantine::IsTrialRunningElsewhere(const InstanceId& asking,
                                              StoreTime now) const {
  return std::any_of(blocks_.begin(), blocks_.end(), [&](const auto& entry) {
    const Block& block = entry.second;
    return block.decision.trial_by != asking && IsTrialRecent(block, now);
  });
}

bool CrashQuarantine::IsOtherTrialSent(const std::vector<SuspectId>& suspects,
                                       StoreTime now) const {
  return std::any_of(blocks_.begin(), blocks_.end(), [&](const auto& entry) {
    const auto& [suspect, block] = entry;
    if (block.decision.trial_by != gateways_.own()) return false;
    if (block.trial == TrialState::kNotSent || !IsTrialRecent(block, now)) {
      return false;
    }
    return std::find(suspects.begin(), suspects.end(), suspect) ==
           suspects.end();
  });
}

SuspectRefusal CrashQuarantine::RefusalOf(const SuspectId& suspect,
                                          StoreTime now) const {
  const SuspectDecision& decision = blocks_.at(suspect).decision;
  const bool in_force = decision.trial_by.value.empty() && now < decision.until;
  return {suspect,
          in_force ? decision.until - now : options_.trial_retry_after};
}

std::vector<SuspectId> CrashQuarantine::NotFree(
    const std::vector<SuspectId>& suspects, StoreTime now) const {
  std::vector<SuspectId> not_free;
  for (const SuspectId& it : suspects) {
    if (Judge(it, gateways_.own(), now) == Verdict::kFree) continue;
    not_free.push_back(it);
  }
  return not_free;
}

std::optional<SuspectRefusal> CrashQuarantine::RefuseUntried(
    const std::vector<SuspectId>& suspects, StoreTime now) const {
  StoreTime together_from;
  for (const SuspectId& it : suspects) {
    if (Judge(it, gateways_.own(), now) == Verdict::kRefused) {
      return RefusalOf(it, now);
    }
    const SuspectDecision& decision = blocks_.at(it).decision;
    const bool held = !decision.trial_by.value.empty();
    if (held) continue;
    together_from =
        std::max(together_from, decision.until + options_.lone_trial_time);
  }
  if (IsOtherTrialSent(suspects, now)) return RefusalOf(suspects.front(), now);
  if (suspects.size() == 1 || now >= together_from) return std::nullopt;
  return SuspectRefusal{suspects.front(), together_from - now};
}

std::optional<SuspectRefusal> CrashQuarantine::Admit(
    const std::vector<SuspectId>& suspects, StoreTime now) {
  if (blocks_.empty()) return std::nullopt;
  const std::vector<SuspectId> untried = NotFree(suspects, now);
  if (untried.empty()) return std::nullopt;
  if (auto refusal = RefuseUntried(untried, now)) return refusal;
  for (const SuspectId& suspect : untried) {
    if (Judge(suspect, gateways_.own(), now) == Verdict::kOpen) {
      WantTrial(suspect, now);
    }
  }
  for (const SuspectId& suspect : untried) {
    if (Judge(suspect, gateways_.own(), now) == Verdict::kTrial) continue;
    SuspectRefusal refusal = RefusalOf(suspect, now);
    refusal.trial_wanted = true;
    return refusal;
  }
  return std::nullopt;
}

void CrashQuarantine::WantTrial(const SuspectId& suspect, StoreTime now) {
  for (const InstanceId& to : gateways_.Pick(suspect.hash, 1)) {
    if (to == gateways_.own()) {
      GrantTrial(suspect, to, now);
    } else {
      AppendNew(reports_[to].wanted_trials, suspect);
    }
  }
}

void CrashQuarantine::GrantTrial(const SuspectId& suspect, const InstanceId& to,
                                 StoreTime now) {
  if (!IsFirstCoordinator(suspect)) return;
  if (Judge(suspect, to, now) != Verdict::kOpen) return;
  const SuspectDecision last = blocks_.at(suspect).decision;
  const StoreTime at = NextDecisionTime(last, now);
  Decide({suspect, true, at, at + options_.trial_timeout, last.blocks, to});
}

void CrashQuarantine::OnTrialResult(const TrialResult& result,
                                    const InstanceId& from, StoreTime now) {
  const auto it = blocks_.find(result.suspect);
  if (it == blocks_.end() || !IsCoordinator(result.suspect)) return;
  const SuspectDecision last = it->second.decision;
  if (!last.blocked || last.trial_by != from) return;
  const StoreTime at = NextDecisionTime(last, now);
  switch (result.outcome) {
    case TrialOutcome::kUnused:
      return Decide({last.suspect, true, at, at, last.blocks, InstanceId()});
    case TrialOutcome::kFailed:
      return BlockAgain(last, now);
    case TrialOutcome::kAnswered:
      return Decide({last.suspect, false, at, at, 0, InstanceId()});
  }
}

void CrashQuarantine::ChangeTrials(const std::vector<SuspectId>& suspects,
                                   TrialState from, TrialState to) {
  for (const SuspectId& suspect : suspects) {
    const auto it = blocks_.find(suspect);
    if (it == blocks_.end() || it->second.trial != from) continue;
    if (it->second.decision.trial_by == gateways_.own()) it->second.trial = to;
  }
}

void CrashQuarantine::EndTrials(const std::vector<SuspectId>& suspects,
                                TrialOutcome outcome) {
  for (const SuspectId& suspect : suspects) {
    const auto it = blocks_.find(suspect);
    if (it == blocks_.end() || it->second.trial != TrialState::kSent) continue;
    it->second.trial = TrialState::kEnded;
    it->second.outcome = outcome;
  }
}

void CrashQuarantine::ReportTrials(StoreTime now) {
  std::vector<TrialResult> results;
  for (auto& [suspect, block] : blocks_) {
    const StoreTime limit =
        block.decision.decided_at + options_.trial_begin_timeout;
    if (HoldsTrial(block) && now >= limit) block.trial = TrialState::kEnded;
    if (block.trial == TrialState::kEnded) {
      results.push_back({suspect, block.outcome});
    }
  }
  for (const TrialResult& it : results) Report(it, now);
}

void CrashQuarantine::Report(const TrialResult& result, StoreTime now) {
  for (const InstanceId& to :
       gateways_.Pick(result.suspect.hash, kCoordinatorsPerSuspect)) {
    if (to == gateways_.own()) {
      OnTrialResult(result, to, now);
    } else {
      AppendNew(reports_[to].trial_results, result);
    }
  }
}

void CrashQuarantine::EndOverdueTrials(StoreTime now) {
  std::vector<SuspectDecision> overdue;
  for (const auto& [suspect, block] : blocks_) {
    const SuspectDecision& decision = block.decision;
    if (decision.trial_by.value.empty() || now < decision.until) continue;
    if (IsFirstCoordinator(suspect)) overdue.push_back(decision);
  }
  for (const SuspectDecision& it : overdue) BlockAgain(it, now);
}

bool CrashQuarantine::OnSent(const std::vector<SuspectId>& suspects) {
  bool is_trial = false;
  for (const SuspectId& suspect : suspects) {
    const auto it = blocks_.find(suspect);
    is_trial |= it != blocks_.end() && HoldsTrial(it->second);
  }
  ChangeTrials(suspects, TrialState::kNotSent, TrialState::kSent);
  return is_trial;
}

void CrashQuarantine::OnInconclusive(const std::vector<SuspectId>& suspects) {
  ChangeTrials(suspects, TrialState::kSent, TrialState::kNotSent);
}

void CrashQuarantine::OnGivenUp(const std::vector<SuspectId>& suspects) {
  EndTrials(suspects, TrialOutcome::kFailed);
}

}  // namespace yuccapick
