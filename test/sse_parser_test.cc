#include "yuccapick/sse_parser.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace yuccapick {
namespace {

constexpr std::size_t kMaxEventBytes = 1 << 16;

std::vector<std::string> Parse(const std::vector<std::string>& pieces) {
  std::vector<std::string> events;
  SseParser parser(kMaxEventBytes,
                   [&](std::string_view data) { events.emplace_back(data); });
  for (const std::string& piece : pieces) REQUIRE(parser.Feed(piece).ok());
  return events;
}

TEST_CASE("Events come out with their data lines joined") {
  const auto events = Parse(
      {"data: a\n\n:comment\nevent: x\ndata:b\ndata:  c\n\ndata\n\nid: 1\n\n"});
  CHECK(events == std::vector<std::string>{"a", "b\n c", ""});
}

TEST_CASE("LF, CR and CRLF each end a line") {
  const std::vector<std::string> expected{"a", "b"};
  CHECK(Parse({"data:a\r\n\r\ndata:b\r\n\r\n"}) == expected);
  CHECK(Parse({"data:a\r\rdata:b\r\r"}) == expected);
  CHECK(Parse({"data:a\r", "\n\r\n", "data:b\n\r", "\n"}) == expected);
}

TEST_CASE("An event without its empty line is not passed on") {
  CHECK(Parse({"data: a\n"}).empty());
}

TEST_CASE("Events do not depend on where the stream is split") {
  rc::prop("any split", [](const std::vector<int>& numbers) {
    std::string text;
    std::vector<std::string> expected;
    for (const int n : numbers) {
      expected.push_back(std::to_string(n));
      text += "data: " + expected.back() + (n % 2 == 0 ? "\n\n" : "\r\n\r\n");
    }
    std::vector<std::string> pieces;
    while (!text.empty()) {
      const auto n = *rc::gen::inRange<std::size_t>(1, text.size() + 1);
      pieces.push_back(text.substr(0, n));
      text.erase(0, n);
    }
    RC_ASSERT(Parse(pieces) == expected);
  });
}

TEST_CASE("After an event over the limit every call fails") {
  SseParser parser(8, [](std::string_view) {});
  CHECK_FALSE(parser.Feed("data: much too long").ok());
  CHECK_FALSE(parser.Feed("\n\n").ok());
}

}  // namespace
}  // namespace yuccapick
