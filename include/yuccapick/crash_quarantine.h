#ifndef YUCCAPICK_CRASH_QUARANTINE_H_
#define YUCCAPICK_CRASH_QUARANTINE_H_

/// @file
/// Finds requests and prompt parts under which upstreams crash, and blocks
/// them.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "yuccapick/gateway_ring.h"
#include "yuccapick/ids.h"
#include "yuccapick/store_clock.h"
#include "yuccapick/suspect.h"

namespace yuccapick {

/// Hash of an upstream's id and incarnation.
using UpstreamRunId = NumericId<struct UpstreamRunIdTag>;

UpstreamRunId UpstreamRunIdOf(const UpstreamId& id, Incarnation incarnation);

/// An upstream closed its connection before an answer to a request with the
/// suspect had gone on for long.
struct SuspectCrash {
  SuspectId suspect;
  UpstreamRunId upstream;
  StoreTime at;

  bool operator==(const SuspectCrash&) const = default;
};

/// An upstream answered a request with the suspect.
struct SuspectSurvival {
  SuspectId suspect;
  StoreTime began_at;  ///< When the answer began.

  bool operator==(const SuspectSurvival&) const = default;
};

/// How the trial of a blocked suspect ended.
enum class TrialOutcome : std::uint8_t {
  kUnused,    ///< No request was sent.
  kFailed,    ///< The upstream crashed, or the request was given up.
  kAnswered,  ///< The suspect is sound.
};

/// Told by the gateway that was to try the suspect.
struct TrialResult {
  SuspectId suspect;
  TrialOutcome outcome = TrialOutcome::kUnused;

  bool operator==(const TrialResult&) const = default;
};

/// What a gateway has observed, and what it asks for. May be lost or repeated.
struct SuspectReport {
  std::vector<SuspectCrash> crashes;
  std::vector<SuspectSurvival> survivals;
  /// Blocked suspects that the gateway would try.
  std::vector<SuspectId> wanted_trials;
  std::vector<TrialResult> trial_results;
  InstanceId from;

  bool empty() const {
    return crashes.empty() && survivals.empty() && wanted_trials.empty() &&
           trial_results.empty();
  }
};

/// A report and the gateway that should get it.
struct AddressedSuspectReport {
  InstanceId to;
  SuspectReport report;
};

/// Whether a suspect is blocked. Of several decisions the latest one counts.
struct SuspectDecision {
  SuspectId suspect;
  bool blocked = false;
  StoreTime decided_at;
  StoreTime until;           ///< Requests are refused until then.
  std::uint32_t blocks = 0;  ///< How often it was blocked in succession.
  /// The gateway that may send one request as a trial until `until`; empty if
  /// none may.
  InstanceId trial_by;

  bool operator==(const SuspectDecision&) const = default;
};

/// A request that must not be sent now, because of a suspect.
struct SuspectRefusal {
  SuspectId suspect;
  std::chrono::milliseconds retry_after{0};
  /// The request may be admitted as a trial shortly.
  bool trial_wanted = false;
};

/// When a suspect is blocked, and for how long.
struct BlockPolicy {
  /// Time after the last crash that blocks the suspect, in which an answer may
  /// show that it is sound.
  std::chrono::milliseconds settle_time;
  std::chrono::milliseconds first_block;
  /// Crashed upstreams, without an answer since the first, that block it.
  std::size_t crashes_to_block = 3;
  /// Each block is longer than the one before by this factor.
  int growth = 8;
};

/// One gateway's share of the search for what upstreams crash on.
///
/// A crash breaks many requests, most of which are sound. Gateways report the
/// requests and the prompt parts of all of them to two coordinators for each,
/// which rendezvous hashing picks. A coordinator blocks a suspect for which
/// several upstreams have crashed and no answer has begun since the first of
/// these crashes. All gateways refuse requests with a blocked suspect. When the
/// block ends, the first coordinator lets one gateway try one request; an
/// answer clears the suspect, a crash blocks it for longer.
///
/// A suspect is blocked for a short time at first: sound ones that are always
/// under way look guilty, too, if several upstreams crash together.
///
/// A request is a trial only if all its suspects are free or tried by it. While
/// several are to be tried, a request with only one of them goes first: its
/// outcome tells which is sound. If none comes for a while, a request tries all
/// its suspects together, so that those that always come together are cleared.
class CrashQuarantine {
 public:
  struct Options {
    BlockPolicy part{std::chrono::milliseconds(1'000),
                     std::chrono::milliseconds(6'000)};
    BlockPolicy request{std::chrono::milliseconds(300),
                        std::chrono::milliseconds(2'000)};
    /// The second coordinator decides so much later, unless the first one has.
    std::chrono::milliseconds second_delay{300};
    std::chrono::milliseconds evidence_lifetime{600'000};
    std::chrono::milliseconds longest_block{86'400'000};
    /// A request that tries a suspect has ended after this time.
    std::chrono::milliseconds trial_timeout{30'000};
    /// A trial that is not begun within this time is given back.
    std::chrono::milliseconds trial_begin_timeout{1'000};
    /// For this time after their blocks, suspects are tried one by one only.
    std::chrono::milliseconds lone_trial_time{4'000};
    /// Delay after which a caller should come back while a trial decides.
    std::chrono::milliseconds trial_retry_after{500};
    /// Suspects of which evidence is kept, and suspects that are blocked.
    std::size_t max_suspects = 4'096;
  };

  explicit CrashQuarantine(InstanceId own)
      : CrashQuarantine(std::move(own), Options()) {}
  CrashQuarantine(InstanceId own, Options options);

  // Commands.

  /// @param peers live gateways other than this one
  void SetPeers(const std::vector<InstanceId>& peers) {
    gateways_.SetPeers(peers);
  }
  /// An own attempt ended as described for `SuspectCrash`.
  void OnCrash(const std::vector<SuspectId>& suspects, UpstreamRunId upstream,
               StoreTime now);
  /// An own attempt was answered.
  void OnSurvived(const std::vector<SuspectId>& suspects, StoreTime began_at,
                  StoreTime now);
  void OnReport(const SuspectReport& report, StoreTime now);
  /// A decision of another gateway, or one that was saved.
  /// @return false if one that is not older is known
  bool OnDecision(const SuspectDecision& decision);
  void OnTick(StoreTime now);
  /// Decides on a request, immediately before it is sent. May ask the
  /// coordinator for a trial.
  /// @return nothing if it may be sent
  std::optional<SuspectRefusal> Admit(const std::vector<SuspectId>& suspects,
                                      StoreTime now);
  /// A request that was admitted is sent. If it is a trial, it is the only one.
  /// @return true if it is a trial
  bool OnSent(const std::vector<SuspectId>& suspects);
  /// The request that was sent last was rejected, or failed without a crash. A
  /// trial may be sent again.
  void OnInconclusive(const std::vector<SuspectId>& suspects);
  /// The request that was sent last was given up.
  void OnGivenUp(const std::vector<SuspectId>& suspects);
  /// Returns observations that other gateways need.
  std::vector<AddressedSuspectReport> TakeReports();
  /// Returns decisions that all gateways need, and that are to be saved.
  std::vector<SuspectDecision> TakeDecisions();

  // Queries.

  /// True if `TakeReports` or `TakeDecisions` would return something.
  bool HasNews() const { return !reports_.empty() || !decisions_.empty(); }
  bool IsBlocked(const SuspectId& suspect) const;
  std::size_t blocked_count(SuspectKind kind) const;
  /// True if this gateway is one of the suspect's coordinators.
  bool IsCoordinator(const SuspectId& suspect) const;
  /// Returns the decisions in force, for a gateway that starts.
  std::vector<SuspectDecision> Decisions() const;
  /// Suspects of which evidence is kept.
  std::size_t suspect_count() const { return suspects_.size(); }

 private:
  struct Crash {
    UpstreamRunId upstream;
    StoreTime at;
  };
  /// A coordinator's evidence about a suspect.
  struct Evidence {
    std::vector<Crash> crashes;  ///< Since the last answer, oldest first.
    StoreTime survived_at;       ///< Latest beginning of an answer.
    StoreTime updated_at;
  };
  /// This gateway's trial of a blocked suspect.
  enum class TrialState : std::uint8_t { kNotSent, kSent, kEnded };
  struct Block {
    SuspectDecision decision;
    TrialState trial = TrialState::kNotSent;
    TrialOutcome outcome = TrialOutcome::kUnused;  ///< If `kEnded`.
  };
  /// What the blocks say of one suspect of a request.
  enum class Verdict : std::uint8_t { kFree, kTrial, kOpen, kRefused };

  const BlockPolicy& PolicyOf(const SuspectId& suspect) const;
  bool IsFirstCoordinator(const SuspectId& suspect) const;
  /// @param asking the gateway that would try the suspect: its trials of other
  ///   suspects of the same request don't hinder it
  Verdict Judge(const SuspectId& suspect, const InstanceId& asking,
                StoreTime now) const;
  /// Returns the suspects that are blocked or to be tried.
  std::vector<SuspectId> NotFree(const std::vector<SuspectId>& suspects,
                                 StoreTime now) const;
  /// Refuses a request that may not be sent whatever the coordinators say.
  /// @param suspects those that are not free
  std::optional<SuspectRefusal> RefuseUntried(
      const std::vector<SuspectId>& suspects, StoreTime now) const;
  /// True if this gateway has sent a trial of another suspect lately.
  bool IsOtherTrialSent(const std::vector<SuspectId>& suspects,
                        StoreTime now) const;
  SuspectRefusal RefusalOf(const SuspectId& suspect, StoreTime now) const;
  /// True if a trial of any suspect may be under way at another gateway.
  bool IsTrialRunningElsewhere(const InstanceId& asking, StoreTime now) const;
  bool IsTrialRecent(const Block& block, StoreTime now) const;
  /// True if this gateway may send one request with the suspect.
  bool HoldsTrial(const Block& block) const;
  void WantTrial(const SuspectId& suspect, StoreTime now);
  /// As the first coordinator, lets a gateway try the suspect if none does.
  void GrantTrial(const SuspectId& suspect, const InstanceId& to,
                  StoreTime now);
  /// As a coordinator, decides on the suspect after its trial.
  void OnTrialResult(const TrialResult& result, const InstanceId& from,
                     StoreTime now);
  /// Sets the state of this gateway's trials of the suspects.
  void ChangeTrials(const std::vector<SuspectId>& suspects, TrialState from,
                    TrialState to);
  /// Ends this gateway's trials of the suspects, if they were sent.
  void EndTrials(const std::vector<SuspectId>& suspects, TrialOutcome outcome);
  /// Tells the coordinators of this gateway's trials until a decision follows.
  void ReportTrials(StoreTime now);
  void Report(const TrialResult& result, StoreTime now);
  /// Ends the trials that have brought no result.
  void EndOverdueTrials(StoreTime now);
  /// True if this coordinator counts a crash for the suspect before `time`.
  bool HasCrashBefore(const SuspectId& suspect, StoreTime time) const;
  void Report(const SuspectCrash& crash, StoreTime now);
  void Report(const SuspectSurvival& survival, StoreTime now);
  void AddCrash(const SuspectCrash& crash, StoreTime now);
  void AddSurvival(const SuspectSurvival& survival, StoreTime now);
  Evidence& FindOrAddEvidence(const SuspectId& suspect, StoreTime now);
  void Decide(const SuspectDecision& decision);
  void BlockAgain(const SuspectDecision& last, StoreTime now);
  std::chrono::milliseconds BlockTime(const SuspectId& suspect,
                                      std::uint32_t blocks) const;
  void BlockIfSettled(const SuspectId& suspect, StoreTime now);
  /// Clears blocks that nobody has asked for long after their end.
  void ClearUnusedBlocks(StoreTime now);
  void DropExpired(StoreTime now);

  Options options_;
  GatewayRing gateways_;
  std::map<SuspectId, Evidence> suspects_;
  std::map<SuspectId, Block> blocks_;  ///< Cleared ones too, for a while.
  /// Suspects of own broken attempts, and when they broke. The next answer to a
  /// request with one of them is reported.
  std::map<SuspectId, StoreTime> awaiting_answer_;
  std::map<InstanceId, SuspectReport> reports_;
  std::vector<SuspectDecision> decisions_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_CRASH_QUARANTINE_H_
