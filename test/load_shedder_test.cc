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

/// What callers got on a played day.
struct Served {
  int in_time = 0;
  int late = 0;
  int refused = 0;
  int abandoned = 0;
};

/// Callers of a few engines, which begin answers in the order of arrival.
/// Callers leave when an answer does not begin in time.
class LoadPlay {
 public:
  explicit LoadPlay(bool shed) : shed_(shed) {}

  /// @param load times what the engines can do
  Served Play(double load, milliseconds length) {
    Served served;
    for (milliseconds t{0}; t < length; t += kStep) {
      now_ += kStep;
      arrivals_ += load * kCapacityPerStep;
      for (; arrivals_ >= 1.0; arrivals_ -= 1.0) Arrive(served);
      work_ += kCapacityPerStep;
      for (; work_ >= 1.0; work_ -= 1.0) BeginOne(served);
    }
    return served;
  }

  double share() const { return shedder_.share(); }

 private:
  static constexpr double kCapacityPerStep = 2.0;
  static constexpr milliseconds kCallerPatience{2'400};
  static constexpr milliseconds kRead{80};

  void Arrive(Served& served) {
    if (shed_) shedder_.Update(estimate_.mean(), kTarget, now_);
    if (shedder_.ShouldReject(random_())) {
      ++served.refused;
    } else {
      queue_.push_back(now_);
    }
  }

  void BeginOne(Served& served) {
    while (!queue_.empty() && now_ - queue_.front() > kCallerPatience) {
      ++served.abandoned;
      queue_.pop_front();
    }
    if (queue_.empty()) return;
    const auto waited =
        std::chrono::duration_cast<milliseconds>(now_ - queue_.front()) + kRead;
    queue_.pop_front();
    estimate_.OnSample(waited);
    ++(waited <= kTarget ? served.in_time : served.late);
  }

  bool shed_;
  TimePoint now_ = kStart;
  double arrivals_ = 0;
  double work_ = 0;
  std::deque<TimePoint> queue_;
  LatencyEstimate estimate_;
  LoadShedder shedder_;
  std::mt19937_64 random_{7};
};

TEST_CASE("Nothing is refused while answers begin in time") {
  LoadPlay play(true);
  const Served served = play.Play(0.9, milliseconds(20'000));
  CHECK(served.refused == 0);
  CHECK(served.late == 0);
}

TEST_CASE("Half as much again as engines can do: more callers are in time") {
  const Served queued = LoadPlay(false).Play(1.5, milliseconds(30'000));
  const Served shed = LoadPlay(true).Play(1.5, milliseconds(30'000));
  CHECK(shed.in_time > 2 * queued.in_time);
  // What is refused would have been left: as many are served.
  CHECK(shed.in_time + shed.late > 0.95 * (queued.in_time + queued.late));
  CHECK(shed.abandoned < queued.abandoned / 4);
}

TEST_CASE("When the load falls, refusing ends within three seconds") {
  LoadPlay play(true);
  const Served served = play.Play(1.5, milliseconds(20'000));
  REQUIRE(served.refused > served.in_time / 4);
  play.Play(0.7, milliseconds(3'000));
  CHECK(play.share() == 0.0);
}

TEST_CASE("A short burst is queued, not refused") {
  LoadPlay play(true);
  play.Play(0.8, milliseconds(5'000));
  const Served served = play.Play(1.5, milliseconds(500));
  CHECK(served.refused < 10);
}

TEST_CASE("The refused share is bounded, and a route without target has none") {
  LoadShedder shedder;
  TimePoint now = kStart;
  for (int i = 0; i < 1'000; ++i) {
    shedder.Update(milliseconds(60'000), kTarget, now += milliseconds(100));
  }
  CHECK(shedder.share() == LoadShedderOptions().most);
  shedder.Update(milliseconds(60'000), milliseconds(0), now);
  CHECK_FALSE(shedder.ShouldReject(0));
}

}  // namespace
}  // namespace yuccapick
