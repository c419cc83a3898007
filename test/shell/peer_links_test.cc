#include "shell/peer_links.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>

#include "shell/link_server.h"
#include "test/shell/scripted_server.h"
#include "test/shell/silent_relay.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// A peer behind a relay, and the links to it.
struct PeerBehindRelay {
  PeerBehindRelay() : server(MakeServer()), relay(loop, server->port()) {
    ProcessSettings settings;
    settings.secret = "secret";
    links = std::make_shared<PeerLinks>(loop, settings, "router-1", 1);
  }
  ~PeerBehindRelay() {
    links->Stop();
    server->Stop();
    loop.restart();
    loop.run_for(milliseconds(1));
  }

  std::shared_ptr<LinkServer> MakeServer() {
    LinkServerOptions options;
    options.secret = "secret";
    options.name = "agent-1";
    auto made = LinkServer::Make(loop, options);
    made->HandleCall("echo", [](const std::string& bytes,
                                const CallDone& done) { done(bytes); });
    REQUIRE(made->Start().ok());
    return made;
  }

  absl::StatusOr<std::string> Call() {
    std::optional<absl::StatusOr<std::string>> result;
    links->Call(
        {"127.0.0.1", relay.port()}, "echo", "x",
        [&](absl::StatusOr<std::string> it) { result = std::move(it); });
    REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
    return *result;
  }

  asio::io_context loop;
  std::shared_ptr<LinkServer> server;
  SilentRelay relay;
  std::shared_ptr<PeerLinks> links;
};

TEST_CASE("After one call on a silent link the next gets a new link") {
  PeerBehindRelay peer;
  REQUIRE(peer.Call().ok());
  peer.relay.SilenceOpen();
  CHECK(absl::IsDeadlineExceeded(peer.Call().status()));
  CHECK(peer.Call().ok());
  CHECK(peer.relay.accepted() == 2);
}

TEST_CASE("A call to a peer that accepts and says nothing fails in time") {
  asio::io_context loop;
  ScriptedServer silent_server(loop, [](ScriptedServer::Connection&) {});
  ProcessSettings settings;
  settings.secret = "secret";
  auto links = std::make_shared<PeerLinks>(loop, settings, "router-1", 1);
  const auto began_at = std::chrono::steady_clock::now();
  std::optional<absl::Status> result;
  links->Call(
      {"127.0.0.1", silent_server.port()}, "echo", "x",
      [&](const absl::StatusOr<std::string>& it) { result = it.status(); });
  REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
  CHECK_FALSE(result->ok());
  // Two such calls, one at each level of the tree, fit into the promised 4 s.
  CHECK(std::chrono::steady_clock::now() - began_at < milliseconds(1'500));
  links->Stop();
}

}  // namespace
}  // namespace yuccapick
