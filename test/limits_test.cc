#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>

#include "util/detail/limits_run.h"
#include "yuccapick/circuit_breaker.h"
#include "yuccapick/fair_queue.h"

namespace yuccapick {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

bool AnyTeam(const TeamId& /*team*/) { return true; }

QueuedWork Work(int n, const std::string& team, bool urgent = false) {
  QueuedWork work;
  work.attempt = AttemptId(std::to_string(n));
  work.team = TeamId(team);
  work.urgent = urgent;
  work.deadline = kStart;
  return work;
}

TEST_CASE("A small team's work does not wait for a large team's backlog") {
  FairQueue queue;
  for (int n = 0; n < 50; ++n) queue.Push(Work(n, "large"));
  queue.Push(Work(50, "small"));
  int before = 0;
  while (queue.Pop(AnyTeam)->team != TeamId("small")) ++before;
  CHECK(before <= 1);
}

TEST_CASE("Urgent work starts first but does not starve normal work") {
  rc::prop("one in eight starts is normal work", [] {
    FairQueue queue;
    for (int n = 0; n < 60; ++n) queue.Push(Work(n, "a", true));
    queue.Push(Work(100, "b"));
    const int ahead = *rc::gen::inRange(0, 3);
    for (int n = 0; n < ahead; ++n) queue.Push(Work(101 + n, "c"));
    int starts = 0;
    while (queue.Pop(AnyTeam)->urgent) ++starts;
    RC_ASSERT(starts == 7);
  });
}

TEST_CASE("A team's queue is bounded and expired work is removed") {
  FairQueue queue({2, 10, 7});
  CHECK(queue.Push(Work(1, "a")) == FairQueue::PushResult::kQueued);
  CHECK(queue.Push(Work(2, "a")) == FairQueue::PushResult::kQueued);
  CHECK(queue.Push(Work(3, "a")) == FairQueue::PushResult::kTeamFull);
  CHECK(queue.TakeExpired(kStart).size() == 2);
  CHECK(queue.size() == 0);
}

TEST_CASE(
    "Failing upstreams are ejected up to the cap and return after a time") {
  CircuitBreaker breaker;
  for (const char* id : {"a", "b", "c"}) {
    for (int n = 0; n < 5; ++n) breaker.OnFailure(UpstreamId(id), kStart);
  }
  CHECK(breaker.Ejected(3, kStart).size() == 1);
  CHECK(breaker.Ejected(9, kStart).size() == 3);
  CHECK(breaker.Ejected(9, kStart + std::chrono::minutes(1)).empty());
  breaker.OnSuccess(UpstreamId("a"));
  CHECK(breaker.Ejected(9, kStart).size() == 2);
}

TEST_CASE("Retries do not multiply an overload") {
  const outcome::AmplificationResult result =
      outcome::RunAmplification(7, 2'000);
  CHECK(result.requests == 2'000);
  CHECK(result.attempts <= result.requests * 11 / 10 + 10);
}

TEST_CASE(
    "Tenfold load of a large team does not raise a small team's latency") {
  using outcome::RunShares;
  const auto at = [](double load) {
    return RunShares({7, load, std::chrono::seconds(120)});
  };
  const outcome::ShareResult fair = at(1.0);
  const outcome::ShareResult flooded = at(10.0);
  CHECK(flooded.small_refused == 0);
  CHECK(flooded.small_first_token_p95.count() <
        fair.small_first_token_p95.count() * 11 / 10);
}

TEST_CASE("Claims at 300 operations per second are batched into fewer writes") {
  const outcome::ClaimCostResult cost = outcome::RunClaims(7, 300);
  CHECK(cost.operations > 2 * cost.table_writes);
}

}  // namespace
}  // namespace yuccapick
