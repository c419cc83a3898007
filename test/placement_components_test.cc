#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

#include "yuccapick/byte_token_calibration.h"
#include "yuccapick/hot_prefix.h"
#include "yuccapick/load_model.h"
#include "yuccapick/placement_cost.h"
#include "yuccapick/prefix_cache_index.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

TEST_CASE("Recomputation costs more as the fleet fills and queues grow") {
  rc::prop("the cost rises with utilisation and queue", [] {
    CostInputs inputs;
    inputs.prefill = *rc::gen::inRange(1, 300) / 100.0;
    inputs.mean_prefill = *rc::gen::inRange(1, 100) / 100.0;
    inputs.queue = *rc::gen::inRange(0, 300) / 100.0;
    inputs.utilisation = *rc::gen::inRange(0, 80) / 100.0;
    CostInputs fuller = inputs;
    fuller.utilisation += 0.1;
    CostInputs longer = inputs;
    longer.queue += 0.5;
    RC_ASSERT(DelayedRequests(fuller) > DelayedRequests(inputs));
    RC_ASSERT(DelayedRequests(longer) >= DelayedRequests(inputs));
    RC_ASSERT(PlacementCost(inputs) >= inputs.prefill);
  });
}

TEST_CASE("A copy that many requests will use is cheaper") {
  CostInputs inputs;
  inputs.prefill = 1.0;
  inputs.mean_prefill = 0.2;
  inputs.utilisation = 0.7;
  CostInputs hot = inputs;
  hot.reuses = 10;
  CHECK(PlacementCost(hot) < PlacementCost(inputs));
}

TEST_CASE("Dispatched work is added to the reported backlog and drains") {
  LoadModel load(milliseconds(300));
  LoadReport report;
  report.prefill_tokens_per_second = 10'000;
  report.queued_prefill_tokens = 10'000;
  load.ApplyReport(report, kStart);
  CHECK(load.WaitSeconds(kStart) == Approx(0.7));
  load.OnDispatched(5'000, false, kStart);
  CHECK(load.WaitSeconds(kStart) == Approx(1.2));
  CHECK(load.WaitSeconds(kStart + seconds(2)) == 0);
}

TEST_CASE("A report does not remove work sent after its state") {
  LoadModel load(milliseconds(300));
  LoadReport report;
  report.prefill_tokens_per_second = 10'000;
  load.ApplyReport(report, kStart);
  load.OnDispatched(20'000, false, kStart + milliseconds(100));
  load.ApplyReport(report, kStart + milliseconds(200));
  CHECK(load.WaitSeconds(kStart + milliseconds(200)) == Approx(1.9));
  report.queued_prefill_tokens = 0;
  load.ApplyReport(report, kStart + seconds(5));
  CHECK(load.WaitSeconds(kStart + seconds(5)) == 0);
}

TEST_CASE("Urgent work waits only for running prefill and urgent work") {
  LoadModel load(milliseconds(0));
  LoadReport report;
  report.prefill_tokens_per_second = 10'000;
  report.queued_prefill_tokens = 50'000;
  load.ApplyReport(report, kStart);
  CHECK(load.UrgentWaitSeconds(0.2, kStart) == Approx(0.2));
  load.OnDispatched(1'000, true, kStart);
  CHECK(load.UrgentWaitSeconds(0.2, kStart) == Approx(0.3));
  load.OnPrefilled(1'000, true);
  CHECK(load.UrgentWaitSeconds(0.2, kStart) == Approx(0.2));
}

TEST_CASE("Demand rises at once and falls slowly") {
  HotPrefixes hot(100);
  for (int n = 0; n < 30; ++n) hot.OnRequest(7, kStart + milliseconds(100 * n));
  const TimePoint after = kStart + seconds(3);
  CHECK(hot.RatePerSecond(7, after) > 5.0);
  CHECK(hot.RatePerSecond(7, after + seconds(5)) > 1.0);
  CHECK(hot.RatePerSecond(7, after + seconds(60)) < 0.1);
  CHECK(hot.RatePerSecond(8, after) == 0);
}

TEST_CASE("The number of tracked prefixes is bounded and hot ones stay") {
  HotPrefixes hot(100);
  for (std::uint64_t n = 0; n < 10'000; ++n) {
    hot.OnRequest(1, kStart + milliseconds(n));
    hot.OnRequest(n + 10, kStart + milliseconds(n));
  }
  CHECK(hot.Size() <= 100);
  CHECK(hot.RatePerSecond(1, kStart + seconds(10)) > 100);
}

TEST_CASE("An index is bounded for each engine and keeps used entries") {
  PrefixCacheIndex index(64);
  index.Store(3, 1, kStart);
  for (std::uint64_t n = 2; n < 10'000; ++n) {
    index.Store(3, n, kStart + milliseconds(n));
    index.Store(3, 1, kStart + milliseconds(n));
  }
  CHECK(index.Size(3) <= 64);
  CHECK(index.Holders(1).size() == 1);
}

TEST_CASE("No entry is valid after its engine's incarnation ended") {
  rc::prop("holders of a previous generation are not valid", [] {
    PrefixCacheIndex index(512);
    const auto hashes = *rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(1, 50));
    for (const std::uint64_t hash : hashes) index.Store(0, hash, kStart);
    index.Reset(0);
    for (const std::uint64_t hash : hashes) {
      for (const PrefixHolder& holder : index.Holders(hash)) {
        RC_ASSERT(!index.Valid(holder, kStart));
      }
    }
    RC_ASSERT(index.Size(0) == 0);
  });
}

TEST_CASE("Entries expire by the idle time at which an engine evicts") {
  PrefixCacheIndex index(512);
  index.Store(0, 1, kStart);
  index.Store(0, 2, kStart);
  CHECK(index.Valid(index.Holders(2)[0], kStart + seconds(30)));
  index.Evict(0, 1, kStart + seconds(4));
  CHECK(index.Valid(index.Holders(2)[0], kStart + seconds(5)));
  CHECK_FALSE(index.Valid(index.Holders(2)[0], kStart + seconds(30)));
  for (int n = 0; n < 100; ++n) index.OnMiss(0, 2.0);
  CHECK_FALSE(index.Valid(index.Holders(2)[0], kStart + seconds(5)));
}

TEST_CASE("Calibration finds the ratio and ignores impossible counts") {
  rc::prop("estimates come close to the true ratio", [] {
    const double ratio = *rc::gen::inRange(10, 80) / 100.0;
    ByteTokenCalibration calibration;
    const ModelId model("fen-3b");
    for (int n = 0; n < 50; ++n) {
      const auto bytes = *rc::gen::inRange<std::uint64_t>(1'000, 100'000);
      calibration.Observe(model, bytes,
                          static_cast<std::uint64_t>(ratio * bytes));
      calibration.Observe(model, bytes, 0);
      calibration.Observe(model, bytes, bytes * 100);
    }
    RC_ASSERT(std::abs(calibration.TokensPerByte(model) - ratio) < 0.02);
  });
}

}  // namespace
}  // namespace yuccapick
