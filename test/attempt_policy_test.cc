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
  RetryContext facts;
  facts.delivered_attempts = 1;
  facts.max_attempts = 2;
  return facts;
}

TEST_CASE(
    "A request that may have run is not sent again unless it may repeat") {
  RetryContext facts = SentOnce();
  CHECK(DecideRetry(facts, AttemptEnd::kBroken) == RetryDecision::kFail);
  facts.may_repeat = true;
  CHECK(DecideRetry(facts, AttemptEnd::kBroken) ==
        RetryDecision::kSendElsewhere);
}

TEST_CASE("A rejected request goes elsewhere within its attempts") {
  RetryContext facts = SentOnce();
  CHECK(DecideRetry(facts, AttemptEnd::kRejected) ==
        RetryDecision::kSendElsewhere);
  facts.delivered_attempts = 2;
  CHECK(DecideRetry(facts, AttemptEnd::kRejected) == RetryDecision::kRefuse);
}

TEST_CASE("A failed status is passed on when it cannot be had elsewhere") {
  RetryContext facts = SentOnce();
  CHECK(DecideRetry(facts, AttemptEnd::kFailedStatus) ==
        RetryDecision::kPassOn);
  facts.may_repeat = true;
  facts.budget_left = false;
  CHECK(DecideRetry(facts, AttemptEnd::kFailedStatus) ==
        RetryDecision::kPassOn);
}

TEST_CASE("A broken answer that had begun goes on elsewhere or is cut off") {
  RetryContext facts = SentOnce();
  facts.answer_started = true;
  facts.may_repeat = true;
  CHECK(DecideRetry(facts, AttemptEnd::kBroken) ==
        RetryDecision::kSendElsewhere);
  facts.has_upstream = false;
  CHECK(DecideRetry(facts, AttemptEnd::kBroken) == RetryDecision::kCutOff);
}

TEST_CASE("An unreachable upstream costs neither budget nor attempts") {
  RetryContext facts;
  facts.delivered_attempts = 1;
  facts.max_attempts = 1;
  facts.budget_left = false;
  CHECK(DecideRetry(facts, AttemptEnd::kNotSent) ==
        RetryDecision::kSendElsewhere);
}

RetryContext ArbitraryFacts() {
  RetryContext facts;
  facts.may_repeat = *rc::gen::arbitrary<bool>();
  facts.answer_started = *rc::gen::arbitrary<bool>();
  facts.may_have_run = *rc::gen::arbitrary<bool>();
  facts.time_left = *rc::gen::arbitrary<bool>();
  facts.budget_left = *rc::gen::arbitrary<bool>();
  facts.has_upstream = *rc::gen::arbitrary<bool>();
  facts.delivered_attempts = *rc::gen::inRange(0U, 4U);
  facts.max_attempts = *rc::gen::inRange(1U, 4U);
  return facts;
}

TEST_CASE("The promises of the next step hold for all facts") {
  rc::prop("no step breaks a promise", [] {
    const RetryContext facts = ArbitraryFacts();
    const AttemptEnd end = *rc::gen::elementOf(
        std::vector<AttemptEnd>(std::begin(kAllEnds), std::end(kAllEnds)));
    const RetryDecision step = DecideRetry(facts, end);
    const bool ran_now =
        end == AttemptEnd::kBroken || end == AttemptEnd::kFailedStatus;
    if (step == RetryDecision::kRefuse) {
      // A refusal says that the request has not run.
      RC_ASSERT(!facts.may_have_run);
      RC_ASSERT(!ran_now);
    }
    if (step == RetryDecision::kSendElsewhere) {
      RC_ASSERT(facts.time_left);
      RC_ASSERT(facts.has_upstream);
      if (ran_now) RC_ASSERT(facts.may_repeat);
      const bool counts =
          end != AttemptEnd::kNotSent && end != AttemptEnd::kWrongUpstream;
      if (counts) RC_ASSERT(facts.delivered_attempts < facts.max_attempts);
    }
    if (facts.answer_started) {
      // A second head would belong to no request.
      RC_ASSERT(step == RetryDecision::kSendElsewhere ||
                step == RetryDecision::kCutOff);
    }
  });
}

}  // namespace
}  // namespace yuccapick
