#include <catch2/catch.hpp>
#include <optional>

#include "test/shell/link_pair.h"

namespace yuccapick {
namespace {

constexpr std::chrono::seconds kCallTimeout{10};

/// Handles `/attempt`: records the stream, its last request and its close.
struct AttemptRecorder {
  explicit AttemptRecorder(LinkServer& server) {
    server.HandlePath("/attempt", [this](const LinkStreamPtr& s) {
      stream = s;
      LinkStreamHandlers handlers;
      handlers.on_frame = [this](LinkMessageType type, std::string_view text) {
        if (type != LinkMessageType::kAttemptRequest) return true;
        auto decoded = Decode<AttemptRequest>(text);
        if (decoded.ok()) request = *std::move(decoded);
        return true;
      };
      handlers.on_writable = [this] { ++writable_count; };
      handlers.on_close = [this](const LinkClose& c) { close = c; };
      s->SetHandlers(std::move(handlers));
    });
  }
  LinkStreamPtr stream;
  std::optional<AttemptRequest> request;
  std::optional<LinkClose> close;
  int writable_count = 0;
};

TEST_CASE("A call over the link returns the result of its handler") {
  LinkPair pair;
  pair.server->HandleCall("echo",
                          [](const std::string& bytes, const CallDone& done) {
                            done("<" + bytes + ">");
                          });
  pair.server->HandleCall("refuse",
                          [](const std::string&, const CallDone& done) {
                            done(absl::PermissionDeniedError("no"));
                          });
  REQUIRE(pair.WaitUntilUp());
  std::vector<absl::StatusOr<std::string>> results;
  const auto keep = [&](absl::StatusOr<std::string> r) {
    results.push_back(std::move(r));
  };
  const std::string large(3 << 20, 'x');
  for (const auto& [name, bytes] :
       {std::pair<std::string, std::string>("echo", "a"),
        {"refuse", ""},
        {"unknown", ""},
        {"echo", large}}) {
    pair.client->Call(name, bytes, kCallTimeout, keep);
    const std::size_t n = results.size();
    REQUIRE(RunUntil(pair.loop, [&] { return results.size() == n + 1; }));
  }
  CHECK(results[0].value() == "<a>");
  CHECK(absl::IsPermissionDenied(results[1].status()));
  CHECK(absl::IsNotFound(results[2].status()));
  CHECK(results[3].value() == "<" + large + ">");
}

TEST_CASE("A call while the link is down fails as not sent") {
  LinkPair pair;
  std::optional<absl::StatusOr<std::string>> result;
  pair.client->Call("echo", "", kCallTimeout, [&](auto r) { result = r; });
  REQUIRE(result.has_value());
  CHECK(absl::IsUnavailable(result->status()));
}

TEST_CASE("A wrong secret never brings the link up") {
  LinkPair pair("other");
  REQUIRE(RunUntil(pair.loop, [&] { return pair.down_count >= 2; }));
  CHECK(absl::IsUnauthenticated(pair.last_down_status));
  CHECK_FALSE(pair.client->up());
  CHECK(pair.server->connections() <= 1);
}

TEST_CASE("Malformed input on the link port closes only its own connection") {
  LinkPair pair;
  REQUIRE(pair.WaitUntilUp());
  for (const std::string& text :
       {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(100'000, '\xff')}) {
    asio::ip::tcp::socket socket(pair.loop);
    socket.connect({asio::ip::address_v4::loopback(), pair.server->port()});
    REQUIRE(
        RunUntil(pair.loop, [&] { return pair.server->connections() == 2; }));
    asio::error_code ec;
    asio::write(socket, asio::buffer(text), ec);
    REQUIRE(
        RunUntil(pair.loop, [&] { return pair.server->connections() == 1; }));
  }
  CHECK(pair.client->up());
}

TEST_CASE(
    "An unauthenticated connection is closed after the handshake timeout") {
  LinkTimings timings;
  timings.handshake_timeout = std::chrono::milliseconds(20);
  timings.heartbeat_interval = std::chrono::milliseconds(10);
  LinkPair pair("secret", timings);
  REQUIRE(pair.WaitUntilUp());
  asio::ip::tcp::socket socket(pair.loop);
  socket.connect({asio::ip::address_v4::loopback(), pair.server->port()});
  REQUIRE(RunUntil(pair.loop, [&] { return pair.server->connections() == 2; }));
  REQUIRE(RunUntil(pair.loop, [&] { return pair.server->connections() == 1; }));
  CHECK(pair.client->up());
}

TEST_CASE("A link whose peer answers no heartbeat is closed") {
  asio::io_context loop;
  ScriptedServer silent_server(loop, [](auto&) {});
  LinkClientOptions options;
  options.peer.port = silent_server.port();
  options.timings.heartbeat_interval = std::chrono::milliseconds(5);
  options.timings.silence_timeout = std::chrono::milliseconds(10);
  absl::Status down;
  LinkClientHandlers handlers;
  handlers.on_down = [&](const absl::Status& status) { down = status; };
  auto client = LinkClient::Make(loop, options, handlers);
  client->Start();
  REQUIRE(RunUntil(loop, [&] { return absl::IsDeadlineExceeded(down); }));
  client->Stop();
}

TEST_CASE("A reset stream notifies the peer, a lost link both ends") {
  LinkPair pair;
  AttemptRecorder agent(*pair.server);
  REQUIRE(pair.WaitUntilUp());
  std::optional<LinkClose> close;
  LinkStreamHandlers handlers;
  handlers.on_close = [&](const LinkClose& c) { close = c; };
  auto stream = pair.client->Open("/attempt", handlers);
  stream->Send(AttemptRequest{.attempt = AttemptId("a")});
  stream->Finish();
  REQUIRE(RunUntil(pair.loop, [&] { return agent.request.has_value(); }));
  CHECK(agent.request->attempt == AttemptId("a"));
  CHECK(agent.stream->peer() == "router");
  SECTION("reset") {
    stream->Reset();
    REQUIRE(RunUntil(pair.loop, [&] { return agent.close.has_value(); }));
    CHECK_FALSE(agent.close->status.ok());
    CHECK_FALSE(close.has_value());
  }
  SECTION("broken link") {
    pair.client->Stop();
    CHECK(close.has_value());
    CHECK(close->sent);
    REQUIRE(RunUntil(pair.loop, [&] { return agent.close.has_value(); }));
    CHECK_FALSE(agent.close->status.ok());
  }
}

TEST_CASE("A stream counts as sent only once its first byte is written") {
  LinkPair pair;
  AttemptRecorder agent(*pair.server);
  REQUIRE(pair.WaitUntilUp());
  std::optional<LinkClose> close;
  LinkStreamHandlers handlers;
  handlers.on_close = [&](const LinkClose& c) { close = c; };
  auto stream = pair.client->Open("/attempt", handlers);
  stream->Send(AttemptRequest{});
  bool expected = false;
  SECTION("the link closes in the same loop iteration") {}
  SECTION("the link closes after the request arrived") {
    REQUIRE(RunUntil(pair.loop, [&] { return agent.request.has_value(); }));
    expected = true;
  }
  pair.client->Stop();
  REQUIRE(close.has_value());
  CHECK(close->sent == expected);
}

TEST_CASE("A slow reader blocks the sender and no frame is lost") {
  constexpr std::uint64_t kChunks = 4'000;
  LinkPair pair;
  AttemptRecorder agent(*pair.server);
  REQUIRE(pair.WaitUntilUp());
  std::uint64_t received = 0;
  bool accept_frames = false;
  std::optional<LinkClose> close;
  LinkStreamHandlers handlers;
  handlers.on_frame = [&](LinkMessageType, std::string_view payload) {
    if (!accept_frames) return false;
    REQUIRE(Decode<AnswerChunk>(payload)->position == received);
    ++received;
    return true;
  };
  handlers.on_close = [&](const LinkClose& c) { close = c; };
  auto stream = pair.client->Open("/attempt", handlers);
  stream->Send(AttemptRequest{});
  stream->Finish();
  REQUIRE(RunUntil(pair.loop, [&] { return agent.request.has_value(); }));
  std::uint64_t sent = 0;
  const auto send_more = [&] {
    while (sent < kChunks && !agent.stream->congested()) {
      agent.stream->Send(AnswerChunk{{}, sent++, std::string(1'000, 'x'), ""});
    }
  };
  send_more();
  const auto run_loop_iterations = [&] {
    for (int i = 0; i < 200; ++i) {
      pair.loop.run_one_for(std::chrono::milliseconds(1));
      send_more();
    }
  };
  pair.loop.restart();
  run_loop_iterations();
  CHECK(received == 0);
  CHECK(sent < kChunks / 2);
  accept_frames = true;
  stream->SetReceiving(true);
  REQUIRE(RunUntil(pair.loop, [&] {
    send_more();
    return received == kChunks;
  }));
  CHECK(agent.writable_count > 0);
  agent.stream->Finish();
  REQUIRE(RunUntil(pair.loop, [&] { return close.has_value(); }));
  CHECK(close->status.ok());
}

TEST_CASE("An oversize frame closes the link, which then reconnects") {
  LinkPair pair;
  AttemptRecorder agent(*pair.server);
  REQUIRE(pair.WaitUntilUp());
  auto stream = pair.client->Open("/attempt", {});
  stream->SendFrame(LinkMessageType::kAttemptRequest,
                    std::string(kMaxFrameBytes + 1, 'x'));
  REQUIRE(RunUntil(pair.loop, [&] { return pair.down_count == 1; }));
  CHECK_FALSE(agent.request.has_value());
  REQUIRE(pair.WaitUntilUp());
}

}  // namespace
}  // namespace yuccapick
