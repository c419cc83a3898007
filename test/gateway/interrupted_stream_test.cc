#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using Connection = FakeUpstream::Connection;
using Answer = FakeUpstream::Script;

constexpr char kRoutes[] = R"([
 {"name":"tell","host":"crew.example","prefix":"/tell/","kind":"streaming",
  "timeoutMs":3000,"targetLatencyMs":300,"gapTargetMs":300,"service":"app",
  "maxAttempts":3,"resumable":true},
 {"name":"book","host":"crew.example","prefix":"/book/",
  "kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,
  "service":"app","maxAttempts":1}])";
constexpr char kEndOfStream[] = "\r\n0\r\n\r\n";
constexpr char kErrorText[] = "database is away\n\nid: 9\ndata: no\n\n";
/// More than a gateway buffers of an answer.
constexpr std::size_t kLargeBody = 300'000;

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string Chunk(const std::string& bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string Event(int id) { return fmt::format("id: {}\ndata: x\n\n", id); }

std::string Head(const ReceivedRequest& request, int status,
                 const std::string& fields) {
  return fmt::format(
      "HTTP/1.1 {} X\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s\r\n{}\r\n", status,
      request.Field("X-Attempt-Id"), fields);
}

constexpr char kEventStream[] =
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

/// Begins a stream and breaks off.
void BreakOff(Connection& c, const ReceivedRequest& r) {
  c.Write(Head(r, 200, kEventStream) + Chunk(Event(1) + Event(2)));
  c.Close();
}

/// Continues the stream to its end.
void Continue(Connection& c, const ReceivedRequest& r) {
  c.Write(Head(r, 200, kEventStream) + Chunk(Event(3) + Event(4)) +
          "0\r\n\r\n");
}

Answer Error(int status, std::size_t min_bytes = 0) {
  return [status, min_bytes](Connection& c, const ReceivedRequest& r) {
    std::string text = kErrorText;
    if (text.size() < min_bytes) text.append(min_bytes - text.size(), 'e');
    c.Write(
        Head(r, status, fmt::format("Content-Length: {}\r\n", text.size())) +
        text);
  };
}

/// A success whose body isn't an event stream.
void AnswerPlainText(Connection& c, const ReceivedRequest& r) {
  c.Write(Head(r, 200,
               fmt::format("Content-Type: text/plain\r\nContent-Length: {}\r\n",
                           sizeof(kErrorText) - 1)) +
          kErrorText);
}

/// Three upstreams, of which the first to be asked gives the first answer, and
/// so on.
struct ThreeUpstreams {
  explicit ThreeUpstreams(std::vector<Answer> scripted)
      : answers(std::move(scripted)) {
    for (const char* id : {"up-1", "up-2", "up-3"}) {
      upstreams.push_back(std::make_unique<FakeUpstream>(
          fixture.loop, id, [this](Connection& c, const ReceivedRequest& r) {
            const std::size_t n = std::min(requests++, answers.size() - 1);
            answers[n](c, r);
          }));
    }
    fixture.PutConfig(1, kRoutes);
    for (const auto& upstream : upstreams) fixture.Register(*upstream, "app");
    fixture.Start();
    REQUIRE(fixture.AwaitListed(upstreams.size()));
  }

  GatewayFixture fixture;
  std::vector<Answer> answers;
  std::vector<std::unique_ptr<FakeUpstream>> upstreams;
  std::size_t requests = 0;
};

TEST_CASE("An error after a stream has begun doesn't reach its caller") {
  for (const int status : {301, 400, 404, 429, 500, 503}) {
    ThreeUpstreams three({BreakOff, Error(status)});
    const std::string answer =
        three.fixture.Ask(CallerRequest("POST", "/tell/1"));
    CAPTURE(status);
    CHECK(Contains(answer, Event(2)));
    CHECK_FALSE(Contains(answer, "database"));
    CHECK_FALSE(answer.ends_with(kEndOfStream));
  }
}

TEST_CASE("A stream goes on after the error of another upstream") {
  for (const int status : {404, 500}) {
    ThreeUpstreams three({BreakOff, Error(status), Continue});
    const std::string answer =
        three.fixture.Ask(CallerRequest("POST", "/tell/1"));
    CAPTURE(status);
    CHECK_FALSE(Contains(answer, "database"));
    CHECK(Contains(answer, Event(3) + Event(4)));
    CHECK(answer.ends_with(kEndOfStream));
  }
}

TEST_CASE("A stream isn't continued by an answer that is no event stream") {
  ThreeUpstreams three({BreakOff, AnswerPlainText});
  const std::string answer =
      three.fixture.Ask(CallerRequest("POST", "/tell/1"));
  CHECK(Contains(answer, Event(2)));
  CHECK_FALSE(Contains(answer, "database"));
  CHECK_FALSE(answer.ends_with(kEndOfStream));
}

TEST_CASE("A large error isn't followed by another upstream's stream") {
  ThreeUpstreams three({Error(500, kLargeBody), Continue});
  const std::string answer =
      three.fixture.Ask(CallerRequest("POST", "/tell/1"));
  const bool has_error = Contains(answer, "database");
  const bool has_stream = Contains(answer, "id: 3\ndata: x");
  CHECK(has_error != has_stream);
}

TEST_CASE("A large failure is delivered whole") {
  ThreeUpstreams three({Error(500, kLargeBody)});
  const std::string answer =
      three.fixture.Ask(CallerRequest("POST", "/book/1", "", "o"));
  CHECK(answer.starts_with("HTTP/1.1 500"));
  CHECK(answer.ends_with(kEndOfStream));
  CHECK(three.requests == 1);
}

}  // namespace
}  // namespace yuccapick
