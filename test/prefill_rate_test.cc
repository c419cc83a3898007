#include "yuccapick/prefill_rate.h"

#include <catch2/catch.hpp>
#include <random>

namespace yuccapick {
namespace {

using Time = PrefillRateEstimate::Time;

constexpr int kSamples = 1'000;
constexpr Time kOverhead{12.0};

/// Prompts of engines that compute `tokens_per_ms`.
class Engines {
 public:
  Engines(double tokens_per_ms, double queued_share, double cached_share)
      : tokens_per_ms_(tokens_per_ms),
        queued_share_(queued_share),
        cached_share_(cached_share) {}

  void Sample(PrefillRateEstimate& rate) {
    // A short prompt, or a long one with a long tail of lengths.
    std::uint32_t tokens = 600;
    if (Happens(0.5)) {
      std::lognormal_distribution<double> length(8.1, 0.7);
      tokens = static_cast<std::uint32_t>(length(random_));
    }
    // Part of what counts as missing may be cached.
    const double computed = Happens(cached_share_) ? tokens / 3.0 : tokens;
    Time time = kOverhead + Time(computed / tokens_per_ms_);
    if (Happens(queued_share_)) {
      time += Time(std::exponential_distribution<double>(1 / 300.0)(random_));
    }
    rate.OnSample(tokens, time);
  }

 private:
  bool Happens(double probability) {
    return std::bernoulli_distribution(probability)(random_);
  }

  double tokens_per_ms_;
  double queued_share_;
  double cached_share_;
  std::mt19937 random_{5};
};

TEST_CASE("The rate of engines of any speed is learned") {
  for (const double tokens_per_ms : {30.0, 60.0, 74.8, 92.1, 120.0, 400.0}) {
    Engines engines(tokens_per_ms, 0.2, 0.1);
    PrefillRateEstimate rate;
    for (int i = 0; i < kSamples; ++i) engines.Sample(rate);
    CHECK(rate.tokens_per_ms() == Approx(tokens_per_ms).epsilon(0.25));
  }
}

TEST_CASE("Queues at a third of the engines change the rate little") {
  Engines engines(75.0, 0.33, 0.0);
  PrefillRateEstimate rate;
  for (int i = 0; i < kSamples; ++i) engines.Sample(rate);
  CHECK(rate.tokens_per_ms() == Approx(75.0).epsilon(0.25));
}

TEST_CASE("A new rate replaces the learned one") {
  PrefillRateEstimate rate;
  Engines before(120.0, 0.1, 0.1);
  for (int i = 0; i < kSamples; ++i) before.Sample(rate);
  Engines after(40.0, 0.1, 0.1);
  for (int i = 0; i < kSamples; ++i) after.Sample(rate);
  CHECK(rate.tokens_per_ms() == Approx(40.0).epsilon(0.25));
}

TEST_CASE("Prompts of one length, or of none, leave the rate within bounds") {
  PrefillRateEstimate rate;
  for (int i = 0; i < kSamples; ++i) rate.OnSample(0, Time(0));
  for (int i = 0; i < kSamples; ++i) rate.OnSample(3'000, Time(50'000));
  CHECK(rate.tokens_per_ms() >= 5.0);
  CHECK(rate.tokens_per_ms() <= 2'000.0);
}

}  // namespace
}  // namespace yuccapick
