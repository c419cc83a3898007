#include "yuccapick/load_shedder.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "yuccapick/latency_estimate.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
constexpr milliseconds kTarget{400};
constexpr milliseconds kStep{10};

/// Counts of simulated callers by outcome.
struct CallerOutcomes {
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int abandoned = 0;
};

/// Simulates callers of a few engines that begin answers in order of arrival.
/// Callers give up after `kCallerPatience`.
class OverloadSimulation {
 public:
  explicit OverloadSimulation(bool shed) : shed_(shed) {}

  /// @param load arrival rate as a multiple of the engines' capacity
  CallerOutcomes Run(double load, milliseconds length) {
    CallerOutcomes served;
    for (milliseconds t{0}; t < length; t += kStep) {
      now_ += kStep;
      arrivals_ += load * kCapacityPerStep;
      for (; arrivals_ >= 1.0; arrivals_ -= 1.0) Arrive(served);
      capacity_ += kCapacityPerStep;
      for (; capacity_ >= 1.0; capacity_ -= 1.0) BeginOne(served);
    }
    return served;
  }

  double share() const { return shedder_.share(); }

 private:
  static constexpr double kCapacityPerStep = 2.0;
  static constexpr milliseconds kCallerPatience{2'400};
  static constexpr milliseconds kReadTime{80};

  void Arrive(CallerOutcomes& served) {
    if (shed_) shedder_.Update(estimate_.mean(), kTarget, now_);
    if (shedder_.ShouldReject(random_())) {
      ++served.refused;
    } else {
      queue_.push_back(now_);
    }
  }

  void BeginOne(CallerOutcomes& served) {
    while (!queue_.empty() && now_ - queue_.front() > kCallerPatience) {
      ++served.abandoned;
      queue_.pop_front();
    }
    if (queue_.empty()) return;
    const auto waited =
        std::chrono::duration_cast<milliseconds>(now_ - queue_.front()) +
        kReadTime;
    queue_.pop_front();
    estimate_.OnSample(waited);
    ++(waited <= kTarget ? served.in_time : served.late);
  }

  bool shed_;
  TimePoint now_ = kStart;
  double arrivals_ = 0;
  double capacity_ = 0;
  std::deque<TimePoint> queue_;
  LatencyEstimate estimate_;
  LoadShedder shedder_;
  std::mt19937_64 random_{7};
};

TEST_CASE("Nothing is rejected while answers begin in time") {
  OverloadSimulation simulation(true);
  const CallerOutcomes served = simulation.Run(0.9, milliseconds(20'000));
  CHECK(served.refused == 0);
  CHECK(served.late == 0);
}

TEST_CASE("At 1.5 times the capacity, shedding serves more callers in time") {
  const CallerOutcomes queued =
      OverloadSimulation(false).Run(1.5, milliseconds(30'000));
  const CallerOutcomes shed =
      OverloadSimulation(true).Run(1.5, milliseconds(30'000));
  CHECK(shed.in_time > 2 * queued.in_time);
  // Rejected callers would have given up: about as many are served.
  CHECK(shed.in_time + shed.late > 0.95 * (queued.in_time + queued.late));
  CHECK(shed.abandoned < queued.abandoned / 4);
}

TEST_CASE("When the load falls, shedding ends within three seconds") {
  OverloadSimulation simulation(true);
  const CallerOutcomes served = simulation.Run(1.5, milliseconds(20'000));
  REQUIRE(served.refused > served.in_time / 4);
  simulation.Run(0.7, milliseconds(3'000));
  CHECK(simulation.share() == 0.0);
}

TEST_CASE("A short burst is queued, not rejected") {
  OverloadSimulation simulation(true);
  simulation.Run(0.8, milliseconds(5'000));
  const CallerOutcomes served = simulation.Run(1.5, milliseconds(500));
  CHECK(served.refused < 10);
}

TEST_CASE("The rejected share is bounded, and zero without a target") {
  LoadShedder shedder;
  TimePoint now = kStart;
  for (int i = 0; i < 1'000; ++i) {
    shedder.Update(milliseconds(60'000), kTarget, now += milliseconds(100));
  }
  CHECK(shedder.share() == LoadShedderOptions().max_share);
  shedder.Update(milliseconds(60'000), milliseconds(0), now);
  CHECK_FALSE(shedder.ShouldReject(0));
}

}  // namespace
}  // namespace yuccapick
