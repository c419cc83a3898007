#include "yuccapick/attempt_policy.h"

namespace yuccapick {
namespace {

/// True if an attempt that ended this way did not run the request.
bool DidNotRun(AttemptEnd end) {
  return end == AttemptEnd::kNotSent || end == AttemptEnd::kWrongUpstream ||
         end == AttemptEnd::kRejected;
}

/// Attempts that were not sent cost neither budget nor attempts; those refused
/// by a wrong upstream cost budget only.
bool MayRetry(const RetryContext& context, AttemptEnd end) {
  if (!context.time_left || !context.has_upstream) return false;
  if (end == AttemptEnd::kNotSent) return true;
  if (!context.budget_left) return false;
  if (end == AttemptEnd::kWrongUpstream) return true;
  // The upstream to return to may have run the request.
  if (context.returns_only) return context.may_repeat;
  if (context.delivered_attempts >= context.max_attempts) return false;
  return DidNotRun(end) || context.may_repeat;
}

}  // namespace

RetryDecision DecideRetry(const RetryContext& context, AttemptEnd end) {
  if (end != AttemptEnd::kTimedOut && MayRetry(context, end)) {
    return RetryDecision::kSendElsewhere;
  }
  if (context.answer_started) return RetryDecision::kCutOff;
  if (end == AttemptEnd::kFailedStatus) return RetryDecision::kPassOn;
  if (DidNotRun(end) && !context.may_have_run) return RetryDecision::kRefuse;
  return context.time_left && end != AttemptEnd::kTimedOut
             ? RetryDecision::kFail
             : RetryDecision::kTimeOut;
}

SilenceDecision DecideSilence(const RetryContext& context) {
  RetryContext left = context;
  ++left.delivered_attempts;
  left.may_have_run = true;
  left.returns_only = false;
  return DecideRetry(left, AttemptEnd::kBroken) == RetryDecision::kSendElsewhere
             ? SilenceDecision::kHandOver
             : SilenceDecision::kWait;
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

std::string_view RetryDecisionName(RetryDecision decision) {
  switch (decision) {
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
