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

TEST_CASE("An upstream that leaves gets no new work in this life") {
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

TEST_CASE("A removed entry stops new work at once while the list answers") {
  UpstreamRoster roster;
  roster.OnEntry(Entry("a"), kStart);
  CHECK(roster.OnRemoved(UpstreamId("a"), kStart)->kind == Kind::kRemoved);
  CHECK(roster.FindUsable(UpstreamId("a")) == nullptr);
}

TEST_CASE("Entries that lapsed while the list was out have time to come back") {
  UpstreamRoster roster;
  roster.OnEntry(Entry("a"), kStart);
  roster.OnEntry(Entry("b"), kStart);
  roster.OnListUnavailable(kStart);
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

TEST_CASE("A short failure of the list lets no entry lapse") {
  UpstreamRoster roster;
  roster.OnEntry(Entry("a"), kStart);
  roster.OnListUnavailable(kStart);
  roster.OnListAvailable(kStart + milliseconds(200));
  CHECK(roster.OnRemoved(UpstreamId("a"), kStart + milliseconds(250))->kind ==
        Kind::kRemoved);
}

TEST_CASE("A leaving upstream does not come back through an outage") {
  UpstreamRoster roster;
  UpstreamEntry entry = Entry("a");
  entry.leaving = true;
  roster.OnEntry(entry, kStart);
  roster.OnListUnavailable(kStart);
  CHECK(roster.OnRemoved(entry.id, kStart + milliseconds(4'000))->kind ==
        Kind::kRemoved);
}

TEST_CASE("Weights seen at the upstream go before its lagging entry") {
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
