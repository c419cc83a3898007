#include "yuccapick/attempt_policy.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

constexpr AttemptEnd kAllEnds[] = {
    AttemptEnd::kNotSent,  AttemptEnd::kWrongUpstream,
    AttemptEnd::kRejected, AttemptEnd::kFailedStatus,
    AttemptEnd::kBroken,   AttemptEnd::kTimedOut};

FlightFacts SentOnce() {
  FlightFacts facts;
  facts.arrivals = 1;
  facts.max_attempts = 2;
  return facts;
}

TEST_CASE(
    "A request that may have run is not sent again unless it may repeat") {
  FlightFacts facts = SentOnce();
  CHECK(DecideNextStep(facts, AttemptEnd::kBroken) == FlightStep::kFail);
  facts.may_repeat = true;
  CHECK(DecideNextStep(facts, AttemptEnd::kBroken) ==
        FlightStep::kSendElsewhere);
}

TEST_CASE("A rejected request goes elsewhere within its attempts") {
  FlightFacts facts = SentOnce();
  CHECK(DecideNextStep(facts, AttemptEnd::kRejected) ==
        FlightStep::kSendElsewhere);
  facts.arrivals = 2;
  CHECK(DecideNextStep(facts, AttemptEnd::kRejected) == FlightStep::kRefuse);
}

TEST_CASE("A failed status is passed on when it cannot be had elsewhere") {
  FlightFacts facts = SentOnce();
  CHECK(DecideNextStep(facts, AttemptEnd::kFailedStatus) ==
        FlightStep::kPassOn);
  facts.may_repeat = true;
  facts.budget_left = false;
  CHECK(DecideNextStep(facts, AttemptEnd::kFailedStatus) ==
        FlightStep::kPassOn);
}

TEST_CASE("A broken answer that had begun goes on elsewhere or is cut off") {
  FlightFacts facts = SentOnce();
  facts.answer_started = true;
  facts.may_repeat = true;
  CHECK(DecideNextStep(facts, AttemptEnd::kBroken) ==
        FlightStep::kSendElsewhere);
  facts.has_upstream = false;
  CHECK(DecideNextStep(facts, AttemptEnd::kBroken) == FlightStep::kCutOff);
}

TEST_CASE("An unreachable upstream costs neither budget nor attempts") {
  FlightFacts facts;
  facts.arrivals = 1;
  facts.max_attempts = 1;
  facts.budget_left = false;
  CHECK(DecideNextStep(facts, AttemptEnd::kNotSent) ==
        FlightStep::kSendElsewhere);
}

FlightFacts ArbitraryFacts() {
  FlightFacts facts;
  facts.may_repeat = *rc::gen::arbitrary<bool>();
  facts.answer_started = *rc::gen::arbitrary<bool>();
  facts.may_have_run = *rc::gen::arbitrary<bool>();
  facts.time_left = *rc::gen::arbitrary<bool>();
  facts.budget_left = *rc::gen::arbitrary<bool>();
  facts.has_upstream = *rc::gen::arbitrary<bool>();
  facts.arrivals = *rc::gen::inRange(0U, 4U);
  facts.max_attempts = *rc::gen::inRange(1U, 4U);
  return facts;
}

TEST_CASE("The promises of the next step hold for all facts") {
  rc::prop("no step breaks a promise", [] {
    const FlightFacts facts = ArbitraryFacts();
    const AttemptEnd end = *rc::gen::elementOf(
        std::vector<AttemptEnd>(std::begin(kAllEnds), std::end(kAllEnds)));
    const FlightStep step = DecideNextStep(facts, end);
    const bool ran_now =
        end == AttemptEnd::kBroken || end == AttemptEnd::kFailedStatus;
    if (step == FlightStep::kRefuse) {
      // A refusal says that the request has not run.
      RC_ASSERT(!facts.may_have_run);
      RC_ASSERT(!ran_now);
    }
    if (step == FlightStep::kSendElsewhere) {
      RC_ASSERT(facts.time_left);
      RC_ASSERT(facts.has_upstream);
      if (ran_now) RC_ASSERT(facts.may_repeat);
      const bool counts =
          end != AttemptEnd::kNotSent && end != AttemptEnd::kWrongUpstream;
      if (counts) RC_ASSERT(facts.arrivals < facts.max_attempts);
    }
    if (facts.answer_started) {
      // A second head would belong to no request.
      RC_ASSERT(step == FlightStep::kSendElsewhere ||
                step == FlightStep::kCutOff);
    }
  });
}

}  // namespace
}  // namespace yuccapick
