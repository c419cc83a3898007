#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway/table_watch.h"
#include "platform/names.h"
#include "test/gateway/fake_store.h"
#include "test/gateway/received_request.h"
#include "test/shell/scripted_server.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAnswerDelay{100};
/// From a check that failed to the next one.
constexpr milliseconds kCheckDelay{150};
constexpr int kPages = 4;
constexpr char kServers[] = "servers";

/// A watch of a table that is read in several pages, from a store that has
/// discarded its history. Checks go on meanwhile, as in a gateway.
struct DiscardedHistoryFixture : TableWatchHandler {
  DiscardedHistoryFixture()
      : server(loop, [this](ScriptedServer::Connection& c) { OnInput(c); }),
        calls(loop, {}),
        client(std::make_shared<StoreClient>(calls, log)),
        check_timer(loop) {
    TableWatchOptions options;
    options.endpoint = LoopbackEndpoint(server.port());
    options.table = kServers;
    watch = std::make_shared<TableWatch>(loop, *client, times, options, *this);
    watch->Start();
  }
  ~DiscardedHistoryFixture() override { watch->Stop(); }

  void OnTableRows(const std::string& /*table*/,
                   const std::vector<MirrorRow>& /*changes*/) override {}
  void OnTableRestored(const std::string& /*table*/,
                       const std::vector<MirrorRow>& /*changes*/) override {}
  void OnTableUnavailable(const std::string& /*table*/, TimePoint /*sent_at*/,
                          std::string_view /*reason*/) override {}
  void OnTableAnswered(const std::string& /*table*/) override {}
  void OnTableChecked(const std::string& /*table*/,
                      const std::optional<TableAnswer>& /*answer*/) override {
    CheckAfter(kCheckDelay);
  }

  void CheckAfter(milliseconds delay) {
    check_timer.expires_after(delay);
    check_timer.async_wait([this](const asio::error_code& ec) {
      if (!ec) watch->Check();
    });
  }

  void OnInput(ScriptedServer::Connection& c) {
    const auto request = TakeRequest(c.input);
    if (!request) return;
    const std::string path = request->path();
    if (path.starts_with("/rows-get")) return Reply(c, 200, Page(path));
    if (path.find(fmt::format("after={}&", version)) == std::string::npos) {
      return Reply(c, 410, "{}");
    }
    if (path.ends_with("waitMs=0")) {
      Reply(c, 200,
            fmt::format(R"({{"rows":[],"rowVersion":{},"nowMs":1}})", version));
    }
  }

  std::string Page(const std::string& path) const {
    const std::size_t from = path.find("&from=key-");
    const int n = from == std::string::npos ? 0 : path[from + 10] - '0' + 1;
    return fmt::format(
        R"({{"rows":[{{"key":"key-{}","value":"","rowVersion":1}}],)"
        R"("rowVersion":{},"nowMs":1,"hasMore":{}}})",
        n, version, n + 1 < kPages);
  }

  void Reply(ScriptedServer::Connection& c, int status,
             const std::string& body) {
    timers.push_back(std::make_unique<asio::steady_timer>(loop, kAnswerDelay));
    timers.back()->async_wait(
        [c = c.shared_from_this(), status, body](const asio::error_code&) {
          c->Write(fmt::format("HTTP/1.1 {} X\r\nContent-Length: {}\r\n\r\n{}",
                               status, body.size(), body));
        });
  }

  asio::io_context loop;
  int version = 10;
  std::vector<std::unique_ptr<asio::steady_timer>> timers;
  ScriptedServer server;
  StoreTimes times;
  CallClient calls;
  LogSink log;
  std::shared_ptr<StoreClient> client;
  asio::steady_timer check_timer;
  std::shared_ptr<TableWatch> watch;
};

TEST_CASE("Checks don't keep a table of many pages from being read again") {
  DiscardedHistoryFixture fixture;
  REQUIRE(RunUntil(fixture.loop,
                   [&] { return fixture.watch->mirror().as_of() == 10; }));
  fixture.version = 20;
  fixture.CheckAfter(milliseconds(0));
  bool ended = false;
  asio::steady_timer limit(fixture.loop, milliseconds(3'000));
  limit.async_wait([&ended](const asio::error_code& ec) {
    if (!ec) ended = true;
  });
  REQUIRE(RunUntil(fixture.loop, [&] {
    return ended || fixture.watch->mirror().as_of() == 20;
  }));
  CHECK(fixture.watch->mirror().as_of() == 20);
}

/// A watch of a table behind a slow link.
struct SlowLinkFixture : TableWatchHandler {
  SlowLinkFixture() : client(std::make_shared<StoreClient>(calls, log)) {
    store.Put(platform::kOperator, "config", "small");
    TableWatchOptions options;
    options.endpoint = store.slow_endpoint();
    options.table = platform::kOperator;
    watch = std::make_shared<TableWatch>(loop, *client, times, options, *this);
    watch->Start();
  }
  ~SlowLinkFixture() override { watch->Stop(); }

  void OnTableRows(const std::string& /*table*/,
                   const std::vector<MirrorRow>& changes) override {
    rows += changes.size();
  }
  void OnTableRestored(const std::string& /*table*/,
                       const std::vector<MirrorRow>& /*changes*/) override {}
  void OnTableUnavailable(const std::string& /*table*/, TimePoint /*sent_at*/,
                          std::string_view /*reason*/) override {}
  void OnTableAnswered(const std::string& /*table*/) override {}
  void OnTableChecked(const std::string& /*table*/,
                      const std::optional<TableAnswer>& answer) override {
    ++(answer ? checked : failed_checks);
  }

  asio::io_context loop;
  FakeStore store{loop};
  StoreTimes times;
  CallClient calls{loop, {}};
  LogSink log;
  std::shared_ptr<StoreClient> client;
  std::shared_ptr<TableWatch> watch;
  std::size_t rows = 0;
  int checked = 0;
  int failed_checks = 0;
};

/// Guards against a change that crosses a slow link twice at the same time, and
/// is late for that.
TEST_CASE("A check that crosses a large change doesn't bring it again") {
  constexpr std::size_t kChangeBytes = 300'000;
  SlowLinkFixture slow;
  REQUIRE(RunUntil(slow.loop,
                   [&] { return slow.store.HasPoll(platform::kOperator); }));
  const std::size_t before = slow.store.slow_bytes();
  slow.store.Put(platform::kOperator, "config", std::string(kChangeBytes, 'x'));
  // Nothing of the poll's answer has arrived yet.
  slow.watch->Check();
  asio::steady_timer timer(slow.loop);
  const std::function<void()> tick = [&] {
    slow.watch->DropRedundantCheck();
    timer.expires_after(milliseconds(20));
    timer.async_wait([&tick](const asio::error_code& ec) {
      if (!ec) tick();
    });
  };
  tick();
  REQUIRE(RunUntil(slow.loop, [&] { return slow.checked > 0; }));
  CHECK(slow.rows == 2);
  CHECK(slow.failed_checks == 0);
  // The value is sent in base64.
  CHECK(slow.store.slow_bytes() - before < kChangeBytes * 3 / 2);
}

}  // namespace
}  // namespace yuccapick
