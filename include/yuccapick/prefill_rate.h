#ifndef YUCCAPICK_PREFILL_RATE_H_
#define YUCCAPICK_PREFILL_RATE_H_

/// @file
/// Learns how fast a service's engines compute prompts.

#include <chrono>
#include <cstdint>

namespace yuccapick {

/// Estimates the prefill time per token from prompts of different lengths: the
/// slope of the median of the time to the first event over the tokens to
/// compute, by stochastic gradient descent on the absolute error. Samples that
/// waited in a queue, or whose tokens were partly cached, move the estimate no
/// more than others.
class PrefillRateEstimate {
 public:
  using Time = std::chrono::duration<double, std::milli>;

  /// @param tokens that the engine had to compute, as far as known
  /// @param time from sending the prompt to the first event
  void OnSample(std::uint32_t tokens, Time time);

  /// @param tokens that the engine has to compute
  /// @return median time to the first event without a queue; 0 before there are
  ///   samples
  Time TimeFor(std::uint32_t tokens) const;

  /// @return prompt tokens per millisecond; an initial guess before there are
  ///   samples
  double tokens_per_ms() const;

 private:
  bool sampled_ = false;
  double mean_k_tokens_ = 0;  ///< Of recent samples, in thousands.
  Time at_mean_{0};           ///< Median time of a prompt of that length.
  Time per_k_tokens_{10.0};
};

}  // namespace yuccapick

#endif  // YUCCAPICK_PREFILL_RATE_H_
