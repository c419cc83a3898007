#include "yuccapick/lease.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "test/lease_test_util.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

TEST_CASE("The first process acquires the lease and keeps it") {
  FakeLeaseTable table;
  LeaseProcess one(table, "router-1", 1);
  TimePoint now = Run(one, kLeaseStart, milliseconds(2'000));
  CHECK(one.lease().fence(now) == FencingToken(1));
  now = Run(one, now, milliseconds(20'000));
  CHECK(one.lease().fence(now) == FencingToken(1));
}

TEST_CASE("A released lease is acquired at once, with a higher token") {
  FakeLeaseTable table;
  LeaseProcess one(table, "router-1", 1);
  LeaseProcess two(table, "router-2", 1);
  TimePoint now = Run(one, kLeaseStart, milliseconds(1'000));
  one.lease().Release();
  now = Run(one, now, milliseconds(1'000));
  CHECK_FALSE(one.lease().IsHeld(now));
  CHECK(one.lease().released());
  now = Run(two, now, milliseconds(1'000));
  CHECK(two.lease().fence(now) == FencingToken(2));
}

TEST_CASE("A paused holder does not hold the lease after its term") {
  FakeLeaseTable table;
  LeaseProcess one(table, "router-1", 1);
  LeaseProcess two(table, "router-2", 1);
  TimePoint now = Run(one, kLeaseStart, milliseconds(1'000));
  now = Run(two, now, milliseconds(5'000));
  CHECK(two.lease().IsHeld(now));
  CHECK_FALSE(one.lease().IsHeld(now));
  CHECK(two.lease().fence(now) > FencingToken(1));
}

TEST_CASE(
    "A write without a response that took effect is confirmed by a read") {
  FakeLeaseTable table;
  LeaseProcess one(table, "router-1", 1);
  one.Step(CallOutcome::kAnswered, kLeaseStart);
  one.Step(CallOutcome::kLostAfterEffect, kLeaseStart + milliseconds(400));
  CHECK_FALSE(one.lease().IsHeld(kLeaseStart + milliseconds(400)));
  one.Step(CallOutcome::kAnswered, kLeaseStart + milliseconds(800));
  CHECK(one.lease().IsHeld(kLeaseStart + milliseconds(800)));
}

TEST_CASE("A holder does not hold the lease while its release is in progress") {
  FakeLeaseTable table;
  LeaseProcess one(table, "router-1", 1);
  const TimePoint now = Run(one, kLeaseStart, milliseconds(1'000));
  REQUIRE(one.lease().IsHeld(now));
  one.lease().Release();
  TimePoint later = now;
  // The write is sent, but no response arrives.
  for (int i = 0; i < 20 && one.lease().IsHeld(later); ++i) {
    later += milliseconds(50);
    one.Step(CallOutcome::kStalled, later);
  }
  CHECK(one.lease().busy());
  CHECK_FALSE(one.lease().IsHeld(later));
}

TEST_CASE("The next holder gets the note of a release") {
  FakeLeaseTable table;
  LeaseProcess one(table, "router-1", 1);
  LeaseProcess two(table, "router-2", 1);
  TimePoint now = Run(one, kLeaseStart, milliseconds(1'000));
  one.lease().Release("note for the next");
  now = Run(one, now, milliseconds(1'000));
  now = Run(two, now, milliseconds(1'000));
  REQUIRE(two.lease().IsHeld(now));
  CHECK(two.lease().predecessor().empty());
  CHECK(two.lease().predecessor_note() == "note for the next");
}

TEST_CASE(
    "A note is written at once and is still there after the holder died") {
  FakeLeaseTable table;
  LeaseProcess first(table, "a", 1);
  TimePoint now = kLeaseStart;
  first.Step(CallOutcome::kAnswered, now);
  first.Step(CallOutcome::kAnswered, now += milliseconds(300));
  REQUIRE(first.lease().IsHeld(now));
  first.lease().SetNote("orders");
  first.Step(CallOutcome::kAnswered, now += milliseconds(10));
  first.Step(CallOutcome::kAnswered, now);
  CHECK(ParseLease(table.row.value)->note == "orders");
  // The first holder dies. Its note stays until the second one sets its own.
  LeaseProcess second(table, "b", 2);
  while (!second.lease().IsHeld(now)) {
    second.Step(CallOutcome::kAnswered, now += milliseconds(100));
  }
  CHECK(second.lease().predecessor() == "a");
  CHECK(second.lease().predecessor_note() == "orders");
  CHECK(ParseLease(table.row.value)->note == "orders");
  second.lease().SetNote("other orders");
  second.Step(CallOutcome::kAnswered, now);
  second.Step(CallOutcome::kAnswered, now);
  CHECK(ParseLease(table.row.value)->note == "other orders");
  CHECK(second.lease().IsHeld(now));
}

TEST_CASE("A restarted process takes over its previous lease at once") {
  FakeLeaseTable table;
  LeaseOptions options{kLeaseKey, "router-1", Incarnation(1)};
  options.holder_name_is_unique = true;
  LeaseProcess before(table, options);
  TimePoint now = Run(before, kLeaseStart, milliseconds(1'000));
  options.incarnation = Incarnation(2);
  LeaseProcess after(table, options);
  now = Run(after, now, milliseconds(700));
  CHECK(after.lease().IsHeld(now));
  CHECK(after.lease().fence(now) == FencingToken(2));
  CHECK(after.lease().predecessor() == "router-1");
}

TEST_CASE(
    "An observer that received the last renewal's report takes over sooner") {
  FakeLeaseTable table;
  LeaseProcess holder(table, "a", 1);
  LeaseProcess observer(table, "b", 2);
  TimePoint now = Run(holder, kLeaseStart, milliseconds(1'000));
  REQUIRE(holder.lease().IsHeld(now));
  observer.lease().OnWriteReported(holder.lease().confirmed_write(), now);
  // The holder dies; the observer reads the store only a second later.
  const TimePoint died = now;
  now += milliseconds(1'000);
  while (!observer.lease().IsHeld(now)) {
    observer.Step(CallOutcome::kAnswered, now += milliseconds(50));
  }
  const LeaseOptions options;
  CHECK(now - died >= options.term);
  CHECK(now - died < options.term + milliseconds(600));
}

TEST_CASE("A report of an older renewal does not shorten an observer's wait") {
  FakeLeaseTable table;
  LeaseProcess holder(table, "a", 1);
  LeaseProcess observer(table, "b", 2);
  TimePoint now = Run(holder, kLeaseStart, milliseconds(1'000));
  observer.lease().OnWriteReported(holder.lease().confirmed_write(), now);
  now = Run(holder, now, milliseconds(2'900));
  const TimePoint first_read = now;
  while (!observer.lease().IsHeld(now)) {
    observer.Step(CallOutcome::kAnswered, now += milliseconds(50));
  }
  CHECK(now - first_read >= LeaseOptions().term);
}

TEST_CASE("An observer with a fast clock waits for the whole term") {
  FakeLeaseTable table;
  LeaseProcess holder(table, "router-1", 1);
  LeaseProcess observer(table, "router-2", 1);
  const LeaseOptions options;
  TimePoint now = Run(holder, kLeaseStart, milliseconds(600));
  // The holder's last renewal is seen at once; no renewal follows.
  TimePoint seen = now;
  observer.Step(CallOutcome::kAnswered, seen);
  const auto term = std::chrono::duration_cast<std::chrono::nanoseconds>(
      options.term * (1.0 + options.max_clock_drift));
  for (TimePoint t = seen; t < seen + term; t += milliseconds(20)) {
    observer.Step(CallOutcome::kAnswered, t);
    CHECK_FALSE(observer.lease().IsHeld(t));
  }
}

}  // namespace
}  // namespace yuccapick
