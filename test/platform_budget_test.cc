#include "yuccapick/platform_budget.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <vector>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

TEST_CASE("Calls of any pattern stay within rate and burst") {
  rc::prop("within rate and burst", [] {
    const auto gaps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200));
    PlatformBudgetOptions options;
    options.reads_per_second = 20;
    options.read_burst = 5;
    PlatformBudget budget(options);
    const TimePoint start;
    TimePoint now = start;
    double taken = 0;
    for (const int gap : gaps) {
      now += milliseconds(gap);
      taken += budget.TakeRead(now) ? 1 : 0;
    }
    const std::chrono::duration<double> passed = now - start;
    RC_ASSERT(taken <= 5 + 20 * passed.count() + 1e-6);
  });
}

TEST_CASE("Retries dry up while the platform answers nothing") {
  PlatformBudgetOptions options;
  options.retry_burst = 3;
  options.retries_per_success = 0.5;
  PlatformBudget budget(options);
  TimePoint now;
  for (int i = 0; i < 3; ++i) CHECK(budget.TakeRetry(1, now).has_value());
  now += std::chrono::hours(1);
  CHECK_FALSE(budget.TakeRetry(1, now).has_value());
  budget.OnAnswered();
  CHECK_FALSE(budget.TakeRetry(1, now).has_value());
  budget.OnAnswered();
  CHECK(budget.TakeRetry(1, now).has_value());
}

TEST_CASE("The back-off is jittered between nothing and its doubled bound") {
  rc::prop("full jitter", [](std::uint64_t seed) {
    const auto retry = *rc::gen::inRange<std::uint32_t>(1, 40);
    PlatformBudgetOptions options;
    options.initial_backoff = milliseconds(10);
    options.max_backoff = milliseconds(1000);
    options.seed = seed;
    PlatformBudget budget(options);
    const auto delay = budget.TakeRetry(retry, TimePoint());
    RC_ASSERT(delay.has_value());
    RC_ASSERT(*delay >= milliseconds(0));
    RC_ASSERT(*delay <= milliseconds(1000));
    if (retry == 1) RC_ASSERT(*delay <= milliseconds(10));
  });
}

}  // namespace
}  // namespace yuccapick
