#include <catch2/catch.hpp>

#include "util/detail/replay_run.h"

namespace yuccapick::replay {
namespace {

constexpr std::uint64_t kSeed = 11;

Summary Measure(const Trace& trace, const std::string& policy, Fault fault) {
  return Summarise(Replay(trace, policy, fault, kSeed), kBusyStart, kTraceEnd);
}

TEST_CASE("A replay gives the same results each time") {
  const Trace trace = MakeTrace(MakeDeployment("kneadwell"), 0.5, kSeed);
  const auto first = Replay(trace, "yuccapick", Fault::kEngineCrash, kSeed);
  const auto second = Replay(trace, "yuccapick", Fault::kEngineCrash, kSeed);
  REQUIRE(first.size() == second.size());
  for (std::size_t n = 0; n < first.size(); ++n) {
    REQUIRE(first[n].first_token == second[n].first_token);
    REQUIRE(first[n].cached_tokens == second[n].cached_tokens);
  }
}

TEST_CASE("Every request is answered when engines crash") {
  const Trace trace = MakeTrace(MakeDeployment("sendetechnik"), 0.8, kSeed);
  for (const auto& result :
       Replay(trace, "yuccapick", Fault::kEngineCrash, kSeed)) {
    REQUIRE(result.first_token.count() >= 0);
  }
}

TEST_CASE("Placement beats least-loaded and matches omniscient hit rates") {
  for (const std::string deployment : {"sendetechnik", "kneadwell"}) {
    const Trace trace = MakeTrace(MakeDeployment(deployment), 0.8, kSeed);
    const Summary ours = Measure(trace, "yuccapick", Fault::kEventsLost);
    const Summary greedy =
        Measure(trace, "omniscient_greedy", Fault::kEventsLost);
    const Summary least_loaded =
        Measure(trace, "least_loaded", Fault::kEventsLost);
    CHECK(ours.hit_rate >= greedy.hit_rate);
    CHECK(ours.wasted_ratio <= 0.2 * least_loaded.wasted_ratio);
    CHECK(ours.ttft_p95_ms <= 0.5 * least_loaded.ttft_p95_ms);
  }
}

}  // namespace
}  // namespace yuccapick::replay
