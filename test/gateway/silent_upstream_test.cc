#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using Connection = FakeUpstream::Connection;
using std::chrono::milliseconds;

/// How long a sound upstream may say nothing.
constexpr milliseconds kSilence{1'000};
constexpr std::size_t kCallers = 12;

constexpr char kRoutes[] = R"([
 {"name":"book","host":"crew.example","prefix":"/book/",
  "kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,
  "service":"app","maxAttempts":1},
 {"name":"look","host":"crew.example","prefix":"/look/","kind":"idempotent",
  "timeoutMs":3000,"targetLatencyMs":300,"service":"app","maxAttempts":3},
 {"name":"tell","host":"crew.example","prefix":"/tell/","kind":"streaming",
  "timeoutMs":4000,"targetLatencyMs":300,"gapTargetMs":300,"service":"app",
  "maxAttempts":3,"resumable":true},
 {"name":"note","host":"crew.example","prefix":"/note/","kind":"streaming",
  "timeoutMs":4000,"targetLatencyMs":300,"gapTargetMs":300,"service":"app",
  "maxAttempts":3}])";

std::string EventChunk(int id) {
  const std::string event = fmt::format("id: {}\ndata: x\n\n", id);
  return fmt::format("{:x}\r\n{}\r\n", event.size(), event);
}

/// A gateway with upstreams that say nothing for `kSilence` and then go on.
struct PausingUpstreams {
  explicit PausingUpstreams(std::size_t n) {
    for (std::size_t i = 0; i < n; ++i) {
      upstreams.push_back(std::make_unique<FakeUpstream>(
          fixture.loop, fmt::format("up-{}", i + 1),
          [this, i](Connection& c, const ReceivedRequest& r) {
            OnRequest(*upstreams[i], c, r);
          }));
    }
    fixture.PutConfig(1, kRoutes);
    for (const auto& upstream : upstreams) fixture.Register(*upstream, "app");
    fixture.Start();
    REQUIRE(fixture.AwaitListed(n));
  }

  void OnRequest(const FakeUpstream& upstream, Connection& c,
                 const ReceivedRequest& r) {
    const bool stream =
        r.path().starts_with("/tell/") || r.path().starts_with("/note/");
    const std::string resumed = r.Field("Last-Event-Id");
    const int from = resumed.empty() ? 1 : std::stoi(resumed) + 1;
    if (stream) {
      upstream.BeginStream(c, r);
      c.Write(EventChunk(from));
    }
    After(kSilence, [&upstream, c = c.shared_from_this(), r, stream, from] {
      if (c->closed_by_peer) return;
      if (!stream) return upstream.Answer(*c, r, 200, "good");
      for (int id = from + 1; id <= 3; ++id) c->Write(EventChunk(id));
      c->Write("0\r\n\r\n");
    });
  }

  void After(milliseconds delay, std::function<void()> call) {
    timers.push_back(std::make_unique<asio::steady_timer>(fixture.loop, delay));
    timers.back()->async_wait([call = std::move(call)](asio::error_code ec) {
      if (!ec) call();
    });
  }

  std::size_t Received() const {
    std::size_t n = 0;
    for (const auto& upstream : upstreams) n += upstream->received().size();
    return n;
  }

  /// Sends `kCallers` requests at once.
  /// @return the answers
  std::vector<std::string> AskMany(const std::string& method,
                                   const std::string& path,
                                   const std::string& end) {
    std::vector<std::unique_ptr<FakeCaller>> callers;
    for (std::size_t i = 0; i < kCallers; ++i) {
      callers.push_back(std::make_unique<FakeCaller>(
          fixture.loop, fixture.settings.caller_endpoint));
      callers.back()->Send(
          CallerRequest(method, path, "", "x", fmt::format("many-{}", i)));
    }
    static_cast<void>(fixture.RunUntilTrue([&] {
      return std::all_of(callers.begin(), callers.end(), [&](const auto& it) {
        return it->closed() || it->input().ends_with(end) ||
               it->input().find("HTTP/1.1 5") == 0;
      });
    }));
    std::vector<std::string> answers;
    for (const auto& caller : callers) answers.push_back(caller->input());
    return answers;
  }

  GatewayFixture fixture;
  std::vector<std::unique_ptr<asio::steady_timer>> timers;
  std::vector<std::unique_ptr<FakeUpstream>> upstreams;
};

std::size_t CountEvents(const std::string& answer) {
  std::size_t n = 0;
  for (int id = 1; id <= 3; ++id) {
    std::size_t at = 0;
    const std::string event = fmt::format("id: {}\n", id);
    while ((at = answer.find(event, at)) != std::string::npos) {
      ++n;
      ++at;
    }
  }
  return n;
}

TEST_CASE("A booking waits for an upstream that is silent for a second") {
  PausingUpstreams gateway(2);
  for (const std::string& answer : gateway.AskMany("POST", "/book/1", "good")) {
    CHECK(answer.starts_with("HTTP/1.1 200"));
  }
  CHECK(gateway.Received() == kCallers);
}

TEST_CASE("While all upstreams are silent for a second nothing is refused") {
  PausingUpstreams gateway(2);
  for (const std::string& answer : gateway.AskMany("GET", "/look/1", "good")) {
    CHECK(answer.starts_with("HTTP/1.1 200"));
  }
  CHECK(gateway.Received() <= 2 * kCallers);
}

TEST_CASE("A stream goes on after a silence of its only upstream") {
  PausingUpstreams gateway(1);
  for (const char* path : {"/tell/1", "/note/1"}) {
    for (const std::string& answer :
         gateway.AskMany("POST", path, "0\r\n\r\n")) {
      CHECK(answer.ends_with("0\r\n\r\n"));
      CHECK(CountEvents(answer) == 3);
    }
  }
  CHECK(gateway.Received() == 2 * kCallers);
}

TEST_CASE("Streams are complete though all upstreams pause in the middle") {
  PausingUpstreams gateway(2);
  for (const std::string& answer :
       gateway.AskMany("POST", "/tell/1", "0\r\n\r\n")) {
    CHECK(answer.ends_with("0\r\n\r\n"));
    CHECK(CountEvents(answer) == 3);
  }
}

TEST_CASE("A stream returns to a silent upstream if all others are full") {
  GatewayFixture fixture;
  std::unique_ptr<FakeUpstream> upstreams[2];
  FakeUpstream* silent = nullptr;
  const auto script = [&](FakeUpstream& upstream, Connection& c,
                          const ReceivedRequest& r) {
    if (silent == nullptr) {
      silent = &upstream;
      upstream.BeginStream(c, r);
      return c.Write(EventChunk(1));
    }
    if (silent != &upstream) {
      return upstream.Answer(c, r, 503, "", "X-Not-Executed: full\r\n");
    }
    CHECK(r.Field("Last-Event-Id") == "1");
    upstream.BeginStream(c, r);
    c.Write(EventChunk(2) + EventChunk(3) + "0\r\n\r\n");
  };
  for (int i = 0; i < 2; ++i) {
    upstreams[i] = std::make_unique<FakeUpstream>(
        fixture.loop, fmt::format("up-{}", i),
        [&script, &upstreams, i](Connection& c, const ReceivedRequest& r) {
          script(*upstreams[i], c, r);
        });
  }
  fixture.PutConfig(1, kRoutes);
  for (const auto& upstream : upstreams) fixture.Register(*upstream, "app");
  fixture.Start();
  REQUIRE(fixture.AwaitListed(2));
  const std::string answer =
      fixture.Ask(CallerRequest("POST", "/tell/1", "", "x"));
  CHECK(answer.ends_with("0\r\n\r\n"));
  CHECK(CountEvents(answer) == 3);
}

}  // namespace
}  // namespace yuccapick
