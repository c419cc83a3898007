#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "test/gateway/fake_caller_stream.h"

namespace yuccapick {
namespace {

using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr std::size_t kPartBytes = 400'000;
constexpr std::size_t kTakenBytes = 100'000;

/// A caller that gets a streamed answer and takes a part of it.
struct StreamReader : SessionOnFakeStream {
  explicit StreamReader(const std::string& version) {
    stream->set_room(kTakenBytes);
    Deliver("GET /look/1 HTTP/" + version + "\r\nHost: h\r\n\r\n");
    REQUIRE(handler.held.size() == 1);
    session->BeginStream(200, {});
    session->StreamBody(std::string(kPartBytes, 'x'));
  }

  /// True if the caller can tell that it has not got the whole answer.
  bool SeesCut() const {
    const bool chunked = stream->output().find("chunked") != std::string::npos;
    const bool ended = stream->output().ends_with("\r\n0\r\n\r\n");
    return chunked ? !ended : stream->reset_on_close();
  }
};

}  // namespace

/// Guards against a part that passes for the whole answer with a caller that
/// knows no chunks.
TEST_CASE("An answer that is cut is never taken for whole") {
  const std::string version = GENERATE("1.0", "1.1");
  CAPTURE(version);
  StreamReader caller(version);
  SECTION("its upstream fails") {
    caller.session->Abort();
    CHECK(caller.stream->closed());
  }
  SECTION("its upstream has ended and the caller takes nothing") {
    caller.session->EndStream();
    caller.session->CheckTimeouts(steady_clock::now() + seconds(600));
    CHECK(caller.stream->closed());
  }
  SECTION("its upstream has ended and the process ends") {
    caller.session->EndStream();
  }
  CHECK(caller.SeesCut());
}

/// Guards against a whole answer that its caller takes for cut.
TEST_CASE("An answer that was taken whole ends in order") {
  StreamReader caller("1.0");
  caller.session->EndStream();
  caller.stream->TakeAll();
  CHECK(caller.stream->output().ends_with(std::string(kPartBytes, 'x')));
  CHECK_FALSE(caller.stream->reset_on_close());
}

}  // namespace yuccapick
