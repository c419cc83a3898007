#include "yuccapick/attempt_policy.h"

namespace yuccapick {
namespace {

/// True if the end says that this attempt has not run the request.
bool DidNotRun(AttemptEnd end) {
  return end == AttemptEnd::kNotSent || end == AttemptEnd::kWrongUpstream ||
         end == AttemptEnd::kRejected;
}

/// An attempt that no upstream was named for does not count towards the limit.
bool MaySendAgain(const RetryContext& facts, AttemptEnd end) {
  if (!facts.time_left || !facts.has_upstream) return false;
  if (end == AttemptEnd::kNotSent) return true;
  if (!facts.budget_left) return false;
  if (end == AttemptEnd::kWrongUpstream) return true;
  if (facts.delivered_attempts >= facts.max_attempts) return false;
  return DidNotRun(end) || facts.may_repeat;
}

}  // namespace

RetryDecision DecideRetry(const RetryContext& facts, AttemptEnd end) {
  if (end != AttemptEnd::kTimedOut && MaySendAgain(facts, end)) {
    return RetryDecision::kSendElsewhere;
  }
  if (facts.answer_started) return RetryDecision::kCutOff;
  if (end == AttemptEnd::kFailedStatus) return RetryDecision::kPassOn;
  if (DidNotRun(end) && !facts.may_have_run) return RetryDecision::kRefuse;
  return facts.time_left && end != AttemptEnd::kTimedOut
             ? RetryDecision::kFail
             : RetryDecision::kTimeOut;
}

std::string_view AttemptEndName(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kNotSent:
      return "not_sent";
    case AttemptEnd::kWrongUpstream:
      return "wrong_upstream";
    case AttemptEnd::kRejected:
      return "rejected";
    case AttemptEnd::kFailedStatus:
      return "failed_status";
    case AttemptEnd::kBroken:
      return "broken";
    case AttemptEnd::kTimedOut:
      return "timed_out";
  }
  return "unknown";
}

std::string_view RetryDecisionName(RetryDecision step) {
  switch (step) {
    case RetryDecision::kSendElsewhere:
      return "send_elsewhere";
    case RetryDecision::kPassOn:
      return "pass_on";
    case RetryDecision::kRefuse:
      return "refuse";
    case RetryDecision::kFail:
      return "fail";
    case RetryDecision::kTimeOut:
      return "time_out";
    case RetryDecision::kCutOff:
      return "cut_off";
  }
  return "unknown";
}

}  // namespace yuccapick
