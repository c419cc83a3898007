#include "yuccapick/row_version_times.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const StoreTime kStart{std::chrono::seconds(60)};

TEST_CASE("A row was written after the last answer without its version") {
  RowVersionTimes times;
  times.OnAnswer({{}, 7}, kStart);
  times.OnAnswer({{}, 7}, kStart + milliseconds(300));
  times.OnAnswer({{}, 9}, kStart + milliseconds(500));
  CHECK(times.WrittenAfter({{}, 8}) == kStart + milliseconds(300));
  CHECK(times.WrittenAfter({{}, 9}) == kStart + milliseconds(300));
  CHECK(times.WrittenAfter({{}, 10}) == kStart + milliseconds(500));
}

TEST_CASE("Nothing is known of rows older than the first answer") {
  RowVersionTimes times;
  CHECK_FALSE(times.WrittenAfter({{}, 7}));
  times.OnAnswer({{}, 7}, kStart);
  CHECK_FALSE(times.WrittenAfter({{}, 7}));
}

TEST_CASE("Answers of another generation tell nothing of a row's age") {
  RowVersionTimes times;
  const StoreGeneration first(1);
  const StoreGeneration second(2);
  times.OnAnswer({first, 7}, kStart);
  times.OnAnswer({second, 5}, kStart + milliseconds(500));
  CHECK(times.WrittenAfter({second, 8}) == kStart + milliseconds(500));
  CHECK_FALSE(times.WrittenAfter({second, 5}));
  CHECK_FALSE(times.WrittenAfter({first, 8}));
  times.OnAnswer({first, 7}, kStart + milliseconds(900));
  CHECK(times.WrittenAfter({second, 8}) == kStart + milliseconds(500));
}

TEST_CASE("Saved row times hold the latest answer and earlier ones apart") {
  RowVersionTimes times;
  StoreTime answered_at = kStart;
  for (std::uint64_t version = 10; version < 20; ++version) {
    times.OnAnswer({{}, version}, answered_at);
    answered_at += milliseconds(200);
  }
  const std::vector<RowVersionTime> expected{
      {13, kStart + milliseconds(600)},
      {16, kStart + milliseconds(1'200)},
      {19, kStart + milliseconds(1'800)}};
  CHECK(times.Latest(3, milliseconds(500)) == expected);
}

TEST_CASE("Saved row times can be read again, malformed ones can't") {
  const SavedRowTimes saved{kStart,
                            {{7, kStart - milliseconds(5)}, {9, kStart}}};
  CHECK(ParseRowTimes(SerialiseRowTimes(saved)) == saved);
  for (const char* text : {"", "[", "[]", "{}", R"({"savedAfterMs":1})",
                           R"({"savedAfterMs":1,"times":[7]})",
                           R"({"savedAfterMs":1,"times":[["a",1]]})"}) {
    CHECK_FALSE(ParseRowTimes(text));
  }
}

TEST_CASE("Answers in any order and read late never make a row look younger") {
  rc::prop("random writes, answers and orders of reading", [] {
    std::map<std::uint64_t, StoreTime> written;
    std::vector<std::pair<std::uint64_t, StoreTime>> answers;
    StoreTime now = kStart;
    std::uint64_t version = 1;
    const int steps = *rc::gen::inRange(1, 100);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::inRange(1, 2'000));
      if (*rc::gen::arbitrary<bool>()) {
        written[++version] = now;
      } else {
        answers.emplace_back(version, now);
      }
    }
    RowVersionTimes times;
    while (!answers.empty()) {
      const auto i = *rc::gen::inRange<std::size_t>(0, answers.size());
      times.OnAnswer({{}, answers[i].first}, answers[i].second);
      answers.erase(answers.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (const auto& [row, written_at] : written) {
      const auto after = times.WrittenAfter({{}, row});
      RC_ASSERT(!after || *after <= written_at);
    }
  });
}

}  // namespace
}  // namespace yuccapick
