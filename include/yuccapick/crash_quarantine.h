#ifndef YUCCAPICK_CRASH_QUARANTINE_H_
#define YUCCAPICK_CRASH_QUARANTINE_H_

/// @file
/// Finds prompt parts under which upstreams crash, and blocks them.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "yuccapick/gateway_ring.h"
#include "yuccapick/ids.h"
#include "yuccapick/part_directory.h"
#include "yuccapick/store_clock.h"

namespace yuccapick {

/// Hash of an upstream's id and incarnation.
using UpstreamRunId = NumericId<struct UpstreamRunIdTag>;

UpstreamRunId UpstreamRunIdOf(const UpstreamId& id, Incarnation incarnation);

/// An upstream closed its connection before an answer to a request with the
/// part had gone on for long.
struct SuspectCrash {
  PartId part;
  UpstreamRunId upstream;
  StoreTime at;

  bool operator==(const SuspectCrash&) const = default;
};

/// An upstream answered a request with the part.
struct SuspectSurvival {
  PartId part;
  StoreTime began_at;  ///< When the answer began.

  bool operator==(const SuspectSurvival&) const = default;
};

/// What a gateway has observed. May be lost or repeated.
struct SuspectReport {
  std::vector<SuspectCrash> crashes;
  std::vector<SuspectSurvival> survivals;

  bool empty() const { return crashes.empty() && survivals.empty(); }
};

/// A report and the gateway that should get it.
struct AddressedSuspectReport {
  InstanceId to;
  SuspectReport report;
};

/// Whether a part is blocked. Of several decisions the latest one counts.
struct SuspectDecision {
  PartId part;
  bool blocked = false;
  StoreTime decided_at;
  StoreTime until;           ///< Requests are refused until then.
  std::uint32_t blocks = 0;  ///< How often it was blocked in succession.

  bool operator==(const SuspectDecision&) const = default;
};

/// A request that must not be sent, because of one of its parts.
struct SuspectRefusal {
  PartId part;
  std::chrono::milliseconds retry_after{0};
};

/// One gateway's share of the search for parts under which upstreams crash.
///
/// A crash breaks many requests, most of which are sound. Gateways report the
/// parts of all of them to two coordinators for each part, which rendezvous
/// hashing picks. A coordinator blocks a part for which several upstreams have
/// crashed and no answer has begun since the first of these crashes. All
/// gateways refuse requests with a blocked part. When the block ends, the first
/// coordinator tries one request at a time; an answer clears the part, a crash
/// blocks it for twice as long.
class CrashQuarantine {
 public:
  struct Options {
    /// Crashed upstreams, without an answer since the first, that block a part.
    std::size_t crashes_to_block = 3;
    /// Time after the last of these crashes in which an answer may show that
    /// the part is sound.
    std::chrono::milliseconds settle_time{1'000};
    std::chrono::milliseconds evidence_lifetime{600'000};
    std::chrono::milliseconds first_block{600'000};
    std::chrono::milliseconds longest_block{86'400'000};
    /// A request that tries a part has ended after this time.
    std::chrono::milliseconds trial_timeout{30'000};
    /// Parts of which evidence is kept, and parts that are blocked.
    std::size_t max_parts = 4'096;
  };

  explicit CrashQuarantine(InstanceId own)
      : CrashQuarantine(std::move(own), {}) {}
  CrashQuarantine(InstanceId own, Options options);

  // Commands.

  /// @param peers live gateways other than this one
  void SetPeers(const std::vector<InstanceId>& peers) {
    gateways_.SetPeers(peers);
  }
  /// An own attempt ended as described for `SuspectCrash`.
  void OnCrash(const std::vector<PartId>& parts, UpstreamRunId upstream,
               StoreTime now);
  /// An own attempt was answered.
  void OnSurvived(const std::vector<PartId>& parts, StoreTime began_at,
                  StoreTime now);
  void OnReport(const SuspectReport& report, StoreTime now);
  /// A decision of another gateway, or one that was saved.
  /// @return false if one that is not older is known
  bool OnDecision(const SuspectDecision& decision);
  void OnTick(StoreTime now);
  /// Decides on a request, immediately before it is sent.
  /// @return nothing if it may be sent
  std::optional<SuspectRefusal> Admit(const std::vector<PartId>& parts,
                                      StoreTime now);
  /// Returns observations that other gateways need.
  std::vector<AddressedSuspectReport> TakeReports();
  /// Returns decisions that all gateways need, and that are to be saved.
  std::vector<SuspectDecision> TakeDecisions();

  // Queries.

  /// True if `TakeReports` or `TakeDecisions` would return something.
  bool HasNews() const { return !reports_.empty() || !decisions_.empty(); }
  bool IsBlocked(PartId part) const;
  std::size_t blocked_count() const;
  /// True if this gateway is one of the part's coordinators.
  bool IsCoordinator(PartId part) const;
  /// Returns the decisions in force, for a gateway that starts.
  std::vector<SuspectDecision> Decisions() const;
  /// Parts of which evidence is kept.
  std::size_t suspect_count() const { return suspects_.size(); }

 private:
  struct Crash {
    UpstreamRunId upstream;
    StoreTime at;
  };
  /// A coordinator's evidence about a part.
  struct Suspect {
    std::vector<Crash> crashes;  ///< Since the last answer, oldest first.
    StoreTime survived_at;       ///< Latest beginning of an answer.
    StoreTime updated_at;
  };
  struct Block {
    SuspectDecision decision;
    StoreTime trial_until;
  };

  bool IsFirstCoordinator(PartId part) const;
  /// True if this coordinator counts a crash for the part before `time`.
  bool HasCrashBefore(PartId part, StoreTime time) const;
  void Report(const SuspectCrash& crash, StoreTime now);
  void Report(const SuspectSurvival& survival, StoreTime now);
  void AddCrash(const SuspectCrash& crash, StoreTime now);
  void AddSurvival(const SuspectSurvival& survival, StoreTime now);
  Suspect& FindOrAddSuspect(PartId part, StoreTime now);
  void Decide(const SuspectDecision& decision);
  void BlockAgain(const Block& block, StoreTime now);
  void BlockIfSettled(PartId part, StoreTime now);
  /// Clears blocks that nobody has asked for long after their end.
  void ClearUnusedBlocks(StoreTime now);
  void DropExpired(StoreTime now);

  Options options_;
  GatewayRing gateways_;
  std::map<PartId, Suspect> suspects_;
  std::map<PartId, Block> blocks_;  ///< Cleared ones too, for a while.
  /// Parts of own broken attempts, and when they broke. The next answer to a
  /// request with one of them is reported.
  std::map<PartId, StoreTime> awaiting_answer_;
  std::map<InstanceId, SuspectReport> reports_;
  std::vector<SuspectDecision> decisions_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_CRASH_QUARANTINE_H_
