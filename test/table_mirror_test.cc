#include "yuccapick/table_mirror.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>

namespace yuccapick {
namespace {

MirrorRow Row(std::string key, std::string value, std::uint64_t version) {
  return {std::move(key), std::move(value), version, false};
}

MirrorRow Removal(std::string key, std::uint64_t version) {
  return {std::move(key), "", version, true};
}

TEST_CASE("An older snapshot does not change the mirror") {
  TableMirror mirror;
  mirror.OnChanges({{Row("a", "new", 9)}, {}, {{}, 9}});
  CHECK(mirror.OnSnapshot({{Row("a", "old", 4)}, 5}).empty());
  CHECK(mirror.Snapshot().rows.at(0).value == "new");
}

TEST_CASE("A row that is missing from a snapshot is removed") {
  TableMirror mirror;
  mirror.OnSnapshot({{Row("a", "1", 1), Row("b", "2", 2)}, 2});
  const auto changes = mirror.OnSnapshot({{Row("b", "2", 2)}, 7});
  REQUIRE(changes.size() == 1);
  CHECK(changes[0] == Removal("a", 7));
}

TEST_CASE("A row that is newer than the snapshot is kept") {
  TableMirror mirror;
  mirror.OnChanges({{Row("a", "1", 8)}, {}, {{}, 3}});
  CHECK(mirror.OnSnapshot({{}, 5}).empty());
  CHECK(mirror.Snapshot().rows.size() == 1);
}

TEST_CASE("A snapshot of a newer generation replaces higher row versions") {
  TableMirror mirror;
  const StoreGeneration first(1);
  const StoreGeneration second(2);
  mirror.OnSnapshot(
      {{Row("a", "same", 1), Row("b", "lost", 9), Row("c", "later", 8)},
       9,
       first});
  const auto changes = mirror.OnSnapshot(
      {{Row("a", "same", 1), Row("c", "copy", 3)}, 4, second});
  REQUIRE(changes.size() == 2);
  CHECK(changes[0] == Row("c", "copy", 3));
  CHECK(changes[1] == Removal("b", 4));
  CHECK(mirror.as_of() == 4);
  CHECK(mirror.newest_change() == 3);
  CHECK(mirror.OnChanges({{Row("b", "again", 5)}, {second, 4}, {second, 5}})
            .size() == 1);
}

TEST_CASE("Late answers of an earlier generation do not change the mirror") {
  TableMirror mirror;
  const StoreGeneration first(1);
  const StoreGeneration second(2);
  mirror.OnSnapshot({{Row("a", "copy", 1)}, 1, second});
  CHECK(mirror.OnSnapshot({{Row("a", "late", 9)}, 9, first}).empty());
  CHECK(mirror.OnChanges({{Row("a", "late", 9)}, {first, 1}, {first, 9}})
            .empty());
  CHECK(mirror.Snapshot().rows == std::vector<MirrorRow>{Row("a", "copy", 1)});
  CHECK(mirror.as_of() == 1);
}

TEST_CASE("Changes of a newer generation wait for its snapshot") {
  TableMirror mirror;
  mirror.OnSnapshot({{Row("a", "1", 1)}, 1, StoreGeneration(1)});
  const TablePosition after{StoreGeneration(1), 1};
  const TablePosition as_of{StoreGeneration(2), 9};
  CHECK(mirror.OnChanges({{Row("a", "2", 9)}, after, as_of}).empty());
  CHECK(mirror.generation() == StoreGeneration(1));
}

TEST_CASE("Changes since a position of an earlier generation leave no gap") {
  TableMirror mirror;
  const StoreGeneration first(1);
  const StoreGeneration second(2);
  mirror.OnSnapshot({{Row("a", "1", 7)}, 7, first});
  // A watch from there is under way when a peer's copy arrives, and has missed
  // the row with version 5.
  mirror.OnSnapshot({{Row("a", "1", 1)}, 1, second});
  CHECK(
      mirror.OnChanges({{Row("a", "3", 8)}, {first, 7}, {second, 8}}).empty());
  CHECK(mirror.as_of() == 1);
}

TEST_CASE(
    "Any mix of snapshots and changes ends in the table's state and never goes "
    "back") {
  rc::prop("the mirror follows the table", [] {
    std::map<std::string, MirrorRow> table;
    std::vector<MirrorRow> log;
    TableMirror mirror;
    std::map<std::string, std::uint64_t> seen;
    const int steps = *rc::gen::inRange(1, 40);
    for (int i = 1; i <= steps; ++i) {
      const auto version = static_cast<std::uint64_t>(i);
      const std::string key(1, *rc::gen::element('a', 'b', 'c'));
      const bool remove = *rc::gen::arbitrary<bool>();
      MirrorRow row =
          remove ? Removal(key, version) : Row(key, std::to_string(i), version);
      log.push_back(row);
      if (remove) {
        table.erase(key);
      } else {
        table[key] = row;
      }
      const int how = *rc::gen::inRange(0, 4);
      std::vector<MirrorRow> changes;
      if (how == 0) {
        const auto from = *rc::gen::inRange<std::size_t>(0, log.size());
        if (log[from].version > mirror.as_of() + 1) continue;
        changes = mirror.OnChanges(
            {{log.begin() + static_cast<std::ptrdiff_t>(from), log.end()},
             {},
             {{}, version}});
      } else if (how == 1) {
        TableSnapshot snapshot;
        for (const auto& [k, r] : table) snapshot.rows.push_back(r);
        snapshot.as_of = version;
        changes = mirror.OnSnapshot(snapshot);
      }
      for (const MirrorRow& change : changes) {
        RC_ASSERT(change.version > seen[change.key]);
        seen[change.key] = change.version;
      }
    }
    TableSnapshot last;
    for (const auto& [k, r] : table) last.rows.push_back(r);
    last.as_of = static_cast<std::uint64_t>(steps);
    mirror.OnSnapshot(last);
    RC_ASSERT(mirror.Snapshot().rows == last.rows);
  });
}

TEST_CASE("A row removed before the first read counts as a change") {
  TableMirror mirror;
  mirror.OnSnapshot({{{"a", "x", 3, false}}, 9});
  CHECK(mirror.newest_change() == 3);
  CHECK(mirror.unchanged_since() == 9);
  mirror.OnChanges({{}, {}, {{}, 12}});
  mirror.OnSnapshot({{{"a", "x", 3, false}}, 14});
  CHECK(mirror.unchanged_since() == 14);
  CHECK_FALSE(mirror.knows_newest_change());
  mirror.OnNewestChangeKnown(9);
  CHECK(mirror.unchanged_since() == 9);
  mirror.OnChanges({{{"a", "y", 15, false}}, {}, {{}, 16}});
  CHECK(mirror.unchanged_since() == 15);
  CHECK(mirror.knows_newest_change());
  mirror.OnSnapshot({{}, 20});
  CHECK(mirror.unchanged_since() == 20);
}

TEST_CASE("A snapshot without the known values is taken over like a full one") {
  rc::prop("partial snapshots", [] {
    const StoreGeneration generation(1);
    TableMirror sender;
    TableMirror receiver;
    TableMirror reference;
    sender.OnSnapshot({{}, 1, generation});
    receiver.OnSnapshot({{}, 1, generation});
    reference.OnSnapshot({{}, 1, generation});
    const auto steps = *rc::gen::inRange(1, 40);
    for (int version = 2; version < steps + 2; ++version) {
      const std::string key(1, *rc::gen::elementOf(std::string("abcd")));
      const auto at = static_cast<std::uint64_t>(version);
      MirrorRow row = Row(key, "value-" + std::to_string(version), at);
      if (*rc::gen::arbitrary<bool>()) row = Removal(key, at);
      const TableChanges change{{row}, {generation, at - 1}, {generation, at}};
      sender.OnChanges(change);
      // The receiver has missed some changes at the end.
      if (*rc::gen::inRange(0, 4) > 0 && receiver.as_of() == at - 1) {
        receiver.OnChanges(change);
        reference.OnChanges(change);
      }
    }
    const TableSnapshot partial = sender.SnapshotFor(receiver.position());
    RC_ASSERT(receiver.OnSnapshot(partial) ==
              reference.OnSnapshot(sender.Snapshot()));
    RC_ASSERT(receiver.Snapshot().rows == sender.Snapshot().rows);
  });
}

TEST_CASE("A copy of another generation gets all values") {
  TableMirror sender;
  sender.OnSnapshot({{Row("a", "1", 5)}, 9, StoreGeneration(2)});
  const TablePosition older{StoreGeneration(1), 30};
  CHECK(sender.SnapshotFor(older).rows.at(0).value == "1");
  const TablePosition same{StoreGeneration(2), 5};
  CHECK(sender.SnapshotFor(same).rows.at(0).value.empty());
}

}  // namespace
}  // namespace yuccapick
