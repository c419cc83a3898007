#include "gateway/http_reader.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

constexpr std::size_t kMaxHead = 1'000;

/// Collects the parts of one message.
struct Message {
  HttpHead head;
  std::string body;

  void Add(HttpParts parts) {
    if (parts.head) head = *std::move(parts.head);
    for (const std::string_view bytes : parts.body) body += bytes;
  }
};

absl::Status FeedAll(HttpReader& reader, std::string_view bytes,
                     Message* message = nullptr) {
  HttpParts parts;
  const absl::Status status = reader.Feed(bytes, parts);
  if (message != nullptr) message->Add(std::move(parts));
  return status;
}

absl::Status ReadRequest(const std::string& text) {
  HttpReader reader(HttpReader::Kind::kRequest, kMaxHead);
  return FeedAll(reader, text);
}

TEST_CASE("A request is parsed the same for any split of its bytes") {
  rc::prop("parts of any size", [] {
    const std::string text =
        "POST /a/b?x=1 HTTP/1.1\r\nHost: h\r\nX-Key:  v \r\n"
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n3\r\nyou\r\n0\r\n\r\n";
    Message message;
    HttpReader reader(HttpReader::Kind::kRequest, kMaxHead);
    std::size_t at = 0;
    while (at < text.size()) {
      const auto n = *rc::gen::inRange<std::size_t>(1, 30);
      HttpParts parts;
      RC_ASSERT(reader.Feed(std::string_view(text).substr(at, n), parts).ok());
      RC_ASSERT(parts.consumed > 0U);
      at += parts.consumed;
      message.Add(std::move(parts));
    }
    RC_ASSERT(reader.complete());
    RC_ASSERT(message.head.method == "POST");
    RC_ASSERT(message.head.target == "/a/b?x=1");
    RC_ASSERT(*message.head.Find("x-key") == "v");
    RC_ASSERT(message.body == "helloyou");
  });
}

TEST_CASE("Parsing stops at the end of a message") {
  HttpReader reader(HttpReader::Kind::kRequest, kMaxHead);
  const std::string first = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
  HttpParts parts;
  REQUIRE(reader.Feed(first + "GET /2", parts).ok());
  CHECK(parts.consumed == first.size());
  CHECK(reader.complete());
  reader.Reset();
  CHECK(reader.at_start());
}

TEST_CASE("Requests with ambiguous framing are rejected") {
  for (const std::string& fields :
       {std::string("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"),
        std::string("Content-Length: 3\r\nContent-Length: 4\r\n"),
        std::string("Transfer-Encoding: chunked, identity\r\n"),
        std::string("Transfer-Encoding: xchunked\r\n"),
        std::string("Content-Length : 3\r\n"),
        std::string("Content-Length: 3x\r\n"),
        std::string("Content-Length: -3\r\n")}) {
    INFO(fields);
    std::string text = "POST / HTTP/1.1\r\nHost: h\r\n";
    text.append(fields).append("\r\nabc");
    CHECK_FALSE(ReadRequest(text).ok());
  }
}

TEST_CASE("Malformed request lines and fields are rejected") {
  for (const std::string& text :
       {std::string("hello\r\n\r\n"), std::string("GET / HTTP/2.0\r\n\r\n"),
        std::string("GET /a b HTTP/1.1\r\n\r\n"),
        std::string("GET / HTTP/1.1\r\nno colon\r\n\r\n"),
        std::string("GET / HTTP/1.1\r\nbad name: x\r\n\r\n")}) {
    INFO(text);
    CHECK_FALSE(ReadRequest(text).ok());
  }
}

TEST_CASE("A head over the limit is reported as resource exhausted") {
  const std::string text =
      "GET / HTTP/1.1\r\nX-Long: " + std::string(2'000, 'x') + "\r\n\r\n";
  CHECK(absl::IsResourceExhausted(ReadRequest(text)));
}

TEST_CASE("An answer without a length is complete at the end of input") {
  Message message;
  HttpReader reader(HttpReader::Kind::kResponse, kMaxHead);
  REQUIRE(FeedAll(reader, "HTTP/1.1 200 OK\r\n\r\npart", &message).ok());
  CHECK_FALSE(reader.complete());
  CHECK(reader.FeedEof().ok());
  CHECK(message.body == "part");
}

TEST_CASE("An answer shorter than its length is an error at the end of input") {
  HttpReader reader(HttpReader::Kind::kResponse, kMaxHead);
  REQUIRE(
      FeedAll(reader, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart").ok());
  CHECK_FALSE(reader.FeedEof().ok());
}

}  // namespace
}  // namespace yuccapick
