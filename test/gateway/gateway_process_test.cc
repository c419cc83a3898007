#include "gateway/gateway_process.h"

#include <catch2/catch.hpp>

#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

constexpr char kRoutes[] = R"([
 {"name":"book","host":"crew.example","prefix":"/book/",
  "kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,
  "service":"app","maxAttempts":1},
 {"name":"look","host":"crew.example","prefix":"/look/","kind":"idempotent",
  "timeoutMs":3000,"targetLatencyMs":300,"service":"app","maxAttempts":2},
 {"name":"quick","host":"crew.example","prefix":"/quick/",
  "kind":"idempotent","timeoutMs":150,"targetLatencyMs":100,"service":"app",
  "maxAttempts":1},
 {"name":"tell","host":"crew.example","prefix":"/tell/","kind":"streaming",
  "timeoutMs":3000,"targetLatencyMs":300,"gapTargetMs":300,"service":"app",
  "maxAttempts":2,"resumable":true},
 {"name":"note","host":"crew.example","prefix":"/note/","kind":"streaming",
  "timeoutMs":3000,"targetLatencyMs":300,"gapTargetMs":300,"service":"app",
  "maxAttempts":2}])";

using Connection = FakeUpstream::Connection;

bool StartsWith(const std::string& text, const std::string& start) {
  return text.starts_with(start);
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

/// A gateway with one upstream that runs `script`.
struct OneUpstream {
  explicit OneUpstream(FakeUpstream::Script script)
      : upstream(fixture.loop, "up-1", std::move(script)) {
    fixture.PutConfig(1, kRoutes);
    fixture.Register(upstream, "app");
    fixture.Start();
  }

  GatewayFixture fixture;
  FakeUpstream upstream;
};

/// A gateway with two upstreams. Whichever gets the first request runs
/// `first_answer`; later requests get `second_answer`.
struct TwoUpstreams {
  explicit TwoUpstreams(const FakeUpstream::Script& first_answer,
                        const FakeUpstream::Script& second_answer) {
    const auto script = [this, first_answer, second_answer](
                            Connection& c, const ReceivedRequest& r) {
      if (++requests == 1) {
        first_answer(c, r);
      } else {
        second_answer(c, r);
      }
    };
    for (const char* id : {"up-1", "up-2"}) {
      upstreams.push_back(
          std::make_unique<FakeUpstream>(fixture.loop, id, script));
    }
    fixture.PutConfig(1, kRoutes);
    for (const auto& upstream : upstreams) fixture.Register(*upstream, "app");
    fixture.Start();
  }

  GatewayFixture fixture;
  std::vector<std::unique_ptr<FakeUpstream>> upstreams;
  int requests = 0;
};

void AnswerGood(Connection& c, const ReceivedRequest& r) {
  c.Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + r.Field("X-Attempt-Id") +
          "\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\ngood");
}

TEST_CASE("A request is proxied to its upstream without the caller's key") {
  OneUpstream one(
      [](Connection& c, const ReceivedRequest& r) { AnswerGood(c, r); });
  const std::string answer = one.fixture.Ask(
      CallerRequest("POST", "/book/1?x=2", "X-Tenant: forged\r\n", "order"));
  CHECK(StartsWith(answer, "HTTP/1.1 200"));
  CHECK(Contains(answer, "X-Server-Seal: s\r\n"));
  CHECK(answer.ends_with("good"));
  const ReceivedRequest& request = one.upstream.received().at(0);
  CHECK(request.path() == "/book/1?x=2");
  CHECK(request.body == "order");
  CHECK(request.Field("X-Tenant") == "moor");
  CHECK(request.Field("X-Expect-Instance") == "up-1");
  CHECK(request.Field("X-Key").empty());
  CHECK(std::stoi(request.Field("X-Deadline-Ms")) <= 3'000);
}

TEST_CASE("Unknown routes, unknown keys and malformed requests are refused") {
  OneUpstream one(
      [](Connection& c, const ReceivedRequest& r) { AnswerGood(c, r); });
  GatewayFixture& fixture = one.fixture;
  CHECK(
      StartsWith(fixture.Ask(CallerRequest("GET", "/none/")), "HTTP/1.1 404"));
  CHECK(StartsWith(fixture.Ask("GET /look/ HTTP/1.1\r\nHost: crew.example\r\n"
                               "X-Key: stolen\r\n\r\n"),
                   "HTTP/1.1 401"));
  CHECK(StartsWith(fixture.Ask("GET /look/ HTTP/1.1\r\n\r\n"), "HTTP/1.1 400"));
  CHECK(StartsWith(fixture.Ask("NONSENSE\r\n\r\n"), "HTTP/1.1 400"));
  CHECK(StartsWith(fixture.Ask("POST /book/ HTTP/1.1\r\nHost: crew.example\r\n"
                               "Content-Length: 99999999\r\n\r\n"),
                   "HTTP/1.1 413"));
  CHECK(StartsWith(fixture.Ask("GET /look/ HTTP/1.1\r\nX-Long: " +
                               std::string(20'000, 'x') + "\r\n\r\n"),
                   "HTTP/1.1 431"));
  CHECK(one.upstream.received().empty());
}

TEST_CASE("A non-idempotent request whose answer is lost runs only once") {
  TwoUpstreams two([](Connection& c, const ReceivedRequest&) { c.Close(); },
                   AnswerGood);
  const std::string answer =
      two.fixture.Ask(CallerRequest("POST", "/book/1", "", "order"));
  CHECK(StartsWith(answer, "HTTP/1.1 502"));
  CHECK(two.requests == 1);
}

TEST_CASE("An idempotent request whose answer is lost is retried elsewhere") {
  TwoUpstreams two([](Connection& c, const ReceivedRequest&) { c.Close(); },
                   AnswerGood);
  CHECK(StartsWith(two.fixture.Ask(CallerRequest("GET", "/look/1")),
                   "HTTP/1.1 200"));
  CHECK(two.requests == 2);
}

TEST_CASE("A request that no upstream executed is refused with Retry-After") {
  OneUpstream one([](Connection& c, const ReceivedRequest&) {
    c.Write("HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  });
  const std::string answer =
      one.fixture.Ask(CallerRequest("POST", "/book/1", "", "order"));
  CHECK(StartsWith(answer, "HTTP/1.1 503"));
  CHECK(Contains(answer, "Retry-After: 0."));
}

TEST_CASE("A 503 to a non-idempotent request that may have run becomes a 502") {
  OneUpstream one([&one](Connection& c, const ReceivedRequest& r) {
    one.upstream.Answer(c, r, 503, "busy");
  });
  CHECK(StartsWith(one.fixture.Ask(CallerRequest("POST", "/book/1", "", "o")),
                   "HTTP/1.1 502"));
}

TEST_CASE("A success without seal or with content coding is rejected") {
  OneUpstream one([](Connection& c, const ReceivedRequest& r) {
    const bool encoded = r.path() == "/book/encoded";
    c.Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\n" +
            std::string(encoded ? "X-Server-Seal: s\r\n"
                                  "Content-Encoding: gzip\r\n"
                                : "") +
            "Content-Length: 4\r\n\r\nevil");
  });
  for (const char* path : {"/book/bare", "/book/encoded"}) {
    CHECK(StartsWith(one.fixture.Ask(CallerRequest("POST", path, "", "o")),
                     "HTTP/1.1 502"));
  }
}

TEST_CASE("An answer to another request is skipped") {
  OneUpstream one([](Connection& c, const ReceivedRequest& r) {
    c.Write(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\n"
        "Content-Length: 5\r\n\r\nwrong");
    AnswerGood(c, r);
  });
  const std::string answer =
      one.fixture.Ask(CallerRequest("POST", "/book/1", "", "o"));
  CHECK(answer.ends_with("good"));
}

TEST_CASE("Bytes after an answer are not taken for the next answer") {
  OneUpstream one([](Connection& c, const ReceivedRequest& r) {
    AnswerGood(c, r);
    c.Write(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Seal: s\r\n"
        "Content-Length: 5\r\n\r\nstray");
  });
  for (int i = 0; i < 3; ++i) {
    CHECK(one.fixture.Ask(CallerRequest("GET", "/look/1")).ends_with("good"));
  }
}

TEST_CASE("An answer shorter than its length fails with 502") {
  OneUpstream one([](Connection& c, const ReceivedRequest&) {
    c.Write(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Seal: s\r\n"
        "Content-Length: 9\r\n\r\npart");
    c.Close();
  });
  CHECK(StartsWith(one.fixture.Ask(CallerRequest("POST", "/book/1", "", "o")),
                   "HTTP/1.1 502"));
}

TEST_CASE("An answer without a length is complete when its connection ends") {
  OneUpstream one([](Connection& c, const ReceivedRequest&) {
    c.Write(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Server-Seal: s\r\n"
        "Connection: close\r\n\r\nall of it");
    c.Close();
  });
  CHECK(one.fixture.Ask(CallerRequest("POST", "/book/1", "", "o"))
            .ends_with("all of it"));
}

TEST_CASE("A resumable stream that breaks off continues at another upstream") {
  TwoUpstreams two(
      [&two](Connection& c, const ReceivedRequest& r) {
        two.upstreams[0]->BeginStream(c, r);
        c.Write(Chunk(Event(1) + Event(2) + "id: 3\nda"));
        c.Close();
      },
      [&two](Connection& c, const ReceivedRequest& r) {
        CHECK(r.Field("Last-Event-Id") == "2");
        two.upstreams[1]->BeginStream(c, r);
        c.Write(Chunk(Event(3)) + Chunk(Event(4)) + "0\r\n\r\n");
      });
  const std::string answer = two.fixture.Ask(CallerRequest("POST", "/tell/1"));
  CHECK(Contains(answer, "X-Server-Seal: up-1-seal"));
  CHECK_FALSE(Contains(answer, "up-2-seal"));
  CHECK(Contains(answer, Event(2)));
  CHECK(Contains(answer, Chunk(Event(3)) + Chunk(Event(4))));
  CHECK(answer.ends_with("\r\n0\r\n\r\n"));
}

TEST_CASE("A stream that is not resumable and breaks off ends as incomplete") {
  TwoUpstreams two(
      [&two](Connection& c, const ReceivedRequest& r) {
        two.upstreams[0]->BeginStream(c, r);
        c.Write(Chunk(Event(1)));
        c.Close();
      },
      AnswerGood);
  const std::string answer = two.fixture.Ask(CallerRequest("POST", "/note/1"));
  CHECK(Contains(answer, Event(1)));
  CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
  CHECK(two.requests == 1);
}

TEST_CASE("When a caller disconnects, the upstream's connection is closed") {
  bool reached = false;
  OneUpstream one(
      [&reached](Connection&, const ReceivedRequest&) { reached = true; });
  GatewayFixture& fixture = one.fixture;
  FakeCaller caller(fixture.loop, fixture.settings.caller_endpoint);
  caller.Send(CallerRequest("GET", "/look/1"));
  REQUIRE(fixture.RunUntilTrue([&reached] { return reached; }));
  caller.Close();
  CHECK(fixture.RunUntilTrue([&one] {
    for (const auto& c : one.upstream.server().connections) {
      if (c->closed_by_peer) return true;
    }
    return false;
  }));
}

TEST_CASE("A request is answered 504 when the route's timeout is over") {
  OneUpstream one([](Connection&, const ReceivedRequest&) {});
  CHECK(StartsWith(one.fixture.Ask(CallerRequest("GET", "/quick/1")),
                   "HTTP/1.1 504"));
}

TEST_CASE("A draining upstream gets no requests, and none is refused") {
  TwoUpstreams two(AnswerGood, AnswerGood);
  two.fixture.Register(*two.upstreams[0], "app", "draining");
  const std::string first = two.upstreams[0]->id();
  for (int i = 0; i < 4; ++i) {
    CHECK(two.fixture.Ask(CallerRequest("GET", "/look/1")).ends_with("good"));
  }
  // The first of these requests may be sent before the change is known.
  CHECK(two.upstreams[0]->received().size() <= 1);
}

TEST_CASE("A newer configuration is applied and an older one is ignored") {
  OneUpstream one(
      [](Connection& c, const ReceivedRequest& r) { AnswerGood(c, r); });
  GatewayFixture& fixture = one.fixture;
  fixture.PutConfig(5, "[]");
  CHECK(fixture.RunUntilTrue([&fixture] {
    return StartsWith(fixture.Ask(CallerRequest("GET", "/look/1")),
                      "HTTP/1.1 404");
  }));
  fixture.PutConfig(4, kRoutes);
  fixture.PutConfig(6, "[]");
  CHECK(
      StartsWith(fixture.Ask(CallerRequest("GET", "/look/1")), "HTTP/1.1 404"));
}

TEST_CASE("A gateway serves requests and is ready during the store's outage") {
  OneUpstream one(
      [](Connection& c, const ReceivedRequest& r) { AnswerGood(c, r); });
  one.fixture.store.set_up(false);
  CHECK(StartsWith(one.fixture.Ask(CallerRequest("GET", "/look/1")),
                   "HTTP/1.1 200"));
  CHECK(one.fixture.IsReady());
}

TEST_CASE("A draining gateway is not ready and completes running requests") {
  std::vector<std::pair<std::shared_ptr<Connection>, ReceivedRequest>> waiting;
  OneUpstream one([&waiting](Connection& c, const ReceivedRequest& r) {
    waiting.emplace_back(c.shared_from_this(), r);
  });
  GatewayFixture& fixture = one.fixture;
  FakeCaller caller(fixture.loop, fixture.settings.caller_endpoint);
  caller.Send(CallerRequest("GET", "/look/1"));
  REQUIRE(fixture.RunUntilTrue([&waiting] { return !waiting.empty(); }));
  bool drained = false;
  fixture.gateway->Drain([&drained] { drained = true; });
  CHECK_FALSE(fixture.IsReady());
  AnswerGood(*waiting[0].first, waiting[0].second);
  waiting.clear();
  CHECK(fixture.RunUntilTrue([&caller] { return caller.closed(); }));
  CHECK(StartsWith(caller.input(), "HTTP/1.1 200"));
  CHECK(Contains(caller.input(), "Connection: close"));
  CHECK(fixture.RunUntilTrue([&drained] { return drained; }));
}

TEST_CASE("Pipelined requests are answered in order") {
  OneUpstream one(
      [](Connection& c, const ReceivedRequest& r) { AnswerGood(c, r); });
  GatewayFixture& fixture = one.fixture;
  FakeCaller caller(fixture.loop, fixture.settings.caller_endpoint);
  caller.Send(CallerRequest("GET", "/look/1") + CallerRequest("GET", "/none/") +
              CallerRequest("GET", "/look/2"));
  REQUIRE(fixture.RunUntilTrue([&caller] {
    const std::size_t last = caller.input().rfind("good");
    return last != std::string::npos && caller.input().find("good") != last;
  }));
  const std::size_t first = caller.input().find("200");
  const std::size_t second = caller.input().find("404");
  CHECK(first < second);
  CHECK(second < caller.input().rfind("200"));
}

TEST_CASE("Metrics are served as text") {
  OneUpstream one(
      [](Connection& c, const ReceivedRequest& r) { AnswerGood(c, r); });
  CHECK(one.fixture.Ask(CallerRequest("GET", "/look/1")).ends_with("good"));
  FakeCaller caller(one.fixture.loop,
                    one.fixture.settings.ip + ":" +
                        std::to_string(one.fixture.settings.metrics_port));
  caller.Send("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  CHECK(one.fixture.RunUntilTrue([&caller] { return caller.closed(); }));
  CHECK(Contains(caller.input(),
                 "yuccapick_requests_total{team=\"moor\",class=\"urgent\","
                 "outcome=\"complete\"} 1\n"));
  CHECK(Contains(caller.input(), "yuccapick_config_version 1\n"));
  CHECK(Contains(caller.input(), "yuccapick_upstreams_listed 1\n"));
}

/// Guards against gateways that don't know each other since the list of them
/// has several pages.
TEST_CASE("A gateway that starts reads all pages of the list of gateways") {
  GatewayFixture fixture;
  FakeUpstream upstream(
      fixture.loop, "up",
      [](FakeUpstream::Connection& /*c*/, const ReceivedRequest& /*r*/) {});
  fixture.PutConfig(1, "[]");
  fixture.Register(upstream, "app");
  fixture.Start();
  fixture.StartPeer();
  fixture.store.set_page_rows(1);
  fixture.StartLate();
  CHECK(fixture.RunUntilTrue([&fixture] {
    return fixture.HasMetric(fixture.late_settings, "yuccapick_peers_live 2");
  }));
}

}  // namespace
}  // namespace yuccapick
