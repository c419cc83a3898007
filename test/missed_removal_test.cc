#include <catch2/catch.hpp>

#include "yuccapick/table_freshness.h"
#include "yuccapick/table_mirror.h"

namespace yuccapick {
namespace {

const TimePoint kStart{std::chrono::seconds(100)};

TEST_CASE("A confirmation covers a row that its sender never saw") {
  TableMirror sender;
  TableMirror receiver;
  for (TableMirror* mirror : {&sender, &receiver}) {
    mirror->OnSnapshot({{{"a", "x", 3, false}}, 9});
  }
  // The row "b" is put at 12 and removed at 18. The receiver learns the former
  // only. The sender reads all rows after a call that failed.
  receiver.OnChanges({{{"b", "x", 12, false}}, {}, {{}, 12}});
  sender.OnSnapshot({{{"a", "x", 3, false}}, 20});
  TableFreshness freshness(InstanceId("receiver"), kStart);
  freshness.OnCurrent(WatchedTable::kUpstreams, receiver.as_of(), kStart);
  freshness.OnConfirmation(
      {StoreTime(std::chrono::milliseconds(5)), 0, sender.unchanged_since()},
      kStart, kStart);
  REQUIRE(receiver.Snapshot().rows != sender.Snapshot().rows);
  CHECK(freshness.Behind(WatchedTable::kUpstreams));
}

}  // namespace
}  // namespace yuccapick
