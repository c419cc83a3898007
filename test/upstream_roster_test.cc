#include "yuccapick/upstream_roster.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using Kind = RosterChange::Kind;

const TimePoint kStart{std::chrono::seconds(100)};
const ServiceId kService("engines");
const ModelId kModel("moor-8b");

UpstreamEntry Entry(const std::string& id) {
  UpstreamEntry entry;
  entry.id = UpstreamId(id);
  entry.service = kService;
  entry.endpoint = "10.0.0.1:80";
  entry.weights[kModel] = 1;
  entry.incarnation = Incarnation(5);
  return entry;
}

TEST_CASE("A leaving upstream gets no new work in its incarnation") {
  UpstreamRoster roster;
  UpstreamEntry entry = Entry("a");
  CHECK(roster.OnEntry(entry, kStart)->kind == Kind::kAdded);
  CHECK(roster.Usable(kService).size() == 1);
  entry.leaving = true;
  CHECK(roster.OnEntry(entry, kStart)->kind == Kind::kLeaving);
  entry.leaving = false;
  roster.OnEntry(entry, kStart);
  CHECK(roster.Usable(kService).empty());
  entry.incarnation = Incarnation(6);
  CHECK(roster.OnEntry(entry, kStart)->kind == Kind::kRestarted);
  CHECK(roster.Usable(kService).size() == 1);
}

TEST_CASE("An upstream that says that it leaves gets no new work") {
  UpstreamRoster roster;
  const UpstreamEntry entry = Entry("a");
  const UpstreamRun run{entry.id, entry.incarnation};
  roster.OnEntry(entry, kStart);
  CHECK(roster.OnLeavingSeen(run, kStart)->kind == Kind::kLeaving);
  CHECK_FALSE(roster.OnLeavingSeen(run, kStart));
  CHECK(roster.Usable(kService).empty());
  // The list still says that it is ready.
  roster.OnEntry(entry, kStart);
  CHECK(roster.Usable(kService).empty());
  // The list loses the entry and brings it back.
  roster.OnRemoved(entry.id, kStart);
  roster.OnEntry(entry, kStart);
  CHECK(roster.Usable(kService).empty());
}

TEST_CASE(
    "An upstream whose entry the restored list lacks may register again") {
  UpstreamRoster roster;
  const UpstreamEntry entry = Entry("a");
  roster.OnEntry(entry, kStart);
  roster.OnListRestored(kStart);
  CHECK(roster.OnRemoved(entry.id, kStart)->kind == Kind::kUnconfirmed);
  CHECK(roster.OnTick(kStart + milliseconds(2'000)).empty());
  CHECK(roster.FindUsable(entry.id) != nullptr);
  SECTION("It does") {
    roster.OnEntry(entry, kStart + milliseconds(2'100));
    CHECK(roster.OnTick(kStart + milliseconds(9'000)).empty());
    CHECK(roster.FindUsable(entry.id) != nullptr);
  }
  SECTION("It does not") {
    CHECK(roster.OnTick(kStart + milliseconds(9'000)).size() == 1);
    CHECK(roster.FindUsable(entry.id) == nullptr);
  }
}

TEST_CASE("A short failure after a restored list does not end its window") {
  UpstreamRoster roster;
  const UpstreamEntry entry = Entry("a");
  roster.OnEntry(entry, kStart);
  roster.OnListRestored(kStart);
  roster.OnListUnavailable(kStart + milliseconds(10),
                           kStart + milliseconds(10));
  CHECK(roster.OnRemoved(entry.id, kStart + milliseconds(20))->kind ==
        Kind::kUnconfirmed);
}

TEST_CASE("A restored list brings no upstream back that was removed") {
  UpstreamRoster roster;
  UpstreamEntry entry = Entry("a");
  roster.OnEntry(entry, kStart);
  roster.OnRemoved(entry.id, kStart);
  roster.OnListRestored(kStart);
  CHECK_FALSE(roster.OnRestoredEntry(entry, kStart));
  CHECK(roster.Find(entry.id) == nullptr);
  SECTION("Its next own entry does") {
    CHECK(roster.OnEntry(entry, kStart)->kind == Kind::kAdded);
  }
  SECTION("A later incarnation comes back with the list") {
    entry.incarnation = Incarnation(6);
    CHECK(roster.OnRestoredEntry(entry, kStart)->kind == Kind::kAdded);
  }
}

TEST_CASE("A restored list brings no upstream back that left") {
  UpstreamRoster roster;
  UpstreamEntry entry = Entry("a");
  entry.leaving = true;
  roster.OnEntry(entry, kStart);
  roster.OnRemoved(entry.id, kStart);
  roster.OnListRestored(kStart);
  entry.leaving = false;
  roster.OnRestoredEntry(entry, kStart);
  roster.OnEntry(entry, kStart);
  CHECK(roster.Usable(kService).empty());
}

TEST_CASE("A restored list brings no earlier incarnation back") {
  UpstreamRoster roster;
  UpstreamEntry entry = Entry("a");
  entry.incarnation = Incarnation(6);
  roster.OnEntry(entry, kStart);
  roster.OnListRestored(kStart);
  CHECK(roster.OnRestoredEntry(Entry("a"), kStart)->kind == Kind::kUnconfirmed);
  CHECK(roster.Find(entry.id)->incarnation == Incarnation(6));
}

TEST_CASE("Only so many removed and left upstreams are remembered") {
  RosterOptions options;
  options.max_removed_runs = 2;
  UpstreamRoster roster(options);
  for (const char* id : {"a", "b", "c"}) {
    roster.OnEntry(Entry(id), kStart);
    roster.OnRemoved(UpstreamId(id), kStart);
  }
  roster.OnListRestored(kStart);
  CHECK(roster.OnRestoredEntry(Entry("a"), kStart));
  CHECK_FALSE(roster.OnRestoredEntry(Entry("b"), kStart));
  CHECK_FALSE(roster.OnRestoredEntry(Entry("c"), kStart));
}

TEST_CASE("A restarted upstream does not leave with its earlier incarnation") {
  UpstreamRoster roster;
  UpstreamEntry entry = Entry("a");
  entry.incarnation = Incarnation(6);
  roster.OnEntry(entry, kStart);
  CHECK_FALSE(roster.OnLeavingSeen({entry.id, Incarnation(5)}, kStart));
  CHECK(roster.Usable(kService).size() == 1);
}

TEST_CASE("A run leaves whose entry may be older than its leaving mark") {
  UpstreamRoster roster;
  UpstreamEntry entry = Entry("a");
  roster.OnEntry(entry, kStart);
  const TimePoint seen_at = kStart + milliseconds(500);
  roster.OnLeavingSeen({entry.id, entry.incarnation}, seen_at);
  entry.incarnation = Incarnation(6);
  SECTION("It may have been written before") {
    roster.OnEntry(entry, seen_at - milliseconds(1));
    CHECK(roster.Usable(kService).empty());
    // Later changes of the same run don't bring it back.
    entry.slots = 2;
    roster.OnEntry(entry, seen_at + milliseconds(900));
    CHECK(roster.Usable(kService).empty());
  }
  SECTION("It was written after") {
    roster.OnEntry(entry, seen_at);
    CHECK(roster.Usable(kService).size() == 1);
    // Its next change may reach the gateway in an older copy.
    entry.slots = 2;
    roster.OnRestoredEntry(entry, seen_at + milliseconds(900));
    CHECK(roster.Usable(kService).size() == 1);
  }
}

TEST_CASE("The leaving of an upstream that is not listed yet is remembered") {
  RosterOptions options;
  options.max_leaving_runs = 2;
  UpstreamRoster roster(options);
  const UpstreamEntry entry = Entry("z");
  for (const char* id : {"a", "b", "z"}) {
    CHECK_FALSE(
        roster.OnLeavingSeen({UpstreamId(id), entry.incarnation}, kStart));
  }
  CHECK(roster.OnEntry(entry, kStart)->kind == Kind::kLeaving);
}

TEST_CASE("An unreadable entry names no upstream until it is readable again") {
  UpstreamRoster roster;
  const UpstreamEntry entry = Entry("a");
  CHECK_FALSE(roster.OnUnreadable(entry.id));
  roster.OnEntry(entry, kStart);
  CHECK(roster.OnUnreadable(entry.id)->kind == Kind::kUnreadable);
  CHECK_FALSE(roster.OnUnreadable(entry.id));
  CHECK(roster.Usable(kService).empty());
  CHECK(roster.FindUsable(entry.id) == nullptr);
  CHECK(roster.OnEntry(entry, kStart)->kind == Kind::kUpdated);
  CHECK(roster.Usable(kService).size() == 1);
}

TEST_CASE("A removed entry stops new work at once while the list answers") {
  UpstreamRoster roster;
  roster.OnEntry(Entry("a"), kStart);
  CHECK(roster.OnRemoved(UpstreamId("a"), kStart)->kind == Kind::kRemoved);
  CHECK(roster.FindUsable(UpstreamId("a")) == nullptr);
}

TEST_CASE("Entries that expired in an outage have time to come back") {
  UpstreamRoster roster;
  roster.OnEntry(Entry("a"), kStart);
  roster.OnEntry(Entry("b"), kStart);
  roster.OnListUnavailable(kStart, kStart);
  const TimePoint back = kStart + milliseconds(5'000);
  roster.OnListAvailable(back);
  CHECK(roster.OnRemoved(UpstreamId("a"), back)->kind == Kind::kUnconfirmed);
  CHECK(roster.OnRemoved(UpstreamId("b"), back)->kind == Kind::kUnconfirmed);
  CHECK(roster.Usable(kService).size() == 2);
  roster.OnEntry(Entry("a"), back + milliseconds(900));
  const auto changes = roster.OnTick(back + milliseconds(2'300));
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].id == UpstreamId("b"));
  CHECK(roster.Usable(kService).size() == 1);
}

TEST_CASE("A removal after a short outage of the list is final") {
  UpstreamRoster roster;
  roster.OnEntry(Entry("a"), kStart);
  roster.OnListUnavailable(kStart, kStart);
  roster.OnListAvailable(kStart + milliseconds(200));
  CHECK(roster.OnRemoved(UpstreamId("a"), kStart + milliseconds(250))->kind ==
        Kind::kRemoved);
}

TEST_CASE("A leaving upstream is removed even in an outage of the list") {
  UpstreamRoster roster;
  UpstreamEntry entry = Entry("a");
  entry.leaving = true;
  roster.OnEntry(entry, kStart);
  roster.OnListUnavailable(kStart, kStart);
  CHECK(roster.OnRemoved(entry.id, kStart + milliseconds(4'000))->kind ==
        Kind::kRemoved);
}

TEST_CASE("An upstream removed late after an outage is believed to be gone") {
  UpstreamRoster roster;
  roster.OnEntry(Entry("a"), kStart);
  roster.OnEntry(Entry("b"), kStart);
  roster.OnListUnavailable(kStart, kStart);
  const TimePoint back = kStart + milliseconds(1'300);
  roster.OnListAvailable(back);
  const TimePoint removed_at = back + milliseconds(2'100);
  roster.OnRemoved(UpstreamId("a"), removed_at);
  roster.OnTick(removed_at + milliseconds(1'500));
  CHECK(roster.FindUsable(UpstreamId("a")) == nullptr);
}

TEST_CASE("An unconfirmed upstream is removed in a second outage, too") {
  UpstreamRoster roster;
  roster.OnEntry(Entry("a"), kStart);
  roster.OnEntry(Entry("b"), kStart);
  roster.OnListUnavailable(kStart, kStart);
  const TimePoint back = kStart + milliseconds(5'000);
  roster.OnListAvailable(back);
  roster.OnRemoved(UpstreamId("a"), back);
  roster.OnListUnavailable(back + milliseconds(500), back + milliseconds(500));
  roster.OnTick(back + milliseconds(2'500));
  CHECK(roster.FindUsable(UpstreamId("a")) == nullptr);
  CHECK(roster.FindUsable(UpstreamId("b")) != nullptr);
}

TEST_CASE("Expired entries of a whole service outlast a second outage") {
  UpstreamRoster roster;
  for (const char* id : {"a", "b"}) roster.OnEntry(Entry(id), kStart);
  roster.OnListUnavailable(kStart, kStart);
  const TimePoint back = kStart + milliseconds(5'000);
  roster.OnListAvailable(back);
  for (const char* id : {"a", "b"}) roster.OnRemoved(UpstreamId(id), back);
  const TimePoint lost = back + milliseconds(500);
  roster.OnListUnavailable(lost, lost);
  CHECK(roster.OnTick(lost + milliseconds(9'000)).empty());
  CHECK(roster.Usable(kService).size() == 2);
  const TimePoint back_again = lost + milliseconds(10'000);
  roster.OnListAvailable(back_again);
  CHECK(roster.OnTick(back_again + milliseconds(2'000)).empty());
  CHECK(roster.OnTick(back_again + milliseconds(2'300)).size() == 2);
}

TEST_CASE("The newest of too many leaving upstreams are remembered") {
  RosterOptions options;
  options.max_leaving_runs = 2;
  UpstreamRoster roster(options);
  const UpstreamEntry entry = Entry("a");
  for (const char* id : {"z", "y", "a", "x"}) {
    roster.OnLeavingSeen({UpstreamId(id), entry.incarnation}, kStart);
  }
  CHECK(roster.OnEntry(entry, kStart)->kind == Kind::kLeaving);
}

TEST_CASE("Weights reported by the upstream override its lagging entry") {
  UpstreamRoster roster;
  roster.OnEntry(Entry("a"), kStart);
  CHECK(roster.OnWeightsSeen(UpstreamId("a"), kModel, 2));
  CHECK_FALSE(roster.OnWeightsSeen(UpstreamId("a"), kModel, 2));
  roster.OnEntry(Entry("a"), kStart);
  CHECK(roster.Find(UpstreamId("a"))->weights.at(kModel) == 2);
  UpstreamEntry restarted = Entry("a");
  restarted.incarnation = Incarnation(9);
  roster.OnEntry(restarted, kStart);
  CHECK(roster.Find(UpstreamId("a"))->weights.at(kModel) == 1);
}

}  // namespace
}  // namespace yuccapick
