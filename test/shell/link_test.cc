#include <catch2/catch.hpp>
#include <optional>

#include "test/shell/link_pair.h"

namespace yuccapick {
namespace {

constexpr std::chrono::seconds kCallTimeout{10};

/// Serves `/attempt`: keeps the stream and its first request.
struct AttemptCatcher {
  explicit AttemptCatcher(LinkServer& server) {
    server.HandlePath("/attempt", [this](const LinkStreamPtr& s) {
      stream = s;
      LinkStreamHandlers handlers;
      handlers.on_frame = [this](LinkMessageType type, std::string_view text) {
        if (type != LinkMessageType::kAttemptRequest) return true;
        auto decoded = Decode<AttemptRequest>(text);
        if (decoded.ok()) request = *std::move(decoded);
        return true;
      };
      handlers.on_writable = [this] { ++drained; };
      handlers.on_close = [this](const LinkClose& c) { close = c; };
      s->SetHandlers(std::move(handlers));
    });
  }
  LinkStreamPtr stream;
  std::optional<AttemptRequest> request;
  std::optional<LinkClose> close;
  int drained = 0;
};

TEST_CASE("A call over the link returns the handler's bytes") {
  LinkPair pair;
  pair.server->HandleCall("echo",
                          [](const std::string& bytes, const CallDone& done) {
                            done("<" + bytes + ">");
                          });
  pair.server->HandleCall("refuse",
                          [](const std::string&, const CallDone& done) {
                            done(absl::PermissionDeniedError("no"));
                          });
  REQUIRE(pair.WaitUp());
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

TEST_CASE("A call while the link is down says that it was not sent") {
  LinkPair pair;
  std::optional<absl::StatusOr<std::string>> result;
  pair.client->Call("echo", "", kCallTimeout, [&](auto r) { result = r; });
  REQUIRE(result.has_value());
  CHECK(absl::IsUnavailable(result->status()));
}

TEST_CASE("A wrong secret never brings the link up") {
  LinkPair pair("other");
  REQUIRE(RunUntil(pair.loop, [&] { return pair.downs >= 2; }));
  CHECK(absl::IsUnauthenticated(pair.last_down));
  CHECK_FALSE(pair.client->up());
  CHECK(pair.server->connections() <= 1);
}

TEST_CASE("Garbage on the link port ends only its own connection") {
  LinkPair pair;
  REQUIRE(pair.WaitUp());
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

TEST_CASE("A connection that proves nothing is closed in time") {
  LinkTimings timings;
  timings.handshake = std::chrono::milliseconds(20);
  timings.heartbeat = std::chrono::milliseconds(10);
  LinkPair pair("secret", timings);
  REQUIRE(pair.WaitUp());
  asio::ip::tcp::socket socket(pair.loop);
  socket.connect({asio::ip::address_v4::loopback(), pair.server->port()});
  REQUIRE(RunUntil(pair.loop, [&] { return pair.server->connections() == 2; }));
  REQUIRE(RunUntil(pair.loop, [&] { return pair.server->connections() == 1; }));
  CHECK(pair.client->up());
}

TEST_CASE("A peer that answers no heartbeat is declared dead") {
  asio::io_context loop;
  ScriptedServer silent(loop, [](auto&) {});
  LinkClientOptions options;
  options.peer.port = silent.port();
  options.timings.heartbeat = std::chrono::milliseconds(5);
  options.timings.dead_after = std::chrono::milliseconds(10);
  absl::Status down;
  LinkClientHandlers handlers;
  handlers.on_down = [&](const absl::Status& status) { down = status; };
  auto client = LinkClient::Make(loop, options, handlers);
  client->Start();
  REQUIRE(RunUntil(loop, [&] { return absl::IsDeadlineExceeded(down); }));
  client->Stop();
}

TEST_CASE("A reset stream tells the peer, a broken link both ends") {
  LinkPair pair;
  AttemptCatcher agent(*pair.server);
  REQUIRE(pair.WaitUp());
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

TEST_CASE("A stream counts as sent only once its first byte left") {
  LinkPair pair;
  AttemptCatcher agent(*pair.server);
  REQUIRE(pair.WaitUp());
  std::optional<LinkClose> close;
  LinkStreamHandlers handlers;
  handlers.on_close = [&](const LinkClose& c) { close = c; };
  auto stream = pair.client->Open("/attempt", handlers);
  stream->Send(AttemptRequest{});
  bool expected = false;
  SECTION("the link ends in the same turn of the loop") {}
  SECTION("the link ends after the request arrived") {
    REQUIRE(RunUntil(pair.loop, [&] { return agent.request.has_value(); }));
    expected = true;
  }
  pair.client->Stop();
  REQUIRE(close.has_value());
  CHECK(close->sent == expected);
}

TEST_CASE("A slow reader stops the sender and loses nothing") {
  constexpr std::uint64_t kChunks = 4'000;
  LinkPair pair;
  AttemptCatcher agent(*pair.server);
  REQUIRE(pair.WaitUp());
  std::uint64_t received = 0;
  bool take = false;
  std::optional<LinkClose> close;
  LinkStreamHandlers handlers;
  handlers.on_frame = [&](LinkMessageType, std::string_view payload) {
    if (!take) return false;
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
  const auto idle_turns = [&] {
    for (int i = 0; i < 200; ++i) {
      pair.loop.run_one_for(std::chrono::milliseconds(1));
      send_more();
    }
  };
  pair.loop.restart();
  idle_turns();
  CHECK(received == 0);
  CHECK(sent < kChunks / 2);
  take = true;
  stream->SetReceiving(true);
  REQUIRE(RunUntil(pair.loop, [&] {
    send_more();
    return received == kChunks;
  }));
  CHECK(agent.drained > 0);
  agent.stream->Finish();
  REQUIRE(RunUntil(pair.loop, [&] { return close.has_value(); }));
  CHECK(close->status.ok());
}

TEST_CASE("An oversize frame ends the link with a clear error") {
  LinkPair pair;
  AttemptCatcher agent(*pair.server);
  REQUIRE(pair.WaitUp());
  auto stream = pair.client->Open("/attempt", {});
  stream->SendFrame(LinkMessageType::kAttemptRequest,
                    std::string(kMaxFrameBytes + 1, 'x'));
  REQUIRE(RunUntil(pair.loop, [&] { return pair.downs == 1; }));
  CHECK_FALSE(agent.request.has_value());
  REQUIRE(pair.WaitUp());
}

}  // namespace
}  // namespace yuccapick
