#include "yuccapick/attempt_policy.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

constexpr AttemptEnd kAllEnds[] = {
    AttemptEnd::kNotSent,  AttemptEnd::kWrongUpstream,
    AttemptEnd::kRejected, AttemptEnd::kFailedStatus,
    AttemptEnd::kBroken,   AttemptEnd::kTimedOut};

RetryContext SentOnce() {
  RetryContext context;
  context.delivered_attempts = 1;
  context.max_attempts = 2;
  return context;
}

TEST_CASE(
    "A request that may have run is retried only if it is safe to repeat") {
  RetryContext context = SentOnce();
  CHECK(DecideRetry(context, AttemptEnd::kBroken) == RetryDecision::kFail);
  context.may_repeat = true;
  CHECK(DecideRetry(context, AttemptEnd::kBroken) ==
        RetryDecision::kSendElsewhere);
}

TEST_CASE(
    "A rejected request is sent elsewhere until its attempts are used up") {
  RetryContext context = SentOnce();
  CHECK(DecideRetry(context, AttemptEnd::kRejected) ==
        RetryDecision::kSendElsewhere);
  context.delivered_attempts = 2;
  CHECK(DecideRetry(context, AttemptEnd::kRejected) == RetryDecision::kRefuse);
}

TEST_CASE("A failure status is forwarded if the request cannot be retried") {
  RetryContext context = SentOnce();
  CHECK(DecideRetry(context, AttemptEnd::kFailedStatus) ==
        RetryDecision::kPassOn);
  context.may_repeat = true;
  context.budget_left = false;
  CHECK(DecideRetry(context, AttemptEnd::kFailedStatus) ==
        RetryDecision::kPassOn);
}

TEST_CASE("A started answer that breaks is continued elsewhere or cut off") {
  RetryContext context = SentOnce();
  context.answer_started = true;
  context.may_repeat = true;
  CHECK(DecideRetry(context, AttemptEnd::kBroken) ==
        RetryDecision::kSendElsewhere);
  context.has_upstream = false;
  CHECK(DecideRetry(context, AttemptEnd::kBroken) == RetryDecision::kCutOff);
}

TEST_CASE("A retry after an unsent attempt needs neither budget nor attempts") {
  RetryContext context;
  context.delivered_attempts = 1;
  context.max_attempts = 1;
  context.budget_left = false;
  CHECK(DecideRetry(context, AttemptEnd::kNotSent) ==
        RetryDecision::kSendElsewhere);
}

RetryContext ArbitraryContext() {
  RetryContext context;
  context.may_repeat = *rc::gen::arbitrary<bool>();
  context.answer_started = *rc::gen::arbitrary<bool>();
  context.may_have_run = *rc::gen::arbitrary<bool>();
  context.time_left = *rc::gen::arbitrary<bool>();
  context.budget_left = *rc::gen::arbitrary<bool>();
  context.has_upstream = *rc::gen::arbitrary<bool>();
  context.delivered_attempts = *rc::gen::inRange(0U, 4U);
  context.max_attempts = *rc::gen::inRange(1U, 4U);
  context.returns_only = *rc::gen::arbitrary<bool>();
  return context;
}

TEST_CASE("The guarantees of the retry decision hold in every context") {
  rc::prop("no decision violates a guarantee", [] {
    const RetryContext context = ArbitraryContext();
    const AttemptEnd end = *rc::gen::elementOf(
        std::vector<AttemptEnd>(std::begin(kAllEnds), std::end(kAllEnds)));
    const RetryDecision decision = DecideRetry(context, end);
    const bool ran_now =
        end == AttemptEnd::kBroken || end == AttemptEnd::kFailedStatus;
    if (decision == RetryDecision::kRefuse) {
      // A refusal guarantees that the request has not run.
      RC_ASSERT(!context.may_have_run);
      RC_ASSERT(!ran_now);
    }
    if (decision == RetryDecision::kSendElsewhere) {
      RC_ASSERT(context.time_left);
      RC_ASSERT(context.has_upstream);
      if (ran_now) RC_ASSERT(context.may_repeat);
      const bool counts =
          end != AttemptEnd::kNotSent && end != AttemptEnd::kWrongUpstream;
      const bool adds_upstream = counts && !context.returns_only;
      if (adds_upstream) {
        RC_ASSERT(context.delivered_attempts < context.max_attempts);
      }
      // The upstream to return to may have run the request.
      if (counts && context.returns_only) {
        RC_ASSERT(context.may_repeat && context.budget_left);
      }
    }
    if (context.answer_started) {
      // The caller already has a head; a second one cannot be sent.
      RC_ASSERT(decision == RetryDecision::kSendElsewhere ||
                decision == RetryDecision::kCutOff);
    }
  });
}

/// Guards against a stream that is cut though the upstream that it left could
/// still go on with it.
TEST_CASE("A return to an upstream that was left adds no upstream") {
  RetryContext context;
  context.may_repeat = true;
  context.answer_started = true;
  context.may_have_run = true;
  context.delivered_attempts = 2;
  context.max_attempts = 2;
  CHECK(DecideRetry(context, AttemptEnd::kRejected) == RetryDecision::kCutOff);
  context.returns_only = true;
  CHECK(DecideRetry(context, AttemptEnd::kRejected) ==
        RetryDecision::kSendElsewhere);
  context.budget_left = false;
  CHECK(DecideRetry(context, AttemptEnd::kRejected) == RetryDecision::kCutOff);
}

/// Guards against an answer that is cut, or a request that fails, though its
/// upstream may still go on.
TEST_CASE("A silent upstream is left only for a retry that will be made") {
  rc::prop("in every context", [] {
    const RetryContext context = ArbitraryContext();
    RetryContext left = context;
    ++left.delivered_attempts;
    left.may_have_run = true;
    left.returns_only = false;
    const bool retried =
        DecideRetry(left, AttemptEnd::kBroken) == RetryDecision::kSendElsewhere;
    const SilenceDecision decision = DecideSilence(context);
    RC_ASSERT((decision == SilenceDecision::kHandOver) == retried);
    if (decision == SilenceDecision::kHandOver) {
      RC_ASSERT(context.may_repeat);
      RC_ASSERT(context.has_upstream && context.budget_left);
      RC_ASSERT(context.delivered_attempts + 1 < context.max_attempts);
    }
  });
}

}  // namespace
}  // namespace yuccapick
