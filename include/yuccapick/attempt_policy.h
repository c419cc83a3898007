#ifndef YUCCAPICK_ATTEMPT_POLICY_H_
#define YUCCAPICK_ATTEMPT_POLICY_H_

/// @file
/// Decides whether a request is retried when an attempt at an upstream ends.

#include <cstdint>
#include <string_view>

namespace yuccapick {

/// How an attempt ended, and so whether the request may have run.
enum class AttemptEnd : std::uint8_t {
  kNotSent,        ///< No byte of the request left this process.
  kWrongUpstream,  ///< Another upstream or weight version; not executed.
  kRejected,       ///< The upstream states that it did not run it.
  kFailedStatus,   ///< The upstream ran it and answered with a failure.
  kBroken,         ///< Sent, but no complete valid answer arrived.
  kTimedOut,       ///< The request's deadline passed.
};

/// What happens to the request after an attempt.
enum class RetryDecision : std::uint8_t {
  kSendElsewhere,
  kPassOn,   ///< Answer with the upstream's failure.
  kRefuse,   ///< Answer 503: it has not run and will not.
  kFail,     ///< Answer 502: it may have run.
  kTimeOut,  ///< Answer 504.
  kCutOff,   ///< Close the caller's connection: its answer has begun.
};

/// What happens to an attempt whose upstream has been silent for long.
enum class SilenceDecision : std::uint8_t {
  kWait,
  /// Send the request elsewhere, and end the attempt when another upstream has
  /// taken it: until then the attempt may still go on.
  kHandOver,
};

/// State of a request when an attempt ends.
struct RetryContext {
  bool may_repeat = false;      ///< Safe to run more than once.
  bool answer_started = false;  ///< The answer's head was sent to the caller.
  bool may_have_run = false;    ///< An earlier attempt may have run.
  bool time_left = true;
  bool budget_left = true;   ///< The service's retry budget is not spent.
  bool has_upstream = true;  ///< An upstream that was not tried is usable.
  std::uint32_t delivered_attempts = 0;  ///< Attempts that reached an upstream.
  /// Upstreams that the request may be sent to.
  std::uint32_t max_attempts = 1;
  /// The usable upstreams were sent the request before, and were given up only
  /// since they were silent: another attempt there adds no upstream.
  bool returns_only = false;
};

/// Has no side effects; the caller carries out the decision.
RetryDecision DecideRetry(const RetryContext& context, AttemptEnd end);

/// Has no side effects. A silent upstream may be sound: an attempt is not left
/// unless `DecideRetry` would send the request elsewhere.
/// @param context while the attempt is under way
SilenceDecision DecideSilence(const RetryContext& context);

std::string_view AttemptEndName(AttemptEnd end);
std::string_view RetryDecisionName(RetryDecision decision);

}  // namespace yuccapick

#endif  // YUCCAPICK_ATTEMPT_POLICY_H_
