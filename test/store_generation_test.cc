#include "yuccapick/store_generation.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

#include "platform/table_calls.h"
#include "yuccapick/lease.h"

namespace yuccapick {
namespace {

using Verdict = GenerationVerdict;

GenerationMark Named(std::uint64_t number) {
  return {StoreGeneration(number), true};
}

constexpr StoreGeneration kNone{};

TEST_CASE("A store that names no generation stays in the first one") {
  StoreGenerations generations;
  CHECK(generations.OnAnswer({}, kNone) == Verdict::kSame);
  CHECK(generations.OnAnswer({}, kNone) == Verdict::kSame);
  CHECK(generations.current() == kNone);
  CHECK(generations.unsound_answers() == 0);
}

TEST_CASE("The first generation is no change, each newer one is") {
  StoreGenerations generations;
  CHECK(generations.OnAnswer(Named(4), kNone) == Verdict::kNewer);
  CHECK(generations.changes() == 0);
  CHECK(generations.OnAnswer(Named(5), StoreGeneration(4)) == Verdict::kNewer);
  CHECK(generations.OnAnswer(Named(7), StoreGeneration(5)) == Verdict::kNewer);
  CHECK(generations.changes() == 2);
}

TEST_CASE("An older generation is late only if it was asked for in time") {
  StoreGenerations generations;
  generations.OnAnswer(Named(4), kNone);
  generations.OnAnswer(Named(5), StoreGeneration(4));
  CHECK(generations.OnAnswer(Named(4), StoreGeneration(4)) == Verdict::kLate);
  CHECK(generations.OnAnswer(Named(4), StoreGeneration(5)) == Verdict::kFell);
  CHECK(generations.late_answers() == 1);
  CHECK(generations.unsound_answers() == 1);
  CHECK(generations.current() == StoreGeneration(5));
}

TEST_CASE("A missing or unreadable generation is counted and changes nothing") {
  StoreGenerations generations;
  generations.OnAnswer(Named(4), kNone);
  const StoreGeneration four(4);
  CHECK(generations.OnAnswer({}, four) == Verdict::kMissing);
  CHECK(generations.OnAnswer({std::nullopt, true}, four) ==
        Verdict::kUnreadable);
  CHECK(generations.OnAnswer(Named(kMaxStoreGeneration.value + 1), four) ==
        Verdict::kUnreadable);
  CHECK(generations.unsound_answers() == 3);
  CHECK(generations.current() == four);
}

TEST_CASE("The store's generation is read from any case of its field") {
  CHECK(platform::DecodeGeneration({{"store-era", "12"}}) == Named(12));
  CHECK(platform::DecodeGeneration({{"Date", "12"}}) == GenerationMark());
  const GenerationMark unreadable{std::nullopt, true};
  for (const char* text : {"", "x", "-1", "1.5", "99999999999999999999"}) {
    CHECK(platform::DecodeGeneration({{"Store-Era", text}}) == unreadable);
  }
  CHECK(platform::DecodeGeneration({{"Store-Era", "1"}, {"Store-Era", "2"}}) ==
        unreadable);
}

TEST_CASE("Fencing tokens of a newer generation are higher, and exact") {
  const FencingToken last(FirstFence(StoreGeneration(6)).value + 0xfffffffeULL);
  CHECK(FirstFence(StoreGeneration(7)) > last);
  CHECK(FirstFence(StoreGeneration()) == FencingToken(1));
  const std::uint64_t highest = FirstFence(kMaxStoreGeneration).value;
  CHECK(static_cast<std::uint64_t>(static_cast<double>(highest)) == highest);
}

TEST_CASE("The generation never falls, whatever answers say") {
  rc::prop("answers in any order, with marks of any kind", [] {
    StoreGenerations generations;
    std::uint64_t highest = 0;
    const auto numbers =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(-2, 12));
    for (const int number : numbers) {
      GenerationMark mark;
      if (number >= 0) mark = Named(static_cast<std::uint64_t>(number));
      if (number == -2) mark.present = true;
      const StoreGeneration asked_in(
          *rc::gen::inRange<std::uint64_t>(0, highest + 1));
      generations.OnAnswer(mark, asked_in);
      if (mark.generation) highest = std::max(highest, mark.generation->value);
      RC_ASSERT(generations.current() == StoreGeneration(highest));
    }
  });
}

}  // namespace
}  // namespace yuccapick
