#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>

#include "gateway/call_client.h"
#include "test/gateway/failing_socket.h"
#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;
using Connection = FakeUpstream::Connection;

constexpr char kRoutes[] = R"([
 {"name":"tell","host":"crew.example","prefix":"/tell/","kind":"streaming",
  "timeoutMs":8000,"targetLatencyMs":300,"gapTargetMs":300,"service":"app",
  "maxAttempts":3,"resumable":true},
 {"name":"book","host":"crew.example","prefix":"/book/",
  "kind":"non_idempotent","timeoutMs":900,"targetLatencyMs":300,
  "service":"app","maxAttempts":3}])";
constexpr char kWarmUpId[] = "warm-up";

std::string Chunk(const std::string& bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string Event(int id, const std::string& run) {
  return fmt::format("id: {}\ndata: {}\n\n", id, run);
}

/// An upstream whose runs the test continues itself.
struct HeldUpstream {
  HeldUpstream(asio::io_context& loop, const std::string& id)
      : fake(loop, id, [this](Connection& c, const ReceivedRequest& r) {
          request = r;
          connection = c.shared_from_this();
        }) {}

  bool HasRun() const { return connection != nullptr; }
  void BeginStream() const { fake.BeginStream(*connection, *request); }
  void WriteEvent(int id) const {
    connection->Write(Chunk(Event(id, fake.id())));
  }

  std::optional<ReceivedRequest> request;
  std::shared_ptr<Connection> connection;
  FakeUpstream fake;
};

/// A gateway with an idle connection to the upstream that it prefers, on which
/// the next write fails at once, and two upstreams in another failure domain.
struct FailedWrite {
  FailedWrite()
      : near(fixture.loop, "near",
             [this](Connection& c, const ReceivedRequest& r) {
               near.Answer(c, r, 200, "x");
             }),
        second(fixture.loop, "second"),
        third(fixture.loop, "third") {
    fixture.PutConfig(1, kRoutes);
    fixture.RegisterSoftware(near, "app", "v1");
    fixture.Start();
    fixture.Ask(CallerRequest("POST", "/book/1", "", "o", kWarmUpId));
    REQUIRE(near.received().size() == 1);
    for (const HeldUpstream* it : {&second, &third}) {
      fixture.RegisterSoftware(it->fake, "app", "v1", "elsewhere");
    }
    REQUIRE(fixture.AwaitListed(3));
    REQUIRE(FailWritesTo(near.endpoint()) == 1);
  }

  /// Sends a request whose first attempt fails in its first write.
  /// @return the upstream of the second attempt
  HeldUpstream& Send(const std::string& request) {
    caller.emplace(fixture.loop, fixture.settings.caller_endpoint);
    caller->Send(request);
    REQUIRE(fixture.RunUntilTrue(
        [this] { return second.HasRun() || third.HasRun(); }));
    CHECK(near.received().size() == 1);
    return second.HasRun() ? second : third;
  }

  HeldUpstream& OtherThan(const HeldUpstream& upstream) {
    return &upstream == &second ? third : second;
  }

  GatewayFixture fixture;
  FakeUpstream near;
  HeldUpstream second;
  HeldUpstream third;
  std::optional<FakeCaller> caller;
};

/// Guards against a stream that is joined from pieces of two runs.
TEST_CASE("A run that was given up after a failed write adds no events") {
  FailedWrite failed;
  HeldUpstream& silent = failed.Send(CallerRequest("POST", "/tell/1"));
  HeldUpstream& last = failed.OtherThan(silent);
  silent.BeginStream();
  silent.WriteEvent(1);
  // The gateway gives the silent run up and continues it elsewhere.
  REQUIRE(failed.fixture.RunUntilTrue([&last] { return last.HasRun(); }));
  CHECK(last.request->Field("Last-Event-Id") == "1");
  last.BeginStream();
  last.WriteEvent(2);
  REQUIRE(failed.fixture.RunUntilTrue([&] {
    return failed.caller->input().find(Event(2, last.fake.id())) !=
           std::string::npos;
  }));
  silent.WriteEvent(3);
  failed.fixture.Run(milliseconds(100));
  CHECK(failed.caller->input().find(Event(3, silent.fake.id())) ==
        std::string::npos);
  CHECK(silent.connection->closed_by_peer);
}

/// Guards against work that goes on after its caller was answered 504.
TEST_CASE("An attempt after a failed write ends with its request's time") {
  FailedWrite failed;
  const HeldUpstream& running =
      failed.Send(CallerRequest("POST", "/book/1", "", "o"));
  REQUIRE(failed.fixture.RunUntilTrue(
      [&] { return !failed.caller->input().empty(); }));
  CHECK(failed.caller->input().starts_with("HTTP/1.1 504"));
  CHECK(failed.fixture.RunUntilTrue(
      [&] { return running.connection->closed_by_peer; }));
}

/// Guards against work that goes on after its caller has left.
TEST_CASE("An attempt after a failed write ends when its caller leaves") {
  FailedWrite failed;
  const HeldUpstream& running =
      failed.Send(CallerRequest("POST", "/book/1", "", "o"));
  failed.caller->Close();
  const auto left_at = std::chrono::steady_clock::now();
  REQUIRE(failed.fixture.RunUntilTrue(
      [&] { return running.connection->closed_by_peer; }));
  CHECK(std::chrono::steady_clock::now() - left_at < milliseconds(500));
}

/// Guards against a call that ends before its maker knows of it.
TEST_CASE("A call whose write fails at once ends after it was made") {
  asio::io_context loop;
  ScriptedServer server(loop, [](ScriptedServer::Connection& c) {
    if (!TakeRequest(c.input)) return;
    c.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  CallClient calls(loop, {});
  const std::string endpoint = LoopbackEndpoint(server.port());
  std::optional<absl::Status> status;
  const auto call = [&] {
    status.reset();
    return calls.Call(
        endpoint, "GET / HTTP/1.1\r\nHost: x\r\n\r\n", milliseconds(500),
        [&status](const absl::StatusOr<CallAnswer>& answer,
                  const CallProgress&) { status = answer.status(); });
  };
  call();
  REQUIRE(RunUntil(loop, [&status] { return status.has_value(); }));
  REQUIRE(FailWritesTo(endpoint) == 1);
  const CallHandle handle = call();
  CHECK_FALSE(status.has_value());
  REQUIRE(RunUntil(loop, [&status] { return status.has_value(); }));
  CHECK(absl::IsUnavailable(*status));
  CHECK(handle.progress->ended);
}

}  // namespace
}  // namespace yuccapick
