#include "yuccapick/store_contact.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::seconds(60)};
constexpr milliseconds kDuration{8'000};

TEST_CASE("A store that never answered is not in touch") {
  StoreContact contact;
  contact.OnFailure(kStart);
  CHECK_FALSE(contact.InTouchFor(milliseconds(0), kStart));
}

TEST_CASE("A store that answers a new process at once is in touch") {
  StoreContact contact;
  contact.OnFailure(kStart);
  contact.OnAnswer(kStart + milliseconds(500));
  CHECK(contact.InTouchFor(kDuration, kStart + milliseconds(500)));
}

TEST_CASE("After an outage at the start the first answer begins the time") {
  StoreContact contact;
  contact.OnFailure(kStart - milliseconds(1'000));
  contact.OnAnswer(kStart);
  contact.OnAnswer(kStart + milliseconds(5'000));
  CHECK_FALSE(
      contact.InTouchFor(kDuration, kStart + kDuration - milliseconds(1)));
  CHECK(contact.InTouchFor(kDuration, kStart + kDuration));
}

TEST_CASE("A single call without an answer does not end the time in touch") {
  StoreContact contact;
  contact.OnAnswer(kStart);
  contact.OnFailure(kStart + milliseconds(7'000));
  contact.OnAnswer(kStart + milliseconds(7'300));
  CHECK(contact.InTouchFor(kDuration, kStart + kDuration));
}

TEST_CASE("An outage of the store ends the time in touch") {
  StoreContact contact;
  contact.OnAnswer(kStart);
  contact.OnFailure(kStart + milliseconds(7'000));
  contact.OnFailure(kStart + milliseconds(8'500));
  CHECK_FALSE(contact.InTouchFor(kDuration, kStart + milliseconds(8'500)));
  contact.OnAnswer(kStart + milliseconds(9'000));
  CHECK_FALSE(contact.InTouchFor(kDuration, kStart + milliseconds(16'999)));
  CHECK(contact.InTouchFor(kDuration, kStart + milliseconds(17'000)));
}

}  // namespace
}  // namespace yuccapick
