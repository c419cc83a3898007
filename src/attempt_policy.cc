#include "yuccapick/attempt_policy.h"

namespace yuccapick {
namespace {

/// True if the end says that this attempt has not run the request.
bool DidNotRun(AttemptEnd end) {
  return end == AttemptEnd::kNotSent || end == AttemptEnd::kWrongUpstream ||
         end == AttemptEnd::kRejected;
}

/// An attempt that no upstream was named for does not count towards the limit.
bool MaySendAgain(const FlightFacts& facts, AttemptEnd end) {
  if (!facts.time_left || !facts.has_upstream) return false;
  if (end == AttemptEnd::kNotSent) return true;
  if (!facts.budget_left) return false;
  if (end == AttemptEnd::kWrongUpstream) return true;
  if (facts.arrivals >= facts.max_attempts) return false;
  return DidNotRun(end) || facts.may_repeat;
}

}  // namespace

FlightStep DecideNextStep(const FlightFacts& facts, AttemptEnd end) {
  if (end != AttemptEnd::kTimedOut && MaySendAgain(facts, end)) {
    return FlightStep::kSendElsewhere;
  }
  if (facts.answer_started) return FlightStep::kCutOff;
  if (end == AttemptEnd::kFailedStatus) return FlightStep::kPassOn;
  if (DidNotRun(end) && !facts.may_have_run) return FlightStep::kRefuse;
  return facts.time_left && end != AttemptEnd::kTimedOut ? FlightStep::kFail
                                                         : FlightStep::kTimeOut;
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

std::string_view FlightStepName(FlightStep step) {
  switch (step) {
    case FlightStep::kSendElsewhere:
      return "send_elsewhere";
    case FlightStep::kPassOn:
      return "pass_on";
    case FlightStep::kRefuse:
      return "refuse";
    case FlightStep::kFail:
      return "fail";
    case FlightStep::kTimeOut:
      return "time_out";
    case FlightStep::kCutOff:
      return "cut_off";
  }
  return "unknown";
}

}  // namespace yuccapick
