#include "yuccapick/order_history.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(100)};
const UpstreamId kA("a");
const UpstreamId kB("b");
constexpr milliseconds kGap{3'000};

/// Announces `upstreams` and sees the note written.
void Announce(OrderHistory& history, const std::set<UpstreamId>& upstreams,
              TimePoint now) {
  REQUIRE(history.AnnounceOrders(upstreams, now));
  history.OnAnnouncementSent();
  history.OnAnnouncementWritten();
}

TEST_CASE("The next holder keeps apart from the last one's orders") {
  OrderHistory first(kGap);
  Announce(first, {kA}, kStart);
  CHECK(first.MayOrder(kA, kStart));
  first.OnOrder(kA, kStart);
  OrderHistory second(kGap);
  const TimePoint later = kStart + milliseconds(1'000);
  REQUIRE(second.ImportHandover(first.HandoverNote(later), later));
  Announce(second, {kA, kB}, later);
  CHECK_FALSE(second.MayOrder(kA, kStart + milliseconds(2'999)));
  CHECK(second.MayOrder(kA, kStart + kGap));
  CHECK(second.MayOrder(kB, later));
}

TEST_CASE("Orders older than the gap are not passed on") {
  OrderHistory first(kGap);
  first.OnOrder(kA, kStart);
  CHECK(first.HandoverNote(kStart + kGap) == "{}");
}

TEST_CASE("A note that cannot be read is told from an empty one") {
  OrderHistory history(kGap);
  CHECK(history.ImportHandover("{}", kStart));
  CHECK_FALSE(history.ImportHandover("", kStart));
  CHECK_FALSE(history.ImportHandover("{\"a\":\"x\"}", kStart));
}

TEST_CASE("An upstream is ordered only once its announcement is written") {
  OrderHistory history(kGap);
  CHECK_FALSE(history.MayOrder(kA, kStart));
  REQUIRE(history.AnnounceOrders({kA}, kStart));
  CHECK_FALSE(history.AnnounceOrders({kA}, kStart));
  history.OnAnnouncementSent();
  CHECK_FALSE(history.MayOrder(kA, kStart));
  // Planned while the note is on its way: the note does not name it.
  REQUIRE(history.AnnounceOrders({kA, kB}, kStart));
  history.OnAnnouncementWritten();
  CHECK(history.MayOrder(kA, kStart));
  CHECK_FALSE(history.MayOrder(kB, kStart));
}

TEST_CASE("A note on its way that drops an upstream forbids its orders") {
  OrderHistory history(kGap);
  Announce(history, {kA}, kStart);
  REQUIRE(history.AnnounceOrders({kB}, kStart));
  CHECK(history.MayOrder(kA, kStart));
  history.OnAnnouncementSent();
  CHECK_FALSE(history.MayOrder(kA, kStart));
}

TEST_CASE("After a death only announced upstreams wait for the gap") {
  OrderHistory first(kGap);
  Announce(first, {kA}, kStart);
  OrderHistory second(kGap);
  const TimePoint lapsed = kStart + milliseconds(2'000);
  REQUIRE(second.ImportAnnouncement(first.Announcement(), lapsed));
  Announce(second, {kA, kB}, lapsed);
  CHECK(second.MayOrder(kB, lapsed));
  CHECK(second.BlockedByPredecessor(lapsed) == std::set<UpstreamId>{kA});
  CHECK(second.BlockedByPredecessor(lapsed + kGap).empty());
  CHECK_FALSE(second.MayOrder(kA, lapsed + milliseconds(2'999)));
  CHECK(second.MayOrder(kA, lapsed + kGap));
}

TEST_CASE("Orders are passed on over a holder that gave none") {
  OrderHistory first(kGap);
  first.OnOrder(kA, kStart);
  OrderHistory second(kGap);
  REQUIRE(second.ImportHandover(first.HandoverNote(kStart), kStart));
  const TimePoint soon = kStart + milliseconds(500);
  OrderHistory third(kGap);
  SECTION("that hands back") {
    REQUIRE(third.ImportHandover(second.HandoverNote(soon), soon));
  }
  SECTION("that dies after a plan of its own") {
    REQUIRE(second.AnnounceOrders({kB}, soon));
    REQUIRE(third.ImportAnnouncement(second.Announcement(), soon));
  }
  Announce(third, {kA}, soon);
  CHECK_FALSE(third.MayOrder(kA, soon));
}

TEST_CASE("A term that is regained keeps its orders, a new one starts empty") {
  OrderHistory history(kGap);
  REQUIRE(history.BeginTerm(FencingToken(4)));
  Announce(history, {kA}, kStart);
  history.OnOrder(kA, kStart);
  // The lease's renewal was late: the same term goes on.
  CHECK_FALSE(history.BeginTerm(FencingToken(4)));
  CHECK(history.MayOrder(kA, kStart));
  REQUIRE(history.AnnounceOrders({kB}, kStart + milliseconds(500)));
  CHECK(history.Announcement() == R"({"a":0,"b":0})");
  CHECK(history.BeginTerm(FencingToken(6)));
  CHECK_FALSE(history.MayOrder(kA, kStart));
  CHECK(history.Announcement() == "{}");
}

TEST_CASE("A restarted holder goes on at once and still announces its past") {
  OrderHistory first(kGap);
  Announce(first, {kA}, kStart);
  OrderHistory second(kGap);
  second.ResumeAfterRestart(first.Announcement(), kStart);
  Announce(second, {kB}, kStart);
  CHECK(second.MayOrder(kA, kStart));
  CHECK(second.Announcement() == R"({"a":0,"b":0})");
}

}  // namespace
}  // namespace yuccapick
