#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "standin/table_store.h"

namespace yuccapick::standin {
namespace {

TEST_CASE("A transaction whose check fails writes nothing") {
  TableStore store;
  REQUIRE(store.Commit({{{"a", 0}}, {{"a", "1"}}, {}}).empty());
  const auto conflicts =
      store.Commit({{{"b", 0}, {"a", 0}}, {{"a", "2"}, {"b", "2"}}, {}});
  REQUIRE(conflicts.size() == 1);
  CHECK(conflicts[0] == TableRow{"a", "1", store.Row("a").version});
  CHECK(store.Row("a").value == "1");
  CHECK(store.Row("b").version == 0);
}

TEST_CASE("A row that was deleted and put again has a new version") {
  TableStore store;
  store.Commit({{}, {{"a", "1"}}, {}});
  const auto first = store.Row("a").version;
  store.Commit({{}, {}, {"a"}});
  CHECK(store.Row("a").version == 0);
  store.Commit({{}, {{"a", "1"}}, {}});
  CHECK(store.Row("a").version > first);
}

TEST_CASE("A scan pages through a prefix in key order") {
  TableStore store;
  store.Commit({{}, {{"p/1", ""}, {"p/2", ""}, {"p/3", ""}, {"q", ""}}, {}});
  const auto first = store.Scan("p/", "", 2);
  REQUIRE(first.size() == 2);
  const auto second = store.Scan("p/", first.back().key, 2);
  REQUIRE(second.size() == 1);
  CHECK(second[0].key == "p/3");
}

TEST_CASE("Only one of several writers that checked the same version wins") {
  rc::prop("one wins", [] {
    const auto rounds = *rc::gen::inRange(1, 20);
    const auto writers = *rc::gen::inRange(1, 6);
    TableStore store;
    for (int round = 0; round < rounds; ++round) {
      const auto version = store.Row("head").version;
      int won = 0;
      for (int writer = 0; writer < writers; ++writer) {
        const std::string value = std::to_string(writer);
        won +=
            store.Commit({{{"head", version}}, {{"head", value}}, {}}).empty();
      }
      RC_ASSERT(won == 1);
    }
  });
}

}  // namespace
}  // namespace yuccapick::standin
