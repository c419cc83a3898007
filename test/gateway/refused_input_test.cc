#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <utility>

#include "test/gateway/fake_caller_stream.h"

namespace yuccapick {
namespace {

using std::chrono::seconds;
using std::chrono::steady_clock;

/// Less than an answer may have unwritten while the next request is read.
constexpr std::size_t kAnswerBytes = 10'000;

const std::string kHost = " HTTP/1.1\r\nHost: h\r\n";
const std::string kFirst = "GET /look/1" + kHost + "\r\n";
/// What a caller hides in the body of a request that is refused.
const std::string kHidden =
    "POST /book/inner" + kHost + "Content-Length: 0\r\n\r\n";

/// A caller that has not taken its first answer yet.
struct SlowReader : SessionOnFakeStream {
  SlowReader() {
    stream->set_room(0);
    Deliver(kFirst);
    REQUIRE(handler.held.size() == 1);
    session->Respond(200, {}, std::string(kAnswerBytes, 'x'));
    handler.held.front()->request = IngressRequest();
  }

  /// Sends what is refused, then a hidden request in two parts, and takes all
  /// answers.
  void SendHidden() {
    const std::size_t half = kHidden.size() / 2;
    Deliver(kHidden.substr(0, half));
    Deliver(kHidden.substr(half));
    Deliver(kHidden);
    stream->TakeAll();
    Deliver(kHidden);
  }

  void CheckNothingRan(const std::string& status) {
    CHECK(handler.held.size() == 1);
    CHECK(answers() == 2);
    CHECK(stream->output().find("HTTP/1.1 " + status) != std::string::npos);
    CHECK(handler.memory->used() < kAnswerBytes);
  }
};

std::string Post(const std::string& fields) {
  return "POST /book/outer" + kHost + fields + "\r\n";
}

}  // namespace

/// Guards against a hidden request that runs behind an answer that is still
/// being written.
TEST_CASE("What follows a refused request is no request") {
  const auto [refused, status] = GENERATE(
      std::pair<std::string, std::string>(
          Post("Transfer-Encoding: chunked\r\n") + "5\r\nhello\r\n", "400"),
      std::pair<std::string, std::string>(
          Post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), "400"),
      std::pair<std::string, std::string>("no request\r\n\r\n", "400"),
      std::pair<std::string, std::string>(Post("Content-Length: 50000000\r\n"),
                                          "413"),
      std::pair<std::string, std::string>(
          Post("X-Long: " + std::string(100'000, 'x') + "\r\n"), "431"));
  CAPTURE(status);
  SlowReader caller;
  caller.Deliver(refused);
  caller.SendHidden();
  caller.CheckNothingRan(status);
}

/// Guards against the same behind a body that grows beyond the limit.
TEST_CASE("What follows a body that became too long is no request") {
  SlowReader caller;
  caller.handler.caller_limits.max_body_bytes = 100;
  caller.Deliver(Post("Transfer-Encoding: chunked\r\n") + "c8\r\n" +
                 std::string(200, 'x') + "\r\n");
  caller.SendHidden();
  caller.CheckNothingRan("413");
}

/// Guards against the same behind a refusal for lack of memory.
TEST_CASE("What follows a request that found no memory is no request") {
  SlowReader caller;
  MemoryShare others(caller.handler.memory);
  REQUIRE(others.Resize(60'000));
  others.Set(caller.handler.memory->limit());
  caller.Deliver(Post("Content-Length: 90000\r\n"));
  others.Release();
  caller.SendHidden();
  caller.CheckNothingRan("503");
}

/// Guards against the same behind a timeout or the end of a stop's grace.
TEST_CASE("What follows a request that was ended is no request") {
  SlowReader caller;
  SECTION("its head took too long") {
    caller.Deliver("POST /book/outer HTTP/1.1\r\nHost: h\r\n");
    caller.session->CheckTimeouts(steady_clock::now() + seconds(11));
    caller.SendHidden();
    // The caller takes nothing for so long that its connection may end, too.
    CHECK(caller.handler.held.size() == 1);
  }
  SECTION("the process stops") {
    caller.Deliver(Post("Content-Length: 500\r\n"));
    CHECK(caller.session->EndRequest({}));
    CHECK_FALSE(caller.session->EndRequest({}));
    caller.SendHidden();
    caller.CheckNothingRan("503");
  }
}

/// Guards against a request that runs though its caller was told that the
/// connection ends before it.
TEST_CASE("What follows an answer that closes its connection is no request") {
  const std::string field = GENERATE("Connection: close\r\n", "");
  SessionOnFakeStream caller;
  if (field.empty()) caller.session->AnnounceClose();
  caller.stream->set_room(0);
  caller.Deliver("GET /look/1" + kHost + field + "\r\n");
  REQUIRE(caller.handler.held.size() == 1);
  caller.session->Respond(200, {}, std::string(kAnswerBytes, 'x'));
  caller.Deliver(kHidden);
  caller.stream->TakeAll();
  caller.Deliver(kHidden);
  CHECK(caller.handler.held.size() == 1);
  CHECK(caller.answers() == 1);
}

/// Guards against a refusal that ends requests which were sent properly.
TEST_CASE("Requests behind an answer that is still being written are served") {
  SlowReader caller;
  caller.Deliver(Post("Content-Length: 5\r\n") + "hello" + kFirst);
  REQUIRE(caller.handler.held.size() == 2);
  CHECK(caller.handler.held.back()->request.body == "hello");
  caller.session->Respond(200, {}, "second");
  caller.stream->TakeAll();
  caller.Deliver("");
  REQUIRE(caller.handler.held.size() == 3);
  caller.session->Respond(200, {}, "third");
  CHECK(caller.answers() == 3);
}

/// Guards against a caller that makes the gateway read without end.
TEST_CASE("Little is read behind a refusal while its answer isn't taken") {
  SlowReader caller;
  caller.Deliver("no request\r\n\r\n");
  caller.Deliver(std::string(1'000'000, 'x'));
  CHECK(caller.stream->unread() > 900'000);
}

}  // namespace yuccapick
