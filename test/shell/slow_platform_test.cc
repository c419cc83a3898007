#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <vector>

#include "shell/platform_client.h"
#include "test/shell/scripted_server.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

/// Within the time limit of a call, which is 2 s.
constexpr milliseconds kSlowAnswer{1'200};

TEST_CASE("A read is answered though every answer takes more than a second") {
  asio::io_context loop;
  std::vector<std::unique_ptr<asio::steady_timer>> timers;
  ScriptedServer server(loop, [&](ScriptedServer::Connection& c) {
    if (!c.input.ends_with("}")) return;
    c.input.clear();
    timers.push_back(std::make_unique<asio::steady_timer>(loop, kSlowAnswer));
    timers.back()->async_wait(
        [c = c.shared_from_this()](const asio::error_code&) {
          c->Write(
              "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n"
              R"({"rows":[]})");
        });
  });
  HttpTableService table(
      std::make_shared<PlatformChannel>(loop, PlatformChannelOptions()),
      server.url("/table"));
  std::optional<ReadResult> result;
  table.Read({"a"}, [&](ReadResult it) { result = std::move(it); });
  REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
  CHECK(result->ok());
}

}  // namespace
}  // namespace yuccapick
