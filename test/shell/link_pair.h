#ifndef YUCCAPICK_TEST_SHELL_LINK_PAIR_H_
#define YUCCAPICK_TEST_SHELL_LINK_PAIR_H_

/// @file
/// A link server and a client connected to it on one event loop, for tests.

#include <asio.hpp>
#include <memory>
#include <string>

#include "shell/link_client.h"
#include "shell/link_server.h"
#include "test/shell/scripted_server.h"

namespace yuccapick {

struct LinkPair {
  explicit LinkPair(std::string client_secret = "secret",
                    LinkTimings timings = {}, const TlsSettings& tls = {})
      : LinkPair(std::move(client_secret), timings, tls, tls) {}
  LinkPair(std::string client_secret, LinkTimings timings,
           const TlsSettings& tls, const TlsSettings& client_tls) {
    LinkServerOptions server_options;
    server_options.secret = "secret";
    server_options.name = "agent";
    server_options.timings = timings;
    server_options.tls = tls;
    server = LinkServer::Make(loop, server_options);
    start_status = server->Start();
    LinkClientOptions options;
    options.peer.port = server->port();
    options.secret = std::move(client_secret);
    options.name = "router";
    options.timings = timings;
    if (auto context = MakeTlsContext(client_tls, LinkRole::kClient);
        context.ok()) {
      options.tls = *context;
    }
    LinkClientHandlers handlers;
    handlers.on_down = [this](const absl::Status& status) {
      ++down_count;
      last_down_status = status;
    };
    client = LinkClient::Make(loop, options, handlers);
    client->Start();
  }
  ~LinkPair() {
    client->Stop();
    server->Stop();
    loop.restart();
    loop.run_for(std::chrono::milliseconds(1));
  }

  bool WaitUntilUp() {
    return RunUntil(loop, [this] { return client->up(); });
  }

  asio::io_context loop;
  std::shared_ptr<LinkServer> server;
  std::shared_ptr<LinkClient> client;
  absl::Status start_status;
  absl::Status last_down_status;
  int down_count = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_SHELL_LINK_PAIR_H_
