#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "test/gateway/fake_caller_stream.h"

namespace yuccapick {
namespace {

constexpr std::size_t kBodyBytes = 3'000;
constexpr char kInterimAnswer[] = "HTTP/1.1 100 Continue\r\n\r\n";

/// Letters that don't repeat soon, so that displaced bytes are noticed.
std::string Body() {
  constexpr std::size_t kLetters = 26;
  std::string body;
  for (std::size_t i = 0; i < kBodyBytes; ++i) {
    body += static_cast<char>('a' + i * 7 % kLetters);
  }
  return body;
}

std::string Head(const std::string& fields,
                 const std::string& version = "1.1") {
  return "POST /book/1 HTTP/" + version + "\r\nHost: h\r\n" + fields +
         "Expect: 100-continue\r\n\r\n";
}

const std::string kLengthField =
    "Content-Length: " + std::to_string(kBodyBytes) + "\r\n";

/// Guards against a request that runs with other bytes after its caller left.
TEST_CASE("A whole request is handed over as sent though its caller left") {
  SessionOnFakeStream caller;
  caller.stream->FailWriteAfter(0);
  caller.Deliver(Head(kLengthField) + Body());
  REQUIRE(caller.handler.held.size() == 1);
  CHECK(caller.handler.held.front()->request.body == Body());
  caller.Leave();
  CHECK(caller.session->closed());
  CHECK(caller.handler.held.front()->cancelled == 1);
}

/// Guards against a request of a closed session that nobody cancels.
TEST_CASE("A request whose interim answer can't be sent is not handed over") {
  SessionOnFakeStream caller;
  caller.stream->FailWriteAfter(0);
  const std::size_t first = kBodyBytes / 2;
  caller.Deliver(Head(kLengthField) + Body().substr(0, first));
  CHECK(caller.session->closed());
  caller.Deliver(Body().substr(first));
  CHECK(caller.handler.held.empty());
  CHECK(caller.handler.memory->used() == 0);
  CHECK_FALSE(caller.session->busy());
  CHECK_FALSE(caller.session->receiving());
}

/// Guards against the same with a body in chunks, whose parser reads on.
TEST_CASE("No request in chunks outlives the connection that fails") {
  rc::prop("each split of the bytes and each write that fails", [] {
    const std::string text = Head("Transfer-Encoding: chunked\r\n") +
                             "bb8\r\n" + Body() + "\r\n0\r\n\r\n" +
                             "GET /look/1 HTTP/1.1\r\nHost: h\r\n\r\n";
    const auto failing = *rc::gen::inRange(0, 3);
    SessionOnFakeStream caller;
    caller.stream->FailWriteAfter(failing);
    for (std::size_t at = 0; at < text.size();) {
      const auto n = *rc::gen::inRange<std::size_t>(1, text.size());
      caller.Deliver(text.substr(at, n));
      at += n;
      for (const auto& it : caller.handler.held) {
        it->session->Respond(200, {}, "answer");
      }
    }
    caller.Leave();
    RC_ASSERT(caller.session->closed());
    const auto& held = caller.handler.held;
    for (const auto& it : held) {
      RC_ASSERT(it->request.body.empty() || it->request.body == Body());
      it->request = IngressRequest();
    }
    RC_ASSERT(caller.handler.memory->used() == 0U);
    RC_ASSERT(!caller.session->busy());
  });
}

/// Guards against an answer that is streamed on after its connection failed
/// while the request was handed over.
TEST_CASE("A request whose answer fails while it is handed over is cancelled") {
  SessionOnFakeStream caller;
  caller.handler.streams_at_once = true;
  caller.stream->FailWriteAfter(0);
  caller.Deliver("GET /look/1 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(caller.handler.held.size() == 1);
  CHECK(caller.session->closed());
  CHECK(caller.handler.held.front()->cancelled == 1);
}

/// Guards against an interim answer that a caller takes for the final one.
TEST_CASE("An interim answer is sent to who waits for it only") {
  SessionOnFakeStream waiting;
  waiting.Deliver(Head(kLengthField));
  CHECK(waiting.stream->output() == kInterimAnswer);
  waiting.Deliver(Body());
  CHECK(waiting.stream->output() == kInterimAnswer);
  CHECK(waiting.handler.held.size() == 1);

  SessionOnFakeStream whole;
  whole.Deliver(Head(kLengthField) + Body());
  CHECK(whole.stream->output().empty());
  CHECK(whole.handler.held.size() == 1);

  // It would take the interim answer for the final one.
  SessionOnFakeStream old;
  old.Deliver(Head(kLengthField, "1.0"));
  CHECK(old.stream->output().empty());
}

}  // namespace
}  // namespace yuccapick
