#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>

#include "util/detail/outcome_simulation.h"

namespace yuccapick::outcome {
namespace {

constexpr std::uint64_t kMutantSchedules = 400;

FaultSet Faults(std::initializer_list<Fault> faults) {
  FaultSet set;
  for (const Fault fault : faults) set.set(static_cast<std::size_t>(fault));
  return set;
}

TEST_CASE("Every promise holds under random fault schedules") {
  rc::prop("any seed, up to four faults", [] {
    ScheduleOptions options;
    options.seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto count = *rc::gen::inRange<std::size_t>(0, 5);
    for (std::size_t n = 0; n < count; ++n) {
      options.faults.set(*rc::gen::inRange<std::size_t>(0, kFaultCount));
    }
    const OutcomeCounts counts = RunSchedule(options);
    RC_LOG() << FaultSetName(options.faults) << "\n";
    RC_ASSERT(counts.doubled == 0);
    RC_ASSERT(counts.false_not_run == 0);
    RC_ASSERT(counts.wrong_answer == 0);
    RC_ASSERT(counts.incomplete_as_complete == 0);
    RC_ASSERT(counts.unsafe_use == 0);
    RC_ASSERT(counts.stuck == 0);
  });
}

TEST_CASE("Schedules with the same seed have the same outcome") {
  ScheduleOptions options;
  options.seed = 77;
  options.faults = Faults({Fault::kRouterCrash, Fault::kLostAnswer});
  const OutcomeCounts first = RunSchedule(options);
  const OutcomeCounts second = RunSchedule(options);
  CHECK(first.table_rows == second.table_rows);
  CHECK(first.executed_once == second.executed_once);
}

/// A guard and faults under which switching it off breaks a promise.
struct Mutant {
  std::string name;
  bool Guards::*guard;
  FaultSet faults;
};

const std::vector<Mutant>& Mutants() {
  static const std::vector<Mutant> mutants{
      {"agent_incarnation", &Guards::agent_incarnation,
       Faults({Fault::kAgentCrash, Fault::kLinkBreak, Fault::kRouterPause})},
      {"duplicate_attempt", &Guards::duplicate_attempt,
       Faults({Fault::kDuplicate})},
      {"operation_dedup", &Guards::operation_dedup,
       Faults({Fault::kLinkBreak, Fault::kRouterCrash})},
      {"fence", &Guards::fence,
       Faults({Fault::kLateMessage, Fault::kLinkBreak, Fault::kRepeat,
               Fault::kUpstreamCrash})},
      {"claim", &Guards::claim, Faults({Fault::kRepeat, Fault::kLeave})},
      {"unknown_commit", &Guards::unknown_commit,
       Faults({Fault::kOutage, Fault::kRepeat, Fault::kUpstreamCrash})},
      {"takeover_incarnation", &Guards::takeover_incarnation,
       Faults({Fault::kAgentCrash, Fault::kLinkBreak})},
      {"sole_claim", &Guards::sole_claim,
       Faults({Fault::kAgentCrash, Fault::kLinkBreak, Fault::kRepeat})},
      {"body_digest", &Guards::body_digest, Faults({Fault::kRepeat})},
      {"team_scope", &Guards::team_scope, Faults({Fault::kRepeat})},
      {"attempt_match", &Guards::attempt_match, Faults({Fault::kCrossAnswer})},
      {"positions", &Guards::positions, Faults({Fault::kChunkLoss})},
      {"complete_answer", &Guards::complete_answer,
       Faults({Fault::kChunkLoss})},
      {"engine_incarnation", &Guards::engine_incarnation,
       Faults({Fault::kUpstreamCrash, Fault::kLateMessage})},
      {"draining_is_final", &Guards::draining_is_final,
       Faults({Fault::kLeave})},
  };
  return mutants;
}

TEST_CASE("Disabling any single guard violates a guarantee") {
  for (const Mutant& mutant : Mutants()) {
    DYNAMIC_SECTION(mutant.name) {
      ScheduleOptions options;
      options.faults = mutant.faults;
      options.guards.*mutant.guard = false;
      std::uint64_t violations = 0;
      for (std::uint64_t n = 0; n < kMutantSchedules && violations == 0; ++n) {
        options.seed = n;
        violations = RunSchedule(options).Violations();
      }
      CHECK(violations > 0);
    }
  }
}

}  // namespace
}  // namespace yuccapick::outcome
