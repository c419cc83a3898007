#include "yuccapick/event_splitter.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

constexpr std::size_t kMaxEventBytes = 1'000;

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) +
         "\n\n";
}

TEST_CASE("Events pass unchanged wherever the stream is split") {
  rc::prop("whole events, in order", [] {
    std::string stream;
    const int events = *rc::gen::inRange(1, 12);
    for (int i = 1; i <= events; ++i) stream += Event(i);
    EventSplitter splitter(kMaxEventBytes);
    std::string out;
    std::size_t at = 0;
    while (at < stream.size()) {
      const auto n = *rc::gen::inRange<std::size_t>(1, 40);
      const auto passed = splitter.Feed(stream.substr(at, n));
      RC_ASSERT(passed.ok());
      out += *passed;
      at += n;
    }
    RC_ASSERT(out == stream);
    RC_ASSERT(splitter.AtEventBoundary());
    RC_ASSERT(splitter.last_id() == static_cast<std::uint64_t>(events));
  });
}

TEST_CASE("An incomplete event is held back until it ends") {
  EventSplitter splitter(kMaxEventBytes);
  CHECK(*splitter.Feed(Event(1) + "id: 2\ndata: ha") == Event(1));
  CHECK_FALSE(splitter.AtEventBoundary());
  splitter.DiscardPartialEvent();
  CHECK(*splitter.Feed(Event(2)) == Event(2));
}

TEST_CASE("Events that were passed on before are dropped") {
  EventSplitter splitter(kMaxEventBytes);
  splitter.set_last_id(4);
  CHECK(*splitter.Feed(Event(4) + Event(5)) == Event(5));
}

TEST_CASE("Lines may end with carriage returns") {
  EventSplitter splitter(kMaxEventBytes);
  const std::string event = "id: 7\r\ndata: x\r\n\r\n";
  CHECK(*splitter.Feed(event) == event);
  CHECK(splitter.last_id() == 7U);
}

TEST_CASE("An event over the limit is an error") {
  EventSplitter splitter(10);
  CHECK_FALSE(splitter.Feed("data: far too long for the limit").ok());
}

}  // namespace
}  // namespace yuccapick
