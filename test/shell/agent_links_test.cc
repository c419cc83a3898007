#include "shell/agent_links.h"

#include <catch2/catch.hpp>
#include <optional>
#include <variant>

#include "shell/link_server.h"
#include "test/shell/scripted_server.h"

namespace yuccapick {
namespace {

const UpstreamId kUpstream{"engine-1"};

/// A router's links on their own thread; the agent and the sink run on the
/// test's loop.
struct Fixture {
  explicit Fixture(std::size_t initial_sink_capacity = ~0ULL)
      : sink_capacity(initial_sink_capacity) {
    LinkServerOptions server_options;
    server_options.secret = "secret";
    server = LinkServer::Make(loop, server_options);
    REQUIRE(server->Start().ok());
    server->HandlePath("/attempt", [this](const LinkStreamPtr& stream) {
      attempts.push_back(stream);
      LinkStreamHandlers handlers;
      handlers.on_frame = [this](LinkMessageType, std::string_view payload) {
        requests.push_back(Decode<AttemptRequest>(payload).value());
        return true;
      };
      handlers.on_close = [this](const LinkClose&) { ++closed; };
      stream->SetHandlers(std::move(handlers));
    });
    server->HandlePath("/watch", [this](const LinkStreamPtr& stream) {
      watch = stream;
      LinkStreamHandlers handlers;
      handlers.on_frame = [this](LinkMessageType, std::string_view payload) {
        last_watch_request = Decode<WatchRequest>(payload).value();
        return true;
      };
      stream->SetHandlers(std::move(handlers));
    });
    AgentLinksOptions options;
    options.instance = InstanceId("router-1");
    options.secret = "secret";
    links =
        std::make_unique<AgentLinks>(options, [this](const RouterEvent& event) {
          if (sink_capacity.load() == 0) return false;
          --sink_capacity;
          asio::post(loop, [this, event] { events.push_back(event); });
          return true;
        });
    links->Start();
  }
  ~Fixture() { links->Stop(); }

  void ListAgent() {
    UpstreamInfo upstream;
    upstream.id = kUpstream;
    upstream.agent_host = "127.0.0.1";
    upstream.agent_port = server->port();
    REQUIRE(links->Apply(upstream));
    REQUIRE(Until([this] { return last_watch_request.has_value(); }));
  }
  void SendAttempt(const std::string& id) {
    AttemptRequest request;
    request.attempt = AttemptId(id);
    REQUIRE(links->Send({kUpstream, request}));
  }
  bool Until(const std::function<bool()>& done) { return RunUntil(loop, done); }
  template <typename Event>
  const Event* Last() const {
    return events.empty() ? nullptr : std::get_if<Event>(&events.back());
  }

  asio::io_context loop;
  asio::executor_work_guard<asio::io_context::executor_type> work =
      asio::make_work_guard(loop);
  std::shared_ptr<LinkServer> server;
  std::vector<LinkStreamPtr> attempts;
  std::vector<AttemptRequest> requests;
  LinkStreamPtr watch;
  std::optional<WatchRequest> last_watch_request;
  int closed = 0;
  std::atomic<std::size_t> sink_capacity;
  std::vector<RouterEvent> events;
  std::unique_ptr<AgentLinks> links;
};

TEST_CASE("An answer arrives at the router as events in order") {
  Fixture f;
  f.ListAgent();
  f.SendAttempt("a");
  REQUIRE(f.Until([&] { return f.requests.size() == 1; }));
  const AttemptId id("a");
  f.attempts[0]->Send(AnswerHead{id, 201, {}});
  f.attempts[0]->Send(AnswerChunk{id, 0, "x", "x"});
  f.attempts[0]->Send(AnswerEnd{id, 1, {}});
  f.attempts[0]->Finish();
  REQUIRE(f.Until([&] { return f.events.size() == 3; }));
  CHECK(std::get<AnswerHeadArrived>(f.events[0]).head.status == 201);
  CHECK(std::get<AnswerChunkArrived>(f.events[1]).chunk.data == "x");
  CHECK(std::get<AnswerEndArrived>(f.events[2]).upstream == kUpstream);
  REQUIRE(f.Until([&] { return f.closed == 1; }));
  CHECK(f.events.size() == 3);
}

TEST_CASE("An attempt without a link is lost and was not sent") {
  Fixture f;
  f.SendAttempt("a");
  REQUIRE(f.Until([&] { return f.Last<AttemptLost>() != nullptr; }));
  CHECK_FALSE(f.Last<AttemptLost>()->sent);
}

TEST_CASE("An attempt with an invalid or incomplete answer is lost as sent") {
  Fixture f;
  f.ListAgent();
  f.SendAttempt("a");
  REQUIRE(f.Until([&] { return f.requests.size() == 1; }));
  SECTION("the link breaks") { f.server->Stop(); }
  SECTION("the stream ends without an end message") { f.attempts[0]->Finish(); }
  SECTION("the answer is another attempt's") {
    f.attempts[0]->Send(AnswerHead{AttemptId("b"), 200, {}});
  }
  SECTION("the answer is malformed") {
    f.attempts[0]->SendFrame(LinkMessageType::kAnswerEnd, "garbage");
  }
  REQUIRE(f.Until([&] { return f.Last<AttemptLost>() != nullptr; }));
  CHECK(f.Last<AttemptLost>()->sent);
  CHECK(f.Last<AttemptLost>()->attempt == AttemptId("a"));
  CHECK(f.events.size() == 1);
}

TEST_CASE("Cancelling an attempt resets its stream and raises no event") {
  Fixture f;
  f.ListAgent();
  f.SendAttempt("a");
  REQUIRE(f.Until([&] { return f.requests.size() == 1; }));
  REQUIRE(f.links->Cancel({kUpstream, AttemptId("a")}));
  REQUIRE(f.Until([&] { return f.closed == 1; }));
  CHECK(f.events.empty());
}

TEST_CASE("A watch sends the configuration version and receives reports") {
  Fixture f;
  f.ListAgent();
  CHECK(f.last_watch_request->watcher == InstanceId("router-1"));
  REQUIRE(f.links->SetConfig(ConfigVersion(7)));
  REQUIRE(f.Until(
      [&] { return f.last_watch_request->config == ConfigVersion(7); }));
  AgentReport report;
  report.upstream.id = UpstreamId("another");
  f.watch->Send(report);
  report.upstream.id = kUpstream;
  report.sequence = 2;
  f.watch->Send(report);
  REQUIRE(f.Until([&] { return !f.events.empty(); }));
  CHECK(std::get<ReportArrived>(f.events[0]).report.sequence == 2);
}

TEST_CASE("A full sink delays answers without losing any") {
  constexpr std::size_t kChunks = 500;
  Fixture f(10);
  f.ListAgent();
  f.SendAttempt("a");
  REQUIRE(f.Until([&] { return f.requests.size() == 1; }));
  for (std::size_t i = 0; i < kChunks; ++i) {
    f.attempts[0]->Send(AnswerChunk{AttemptId("a"), i, "x", ""});
  }
  f.attempts[0]->Send(AnswerEnd{AttemptId("a"), kChunks, {}});
  f.attempts[0]->Finish();
  REQUIRE(f.Until([&] { return f.events.size() == 10; }));
  f.sink_capacity = kChunks;
  REQUIRE(f.Until([&] { return f.events.size() == kChunks + 1; }));
  for (std::size_t i = 0; i < kChunks; ++i) {
    REQUIRE(std::get<AnswerChunkArrived>(f.events[i]).chunk.position == i);
  }
  CHECK(f.Last<AnswerEndArrived>() != nullptr);
}

TEST_CASE("A request larger than a frame is refused as not run") {
  Fixture f;
  f.ListAgent();
  AttemptRequest request;
  request.attempt = AttemptId("a");
  request.body = std::string(kMaxFrameBytes, 'x');
  REQUIRE(f.links->Send({kUpstream, request}));
  REQUIRE(f.Until([&] { return f.Last<AttemptFailedArrived>() != nullptr; }));
  const Error& error = f.Last<AttemptFailedArrived>()->failure.error;
  CHECK(error.kind == ErrorKind::kPayloadTooLarge);
  CHECK(error.execution == Execution::kNotRun);
}

TEST_CASE("The link to an upstream that is gone is closed") {
  Fixture f;
  f.ListAgent();
  UpstreamInfo gone;
  gone.id = kUpstream;
  gone.state = UpstreamState::kGone;
  REQUIRE(f.links->Apply(gone));
  REQUIRE(f.Until([&] { return f.server->connections() == 0; }));
  f.SendAttempt("a");
  REQUIRE(f.Until([&] { return f.Last<AttemptLost>() != nullptr; }));
  CHECK_FALSE(f.Last<AttemptLost>()->sent);
}

TEST_CASE("Orders and calls reach the agent's handlers") {
  Fixture f;
  f.server->HandleCall(
      "order", [](const std::string& bytes, const CallDone& done) {
        done(Encode(OrderResult{Decode<EngineOrder>(bytes)->id, true, {}, {}}));
      });
  f.ListAgent();
  std::optional<OrderResult> result;
  EngineOrder order;
  order.id = "o1";
  REQUIRE(f.links->Order(kUpstream, order, [&](auto r) {
    asio::post(f.loop, [&result, r] { result = r.value(); });
  }));
  REQUIRE(f.Until([&] { return result.has_value(); }));
  CHECK(result->id == "o1");
  CHECK(result->accepted);
  std::optional<absl::Status> status;
  REQUIRE(f.links->Call(UpstreamId("none"), "x", "", [&](auto r) {
    asio::post(f.loop, [&status, r] { status = r.status(); });
  }));
  REQUIRE(f.Until([&] { return status.has_value(); }));
  CHECK(absl::IsUnavailable(*status));
}

}  // namespace
}  // namespace yuccapick
