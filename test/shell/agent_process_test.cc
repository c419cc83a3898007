#include "shell/agent_process.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <optional>

#include "shell/agent_links.h"
#include "test/shell/scripted_server.h"
#include "yuccapick/prefix.h"

namespace yuccapick {
namespace {

constexpr std::string_view kLoad =
    R"({"boot_id":"b1","loaded":[{"model":"m","adapter":"","weights":"v1"}]})";
const Incarnation kIncarnation{5};
const UpstreamId kUpstream{"up-1"};

std::string Answer(std::string_view body, const std::string& type = "x/y") {
  return "HTTP/1.1 200 OK\r\nContent-Type: " + type +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

std::string Event(const std::string& id, int position,
                  const std::string& text) {
  return R"(data: {"id":")" + id + R"(","position":)" +
         std::to_string(position) + R"(,"choices":[{"delta":{"content":")" +
         text + "\"}}]}\n\n";
}

std::string Stream(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "Connection: close\r\n\r\n" +
         body;
}

/// An agent with a scripted upstream, and a router's links to the agent.
struct Fixture {
  explicit Fixture(UpstreamKind kind = UpstreamKind::kModelEngine)
      : upstream(loop, [this](auto& c) { Serve(c); }) {
    settings.instance = InstanceId("agent-1");
    settings.secret = "secret";
    settings.agent.upstream = kUpstream;
    settings.agent.kind = kind;
    settings.agent.upstream_url = upstream.url("");
    settings.drain_deadline = std::chrono::milliseconds(5'000);
    agent = std::make_unique<AgentProcess>(
        settings, kIncarnation, /*seed=*/1,
        [this] { asio::post(loop, [this] { drained = true; }); });
    REQUIRE(agent->Start().ok());
    ConnectRouter();
    const bool is_engine = kind == UpstreamKind::kModelEngine;
    REQUIRE(Until([&] {
      return report && (!is_engine || !report->upstream.loaded.empty());
    }));
  }
  ~Fixture() {
    links->Stop();
    agent->Stop();
  }

  /// Creates a router's links and replaces existing ones.
  void ConnectRouter() {
    report.reset();
    AgentLinksOptions options;
    options.secret = "secret";
    links = std::make_unique<AgentLinks>(options, [this](const auto& event) {
      asio::post(loop, [this, event] { OnRouterEvent(event); });
      return true;
    });
    links->Start();
    UpstreamInfo info;
    info.id = kUpstream;
    info.agent_host = "127.0.0.1";
    info.agent_port = agent->links().port();
    REQUIRE(links->Apply(info));
    REQUIRE(Until([&] { return report.has_value(); }));
  }
  void Serve(ScriptedServer::Connection& c) {
    if (c.input.find("\r\n\r\n") == std::string::npos) return;
    if (c.input.starts_with("GET /engine/load")) {
      c.Write(Answer(kLoad));
    } else if (c.input.starts_with("GET /engine/events")) {
      return;
    } else {
      requests.push_back(c.input);
      connection = c.shared_from_this();
      if (respond) respond(c);
    }
    c.input.clear();
  }
  void OnRouterEvent(const RouterEvent& event) {
    if (const auto* arrived = std::get_if<ReportArrived>(&event)) {
      report = arrived->report;
    } else {
      events.push_back(event);
    }
  }
  bool Until(const std::function<bool()>& done) { return RunUntil(loop, done); }

  AttemptRequest Attempt(RequestKind kind) const {
    AttemptRequest request;
    request.attempt = AttemptId("a1");
    request.kind = kind;
    request.agent_incarnation = kIncarnation;
    request.deadline = std::chrono::milliseconds(10'000);
    request.method = "POST";
    request.target = "/book?x=1";
    request.body = R"({"max_tokens":2})";
    if (kind == RequestKind::kPlain) return request;
    request.model = ModelId("m");
    request.weights = WeightVersion("v1");
    request.streamed = true;
    request.cache_salt = CacheSalt(
        {request.team, request.model, request.adapter, request.weights});
    return request;
  }
  void Send(const AttemptRequest& request) {
    REQUIRE(links->Send({kUpstream, request}));
  }
  const Error* Failure() const {
    if (events.empty()) return nullptr;
    const auto* failed = std::get_if<AttemptFailedArrived>(&events.back());
    return failed == nullptr ? nullptr : &failed->failure.error;
  }

  asio::io_context loop;
  asio::executor_work_guard<asio::io_context::executor_type> work =
      asio::make_work_guard(loop);
  ScriptedServer upstream;
  std::function<void(ScriptedServer::Connection&)> respond;
  std::shared_ptr<ScriptedServer::Connection> connection;
  std::vector<std::string> requests;
  ProcessSettings settings;
  std::unique_ptr<AgentProcess> agent;
  std::unique_ptr<AgentLinks> links;
  std::vector<RouterEvent> events;
  std::optional<AgentReport> report;
  bool drained = false;
};

TEST_CASE("The agent forwards a streamed answer part by part") {
  Fixture f;
  f.respond = [](auto& c) {
    c.Write(Stream(Event("a1", 0, "he") + Event("a1", 1, "llo")));
  };
  f.Send(f.Attempt(RequestKind::kChatCompletion));
  REQUIRE(f.Until([&] { return f.events.size() == 3; }));
  CHECK(std::get<AnswerHeadArrived>(f.events[0]).head.status == 200);
  CHECK(std::get<AnswerChunkArrived>(f.events[2]).chunk.position == 1);
  CHECK(std::get<AnswerChunkArrived>(f.events[2]).chunk.text == "llo");
  f.connection->Write(
      R"(data: {"id":"a1","position":2,"choices":[],"usage":{"prompt_tokens":7}})"
      "\n\ndata: [DONE]\n\n");
  f.connection->Close();
  REQUIRE(f.Until([&] { return f.events.size() == 5; }));
  const AnswerEnd& end = std::get<AnswerEndArrived>(f.events[4]).end;
  CHECK(end.positions == 3);
  CHECK(end.usage.prompt_tokens == 7);
  CHECK(f.requests.at(0).starts_with("POST /v1/chat/completions "));
  CHECK(f.requests[0].find("x-request-id: a1\r\n") != std::string::npos);
}

TEST_CASE("An invalid model answer ends as failed, never as complete") {
  Fixture f;
  AttemptRequest request = f.Attempt(RequestKind::kCompletion);
  std::string answer = Stream(Event("a1", 0, "he"));
  SECTION("it breaks off") {}
  SECTION("it is another request's") { answer = Stream(Event("b", 0, "he")); }
  SECTION("it is garbage") { answer = Stream("data: {\n\n"); }
  SECTION("it goes on after its end") {
    answer = Stream("data: [DONE]\n\n" + Event("a1", 0, "he"));
  }
  SECTION("a whole one is another request's") {
    request.streamed = false;
    answer = Answer(R"({"id":"b","choices":[{"text":"x"}]})");
  }
  SECTION("a whole one is truncated") {
    request.streamed = false;
    answer = "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"id\":\"a1\"}";
  }
  SECTION("the engine refuses") {
    answer = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
  }
  f.respond = [&](auto& c) {
    c.Write(answer);
    c.Close();
  };
  f.Send(request);
  REQUIRE(f.Until([&] { return f.Failure() != nullptr; }));
  CHECK(f.Failure()->kind == ErrorKind::kUpstreamFailed);
  CHECK(f.Failure()->execution == Execution::kUnknown);
}

TEST_CASE("A model answer that is not streamed has a part count of one") {
  Fixture f;
  AttemptRequest request = f.Attempt(RequestKind::kCompletion);
  request.streamed = false;
  const std::string body = R"({"id":"a1","choices":[{"text":"hello"}]})";
  f.respond = [&](auto& c) { c.Write(Answer(body)); };
  f.Send(request);
  REQUIRE(f.Until([&] { return f.events.size() == 3; }));
  CHECK(std::get<AnswerChunkArrived>(f.events[1]).chunk.data == body);
  CHECK(std::get<AnswerChunkArrived>(f.events[1]).chunk.text == "hello");
  CHECK(std::get<AnswerEndArrived>(f.events[2]).end.positions == 1);
}

TEST_CASE("Resumption and continuation are forwarded to the engine") {
  Fixture f;
  AttemptRequest request = f.Attempt(RequestKind::kCompletion);
  request.resume_from = 4;
  std::string id = "a1";
  std::string wanted;
  SECTION("resumption") {
    request.resume_attempt = AttemptId("a0");
    id = "a0";
    wanted = "POST /v1/streams/a0/resume?from=4 ";
  }
  SECTION("continuation") {
    request.continuation = "so far";
    wanted = R"("continuation":"so far","first_position":4)";
  }
  f.respond = [&](auto& c) {
    c.Write(Stream(Event(id, 4, "x") + "data: [DONE]\n\n"));
    c.Close();
  };
  f.Send(request);
  REQUIRE(f.Until([&] { return f.events.size() == 3; }));
  CHECK(f.requests.at(0).find(wanted) != std::string::npos);
  CHECK(std::get<AnswerChunkArrived>(f.events[1]).chunk.position == 4);
  CHECK(std::get<AnswerEndArrived>(f.events[2]).end.positions == 5);
}

TEST_CASE("A stream that the engine cannot resume is started again") {
  Fixture f;
  AttemptRequest request = f.Attempt(RequestKind::kCompletion);
  request.resume_from = 4;
  request.resume_attempt = AttemptId("a0");
  request.continuation = "so far";
  f.respond = [&](auto& c) {
    if (f.requests.size() == 1) {
      return c.Write("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
    }
    c.Write(Stream(Event("a1", 4, "x") + "data: [DONE]\n\n"));
    c.Close();
  };
  f.Send(request);
  REQUIRE(f.Until([&] { return f.events.size() == 3; }));
  CHECK(f.requests.at(1).starts_with("POST /v1/completions "));
  CHECK(std::get<AnswerEndArrived>(f.events[2]).end.positions == 5);
}

TEST_CASE("An answer is resumed over a new link after its link broke") {
  Fixture f;
  f.respond = [](auto& c) { c.Write(Stream(Event("a1", 0, "x"))); };
  AttemptRequest request = f.Attempt(RequestKind::kCompletion);
  f.Send(request);
  REQUIRE(f.Until([&] { return f.events.size() == 2; }));
  f.links->Stop();
  f.ConnectRouter();
  f.events.clear();
  f.connection->Write(Event("a1", 1, "y") + "data: [DONE]\n\n");
  f.connection->Close();
  request.attempt = AttemptId("a2");
  request.resume_attempt = AttemptId("a1");
  request.resume_from = 1;
  f.Send(request);
  REQUIRE(f.Until([&] { return f.events.size() == 3; }));
  const AnswerChunk& chunk = std::get<AnswerChunkArrived>(f.events[1]).chunk;
  CHECK(chunk.attempt == AttemptId("a2"));
  CHECK(chunk.position == 1);
  CHECK(std::get<AnswerEndArrived>(f.events[2]).end.positions == 2);
  CHECK(f.requests.size() == 1);
}

TEST_CASE("A plain call is forwarded with method, path, headers and key") {
  Fixture f(UpstreamKind::kPlainService);
  AttemptRequest request = f.Attempt(RequestKind::kPlain);
  request.method = "PUT";
  request.key = IdempotencyKey("k1");
  request.fence = FencingToken(1);
  request.headers = {{"x-kind", "demo"}, {"authorization", "Bearer t"}};
  f.respond = [](auto& c) { c.Write(Answer("done")); };
  f.Send(request);
  REQUIRE(f.Until([&] { return f.events.size() == 3; }));
  const std::string& seen = f.requests.at(0);
  CHECK(seen.starts_with("PUT /book?x=1 "));
  CHECK(seen.find("idempotency-key: k1\r\n") != std::string::npos);
  CHECK(seen.find("x-kind: demo\r\n") != std::string::npos);
  CHECK(seen.find("Bearer") == std::string::npos);
  CHECK(std::get<AnswerChunkArrived>(f.events[1]).chunk.data == "done");
}

TEST_CASE("A caller's cancel closes the connection to the upstream") {
  Fixture f;
  f.respond = [](auto& c) { c.Write(Stream(Event("a1", 0, "x"))); };
  f.Send(f.Attempt(RequestKind::kCompletion));
  REQUIRE(f.Until([&] { return f.events.size() == 2; }));
  const auto streaming = f.connection;
  f.respond = nullptr;
  SECTION("by the router") {
    REQUIRE(f.links->Cancel({kUpstream, AttemptId("a1")}));
  }
  SECTION("by a broken link") { f.links->Stop(); }
  REQUIRE(f.Until(
      [&] { return streaming->closed_by_peer && f.requests.size() == 2; }));
  CHECK(f.requests[1].starts_with("POST /v1/streams/a1/cancel "));
}

TEST_CASE(
    "An attempt fails as not run if the upstream refuses the connection") {
  Fixture f(UpstreamKind::kPlainService);
  f.upstream.Stop();
  f.Send(f.Attempt(RequestKind::kPlain));
  REQUIRE(f.Until([&] { return f.Failure() != nullptr; }));
  CHECK(f.Failure()->execution == Execution::kNotRun);
}

TEST_CASE("A path without a leading slash is not sent to the upstream") {
  Fixture f(UpstreamKind::kPlainService);
  AttemptRequest request = f.Attempt(RequestKind::kPlain);
  request.target = "@127.0.0.2/";
  f.Send(request);
  REQUIRE(f.Until([&] { return f.Failure() != nullptr; }));
  CHECK(f.Failure()->execution == Execution::kNotRun);
  CHECK(f.requests.empty());
}

TEST_CASE("A draining agent rejects new attempts and finishes running ones") {
  Fixture f(UpstreamKind::kPlainService);
  f.Send(f.Attempt(RequestKind::kPlain));
  REQUIRE(f.Until([&] { return f.requests.size() == 1; }));
  f.agent->Drain();
  REQUIRE(f.Until(
      [&] { return f.report->upstream.state == UpstreamState::kLeaving; }));
  AttemptRequest late = f.Attempt(RequestKind::kPlain);
  late.attempt = AttemptId("a2");
  f.Send(late);
  REQUIRE(f.Until([&] { return f.Failure() != nullptr; }));
  CHECK(f.Failure()->kind == ErrorKind::kDraining);
  CHECK(f.Failure()->execution == Execution::kNotRun);
  CHECK_FALSE(f.drained);
  f.connection->Write(Answer("done"));
  REQUIRE(f.Until([&] { return f.drained; }));
  REQUIRE(f.Until([&] { return f.events.size() == 4; }));
  CHECK(std::get<AnswerEndArrived>(f.events[3]).end.positions == 1);
}

TEST_CASE("A slow router slows the upstream down by flow control") {
  constexpr std::size_t kBytes = 32 << 20;
  Fixture f(UpstreamKind::kPlainService);
  f.Send(f.Attempt(RequestKind::kPlain));
  REQUIRE(f.Until([&] { return f.requests.size() == 1; }));
  REQUIRE(f.links->SetReceiving(kUpstream, AttemptId("a1"), false));
  f.connection->Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                      std::to_string(kBytes) + "\r\n\r\n");
  std::size_t written = 0;
  bool blocked = false;
  f.connection->socket.non_blocking(true);
  const std::string block(64 << 10, 'x');
  const auto write_more = [&] {
    asio::error_code ec;
    const std::size_t n = std::min(block.size(), kBytes - written);
    written += f.connection->socket.write_some(asio::buffer(block, n), ec);
    blocked = ec == asio::error::would_block;
  };
  // Writes until the sockets' buffers are full and nothing more is accepted.
  int idle_turns = 0;
  while (written < kBytes && idle_turns < 200) {
    write_more();
    if (blocked) f.loop.run_one_for(std::chrono::milliseconds(1));
    idle_turns = blocked ? idle_turns + 1 : 0;
  }
  CHECK(written < kBytes);
  REQUIRE(f.links->SetReceiving(kUpstream, AttemptId("a1"), true));
  while (written < kBytes) {
    write_more();
    if (blocked) f.loop.run_one_for(std::chrono::milliseconds(1));
  }
  std::size_t received = 0;
  REQUIRE(f.Until([&] {
    return !f.events.empty() &&
           std::holds_alternative<AnswerEndArrived>(f.events.back());
  }));
  for (const RouterEvent& event : f.events) {
    const auto* chunk = std::get_if<AnswerChunkArrived>(&event);
    if (chunk != nullptr) received += chunk->chunk.data.size();
  }
  CHECK(received == kBytes);
}

}  // namespace
}  // namespace yuccapick
