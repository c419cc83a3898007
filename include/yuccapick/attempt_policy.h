#ifndef YUCCAPICK_ATTEMPT_POLICY_H_
#define YUCCAPICK_ATTEMPT_POLICY_H_

/// @file
/// Decides what follows when an attempt at an upstream has ended.

#include <cstdint>
#include <string_view>

namespace yuccapick {

/// How an attempt ended, for what it says of execution.
enum class AttemptEnd : std::uint8_t {
  kNotSent,        ///< No byte of the request left this process.
  kWrongUpstream,  ///< Another upstream or weight version; not executed.
  kRejected,       ///< The upstream says that it did not execute it.
  kFailedStatus,   ///< The upstream ran it and answered with a failure.
  kBroken,         ///< Sent, but no complete and valid answer came.
  kTimedOut,       ///< The time that the request may take is over.
};

/// What happens to the request next.
enum class RetryDecision : std::uint8_t {
  kSendElsewhere,
  kPassOn,   ///< The upstream's failure is the answer.
  kRefuse,   ///< Answer 503: it has not run and will not.
  kFail,     ///< Answer 502: it may have run.
  kTimeOut,  ///< Answer 504.
  kCutOff,   ///< Close the caller's connection in the middle of the answer.
};

/// What is known of a request when an attempt ends.
struct RetryContext {
  bool may_repeat = false;      ///< It may run more than once.
  bool answer_started = false;  ///< The caller has got the answer's head.
  bool may_have_run = false;    ///< Some attempt before may have run.
  bool time_left = true;
  bool budget_left = true;   ///< The service's retry budget.
  bool has_upstream = true;  ///< An upstream that was not tried is usable.
  std::uint32_t delivered_attempts = 0;  ///< Attempts that reached an upstream.
  std::uint32_t max_attempts = 1;
};

/// Pure decision; the caller of this function carries it out.
RetryDecision DecideRetry(const RetryContext& facts, AttemptEnd end);

std::string_view AttemptEndName(AttemptEnd end);
std::string_view RetryDecisionName(RetryDecision step);

}  // namespace yuccapick

#endif  // YUCCAPICK_ATTEMPT_POLICY_H_
