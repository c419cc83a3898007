#include "yuccapick/group_committer.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using Outcome = RowResult::Outcome;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr TimePoint kLater = kStart + std::chrono::hours(1);

TEST_CASE("Waiting writes are committed in one transaction") {
  GroupCommitter committer({});
  committer.Enqueue("a", 0, "1");
  committer.Enqueue("b", 0, "2");
  const auto commit = committer.Next(kStart);
  REQUIRE(commit);
  CHECK(commit->transaction.puts.size() == 2);
  CHECK_FALSE(committer.Next(kStart));
  const auto results = committer.OnCommitted(
      commit->command, {WriteResult::kApplied, {}}, kStart);
  REQUIRE(results.size() == 2);
  CHECK(results[0].outcome == Outcome::kApplied);
}

TEST_CASE("After a conflict the other rows are committed again") {
  GroupCommitter committer({});
  committer.Enqueue("a", 0, "1");
  const std::uint64_t b = committer.Enqueue("b", 0, "2");
  auto commit = committer.Next(kStart);
  const auto results = committer.OnCommitted(
      commit->command, {WriteResult::kNotApplied, {{"b", "x", 7}}}, kStart);
  REQUIRE(results.size() == 1);
  CHECK(results[0].ticket == b);
  CHECK(results[0].outcome == Outcome::kConflict);
  CHECK(results[0].row.version == 7);
  commit = committer.Next(kStart);
  REQUIRE(commit);
  CHECK(commit->transaction.puts == std::vector<TablePut>{{"a", "1"}});
}

TEST_CASE("A write with an unknown result is resolved by repeating it") {
  GroupCommitter committer({});
  committer.Enqueue("a", 0, "1");
  auto commit = committer.Next(kStart);
  CHECK(committer
            .OnCommitted(commit->command, {WriteResult::kUnknown, {}}, kStart)
            .empty());
  commit = committer.Next(kLater);
  REQUIRE(commit);
  CHECK(commit->transaction.checks == std::vector<TableCheck>{{"a", 0}});
  const auto results = committer.OnCommitted(
      commit->command, {WriteResult::kNotApplied, {{"a", "1", 4}}}, kLater);
  REQUIRE(results.size() == 1);
  CHECK(results[0].outcome == Outcome::kApplied);
  CHECK(results[0].row.version == 4);
}

TEST_CASE("A refusal does not resolve a write that may have been applied") {
  GroupCommitter committer({});
  committer.Enqueue("a", 0, "1");
  auto commit = committer.Next(kStart);
  committer.OnCommitted(commit->command, {WriteResult::kUnknown, {}}, kStart);
  committer.Enqueue("b", 0, "2");
  commit = committer.Next(kLater);
  const auto results = committer.OnCommitted(
      commit->command, {WriteResult::kNotApplied, {}}, kLater);
  REQUIRE(results.size() == 1);
  CHECK(results[0].outcome == Outcome::kUnavailable);
  CHECK(results[0].row.key == "b");
  CHECK(committer.size() == 1);
}

}  // namespace
}  // namespace yuccapick
