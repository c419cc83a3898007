#include "yuccapick/lease.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "test/lease_world.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

TEST_CASE("The first process acquires the lease and keeps it") {
  FakeRow table;
  LeaseProcess one(table, "router-1", 1);
  TimePoint now = Run(one, kLeaseStart, milliseconds(2'000));
  CHECK(one.lease().fence(now) == FencingToken(1));
  now = Run(one, now, milliseconds(20'000));
  CHECK(one.lease().fence(now) == FencingToken(1));
}

TEST_CASE("A lease handed back passes at once, with a higher token") {
  FakeRow table;
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

TEST_CASE("A paused holder finds out before it acts") {
  FakeRow table;
  LeaseProcess one(table, "router-1", 1);
  LeaseProcess two(table, "router-2", 1);
  TimePoint now = Run(one, kLeaseStart, milliseconds(1'000));
  now = Run(two, now, milliseconds(5'000));
  CHECK(two.lease().IsHeld(now));
  CHECK_FALSE(one.lease().IsHeld(now));
  CHECK(two.lease().fence(now) > FencingToken(1));
}

TEST_CASE("A lost answer that took effect is settled by a read") {
  FakeRow table;
  LeaseProcess one(table, "router-1", 1);
  one.Step(Fate::kAnswered, kLeaseStart);
  one.Step(Fate::kLostAfterEffect, kLeaseStart + milliseconds(400));
  CHECK_FALSE(one.lease().IsHeld(kLeaseStart + milliseconds(400)));
  one.Step(Fate::kAnswered, kLeaseStart + milliseconds(800));
  CHECK(one.lease().IsHeld(kLeaseStart + milliseconds(800)));
}

TEST_CASE("A holder does not act while its hand-back is under way") {
  FakeRow table;
  LeaseProcess one(table, "router-1", 1);
  const TimePoint now = Run(one, kLeaseStart, milliseconds(1'000));
  REQUIRE(one.lease().IsHeld(now));
  one.lease().Release();
  TimePoint later = now;
  // The write is sent, and its answer does not come.
  for (int i = 0; i < 20 && one.lease().IsHeld(later); ++i) {
    later += milliseconds(50);
    one.Step(Fate::kStalled, later);
  }
  CHECK(one.lease().busy());
  CHECK_FALSE(one.lease().IsHeld(later));
}

TEST_CASE("What a holder hands back is told to the next") {
  FakeRow table;
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

TEST_CASE("A note is written at once and outlives the holder") {
  FakeRow table;
  LeaseProcess first(table, "a", 1);
  TimePoint now = kLeaseStart;
  first.Step(Fate::kAnswered, now);
  first.Step(Fate::kAnswered, now += milliseconds(300));
  REQUIRE(first.lease().IsHeld(now));
  first.lease().SetNote("orders");
  first.Step(Fate::kAnswered, now += milliseconds(10));
  first.Step(Fate::kAnswered, now);
  CHECK(ParseLease(table.row.value)->note == "orders");
  // The first dies. Its note stays until the second has one of its own.
  LeaseProcess second(table, "b", 2);
  while (!second.lease().IsHeld(now)) {
    second.Step(Fate::kAnswered, now += milliseconds(100));
  }
  CHECK(second.lease().predecessor() == "a");
  CHECK(second.lease().predecessor_note() == "orders");
  CHECK(ParseLease(table.row.value)->note == "orders");
  second.lease().SetNote("other orders");
  second.Step(Fate::kAnswered, now);
  second.Step(Fate::kAnswered, now);
  CHECK(ParseLease(table.row.value)->note == "other orders");
  CHECK(second.lease().IsHeld(now));
}

TEST_CASE("A restarted process takes its own former lease at once") {
  FakeRow table;
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

TEST_CASE("An observer that heard of the last renewal takes over sooner") {
  FakeRow table;
  LeaseProcess holder(table, "a", 1);
  LeaseProcess observer(table, "b", 2);
  TimePoint now = Run(holder, kLeaseStart, milliseconds(1'000));
  REQUIRE(holder.lease().IsHeld(now));
  observer.lease().OnWriteReported(holder.lease().confirmed_write(), now);
  // The holder dies; the observer asks the store only a second later.
  const TimePoint died = now;
  now += milliseconds(1'000);
  while (!observer.lease().IsHeld(now)) {
    observer.Step(Fate::kAnswered, now += milliseconds(50));
  }
  const LeaseOptions options;
  CHECK(now - died >= options.term);
  CHECK(now - died < options.term + milliseconds(600));
}

TEST_CASE("What was heard of an older renewal is no reason to take over") {
  FakeRow table;
  LeaseProcess holder(table, "a", 1);
  LeaseProcess observer(table, "b", 2);
  TimePoint now = Run(holder, kLeaseStart, milliseconds(1'000));
  observer.lease().OnWriteReported(holder.lease().confirmed_write(), now);
  now = Run(holder, now, milliseconds(2'900));
  const TimePoint first_read = now;
  while (!observer.lease().IsHeld(now)) {
    observer.Step(Fate::kAnswered, now += milliseconds(50));
  }
  CHECK(now - first_read >= LeaseOptions().term);
}

TEST_CASE("An observer with a fast clock waits for the whole term") {
  FakeRow table;
  LeaseProcess holder(table, "router-1", 1);
  LeaseProcess observer(table, "router-2", 1);
  const LeaseOptions options;
  TimePoint now = Run(holder, kLeaseStart, milliseconds(600));
  // The holder's last renewal is seen at once; then nothing more comes.
  TimePoint seen = now;
  observer.Step(Fate::kAnswered, seen);
  const auto term = std::chrono::duration_cast<std::chrono::nanoseconds>(
      options.term * (1.0 + options.drift));
  for (TimePoint t = seen; t < seen + term; t += milliseconds(20)) {
    observer.Step(Fate::kAnswered, t);
    CHECK_FALSE(observer.lease().IsHeld(t));
  }
}

}  // namespace
}  // namespace yuccapick
