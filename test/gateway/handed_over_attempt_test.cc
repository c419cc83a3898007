#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using Connection = FakeUpstream::Connection;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr char kRoutes[] = R"([
 {"name":"look","host":"crew.example","prefix":"/look/","kind":"idempotent",
  "timeoutMs":6000,"targetLatencyMs":300,"service":"app","maxAttempts":2},
 {"name":"tell","host":"crew.example","prefix":"/tell/","kind":"streaming",
  "timeoutMs":6000,"targetLatencyMs":300,"gapTargetMs":300,"service":"app",
  "maxAttempts":2,"resumable":true}])";

/// Longer than an upstream may be silent.
constexpr milliseconds kPause{2'500};
constexpr std::size_t kPieceBytes = 50'000;
constexpr int kPieces = 12;
/// By then the gateway has begun to pass the answer on.
constexpr int kPausePiece = 7;
constexpr int kEvents = 4;
/// An attempt must have ended so soon after its request has gone on elsewhere.
constexpr milliseconds kMaxOverlap{400};

std::string Event(int id) { return fmt::format("id: {}\ndata: x\n\n", id); }

std::string Chunk(const std::string& bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

/// Events from one to another, and the end of the stream.
std::string Rest(int from) {
  std::string text;
  for (int id = from; id <= kEvents; ++id) text += Chunk(Event(id));
  return text + "0\r\n\r\n";
}

/// A gateway with two upstreams. The first that gets a request begins to answer
/// and is silent then; the script tells what the other one does.
class SilentAndOther {
 public:
  using Script =
      std::function<void(FakeUpstream&, Connection&, const ReceivedRequest&)>;

  SilentAndOther(Script begin, Script other)
      : begin_(std::move(begin)), other_(std::move(other)) {
    for (int i = 0; i < 2; ++i) {
      upstreams_.push_back(std::make_unique<FakeUpstream>(
          fixture.loop, fmt::format("up-{}", i),
          [this, i](Connection& c, const ReceivedRequest& r) {
            OnRequest(*upstreams_[static_cast<std::size_t>(i)], c, r);
          }));
    }
    fixture.PutConfig(1, kRoutes);
    for (const auto& upstream : upstreams_) fixture.Register(*upstream, "app");
    fixture.Start();
    REQUIRE(fixture.AwaitListed(2));
  }

  void After(milliseconds delay, std::function<void()> call) {
    timers_.push_back(
        std::make_unique<asio::steady_timer>(fixture.loop, delay));
    timers_.back()->async_wait([call = std::move(call)](asio::error_code ec) {
      if (!ec) call();
    });
  }

  std::size_t Received() const {
    return upstreams_[0]->received().size() + upstreams_[1]->received().size();
  }

  GatewayFixture fixture;
  std::shared_ptr<Connection> silent;  ///< Of the first attempt.
  std::shared_ptr<Connection> second;  ///< Of the attempt at the other one.

 private:
  void OnRequest(FakeUpstream& upstream, Connection& c,
                 const ReceivedRequest& r) {
    if (silent == nullptr) {
      silent = c.shared_from_this();
      return begin_(upstream, c, r);
    }
    second = c.shared_from_this();
    other_(upstream, c, r);
  }

  Script begin_;
  Script other_;
  std::vector<std::unique_ptr<asio::steady_timer>> timers_;
  std::vector<std::unique_ptr<FakeUpstream>> upstreams_;
};

void BeginStream(FakeUpstream& upstream, Connection& c,
                 const ReceivedRequest& r) {
  upstream.BeginStream(c, r);
  c.Write(Chunk(Event(1)));
}

void RejectAsFull(FakeUpstream& upstream, Connection& c,
                  const ReceivedRequest& r) {
  upstream.Answer(c, r, 503, "", "X-Not-Executed: full\r\n");
}

void SayNothing(FakeUpstream& /*upstream*/, Connection& /*c*/,
                const ReceivedRequest& /*r*/) {}

/// True if the caller's stream has each event once, in order, and its end.
bool IsWholeStream(const std::string& answer) {
  std::size_t at = 0;
  for (int id = 1; id <= kEvents; ++id) {
    at = answer.find(Event(id), at);
    if (at == std::string::npos) return false;
    at += Event(id).size();
  }
  return answer.ends_with("0\r\n\r\n") &&
         answer.find("id: ", at) == std::string::npos;
}

}  // namespace

/// Guards against an answer that is cut for a retry that can't be had.
TEST_CASE("A long answer that has begun waits for its silent upstream") {
  SilentAndOther gateway(
      [&](FakeUpstream& /*upstream*/, Connection& c, const ReceivedRequest& r) {
        c.Write(fmt::format(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s\r\n"
            "Content-Length: {}\r\n\r\n{}",
            r.Field("X-Attempt-Id"), kPieces * kPieceBytes,
            std::string(kPausePiece * kPieceBytes, 'x')));
        gateway.After(kPause, [self = c.shared_from_this()] {
          self->Write(std::string((kPieces - kPausePiece) * kPieceBytes, 'y'));
        });
      },
      SayNothing);
  const std::string answer =
      gateway.fixture.Ask(CallerRequest("GET", "/look/1"));
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.ends_with("\r\n0\r\n\r\n"));
  CHECK(std::count(answer.begin(), answer.end(), 'y') ==
        (kPieces - kPausePiece) * kPieceBytes);
  CHECK(gateway.Received() == 1);
}

/// Guards against a stream that is cut since all other upstreams are full.
TEST_CASE("A stream goes on at its silent upstream if the other one is full") {
  SilentAndOther gateway(
      [&](FakeUpstream& upstream, Connection& c, const ReceivedRequest& r) {
        BeginStream(upstream, c, r);
        gateway.After(kPause,
                      [self = c.shared_from_this()] { self->Write(Rest(2)); });
      },
      RejectAsFull);
  const std::string answer =
      gateway.fixture.Ask(CallerRequest("POST", "/tell/1", "", "x"));
  CHECK(IsWholeStream(answer));
  CHECK(gateway.Received() == 2);
}

/// Guards against a failure that is told while an answer is still coming.
TEST_CASE("A request waits for its silent upstream if the other one is full") {
  SilentAndOther gateway(
      [&](FakeUpstream& upstream, Connection& c, const ReceivedRequest& r) {
        gateway.After(kPause, [&upstream, r, self = c.shared_from_this()] {
          upstream.Answer(*self, r, 200, "good");
        });
      },
      RejectAsFull);
  CHECK(gateway.fixture.Ask(CallerRequest("GET", "/look/1"))
            .starts_with("HTTP/1.1 200"));
  CHECK(gateway.Received() == 2);
}

/// Guards against a stream that is cut since another upstream, which had seemed
/// to take it, rejects it late.
TEST_CASE(
    "A stream returns to its silent upstream if another rejects it late") {
  constexpr milliseconds kRejectAfter{700};
  SilentAndOther gateway(BeginStream, [&](FakeUpstream& upstream, Connection& c,
                                          const ReceivedRequest& r) {
    if (gateway.Received() > 2) {
      CHECK(r.Field("Last-Event-Id") == "1");
      upstream.BeginStream(c, r);
      return c.Write(Rest(2));
    }
    gateway.After(kRejectAfter, [&upstream, r, self = c.shared_from_this()] {
      RejectAsFull(upstream, *self, r);
    });
  });
  const std::string answer =
      gateway.fixture.Ask(CallerRequest("POST", "/tell/1", "", "x"));
  CHECK(IsWholeStream(answer));
  CHECK(gateway.Received() == 3);
  CHECK(gateway.silent->closed_by_peer);
}

/// Guards against pieces of two runs in one stream.
TEST_CASE("A silent upstream that goes on in time keeps its stream") {
  SilentAndOther gateway(BeginStream, [&](FakeUpstream& /*upstream*/,
                                          Connection& /*c*/,
                                          const ReceivedRequest& r) {
    CHECK(r.Field("Last-Event-Id") == "1");
    gateway.silent->Write(Chunk(Event(2)));
    gateway.After(milliseconds(100), [&] { gateway.silent->Write(Rest(3)); });
  });
  const std::string answer =
      gateway.fixture.Ask(CallerRequest("POST", "/tell/1", "", "x"));
  CHECK(IsWholeStream(answer));
  CHECK(gateway.fixture.RunUntilTrue(
      [&] { return gateway.second->closed_by_peer; }));
}

/// Guards against two upstreams that work on one request for long.
TEST_CASE("A silent attempt ends soon after another upstream got its request") {
  std::optional<steady_clock::time_point> taken_at;
  SilentAndOther gateway(BeginStream, [&](FakeUpstream& upstream, Connection& c,
                                          const ReceivedRequest& r) {
    taken_at = steady_clock::now();
    gateway.After(kPause, [&upstream, r, self = c.shared_from_this()] {
      upstream.BeginStream(*self, r);
      self->Write(Rest(2));
    });
  });
  FakeCaller caller(gateway.fixture.loop,
                    gateway.fixture.settings.caller_endpoint);
  caller.Send(CallerRequest("POST", "/tell/1", "", "x"));
  REQUIRE(gateway.fixture.RunUntilTrue([&] {
    return gateway.silent != nullptr && gateway.silent->closed_by_peer;
  }));
  REQUIRE(taken_at);
  CHECK(steady_clock::now() - *taken_at < kMaxOverlap);
  REQUIRE(gateway.fixture.RunUntilTrue(
      [&] { return caller.input().ends_with("0\r\n\r\n"); }));
  CHECK(IsWholeStream(caller.input()));
}

/// Guards against a stream that is lost with the upstream that it left.
TEST_CASE("A stream survives the end of its silent upstream's connection") {
  SilentAndOther gateway(BeginStream, [&](FakeUpstream& upstream, Connection& c,
                                          const ReceivedRequest& r) {
    gateway.silent->Close();
    gateway.After(milliseconds(50),
                  [&upstream, r, self = c.shared_from_this()] {
                    upstream.BeginStream(*self, r);
                    self->Write(Rest(2));
                  });
  });
  CHECK(IsWholeStream(
      gateway.fixture.Ask(CallerRequest("POST", "/tell/1", "", "x"))));
}

/// Guards against work that goes on for nobody at either upstream.
TEST_CASE("Both attempts end with a request that is handed over") {
  SilentAndOther gateway(BeginStream, SayNothing);
  FakeCaller caller(gateway.fixture.loop,
                    gateway.fixture.settings.caller_endpoint);
  caller.Send(CallerRequest("POST", "/tell/1", "", "x"));
  REQUIRE(
      gateway.fixture.RunUntilTrue([&] { return gateway.second != nullptr; }));
  CHECK_FALSE(gateway.silent->closed_by_peer);
  caller.Close();
  CHECK(gateway.fixture.RunUntilTrue([&] {
    return gateway.silent->closed_by_peer && gateway.second->closed_by_peer;
  }));
}

/// Guards against a refusal that says "not run" though another upstream was
/// sent the request while the attempt was parked.
TEST_CASE("A request that another upstream had isn't refused as not run") {
  std::function<void()> reject;
  SilentAndOther gateway(
      [&](FakeUpstream& upstream, Connection& c, const ReceivedRequest& r) {
        reject = [&upstream, r, self = c.shared_from_this()] {
          RejectAsFull(upstream, *self, r);
        };
      },
      [&](FakeUpstream& /*upstream*/, Connection& /*c*/,
          const ReceivedRequest& /*r*/) { reject(); });
  const std::string answer =
      gateway.fixture.Ask(CallerRequest("GET", "/look/1"));
  CHECK(answer.starts_with("HTTP/1.1 502"));
  CHECK(gateway.Received() == 2);
  // The connection that it holds must not outlive the loop.
  reject = nullptr;
}

}  // namespace yuccapick
