#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/escaping.h"
#include "gateway/table_watch.h"
#include "test/gateway/paced_writer.h"
#include "test/gateway/received_request.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr char kTable[] = "op";
constexpr milliseconds kLimit{200};
constexpr std::size_t kBytesPerSecond = 200'000;
/// Arrives in six times the time limit.
constexpr std::size_t kRowBytes = 160'000;
constexpr milliseconds kArrivalTime{1'200};
/// Within this time an answer that has stopped must be given up.
constexpr milliseconds kStallLimit{1'500};
constexpr std::uint64_t kEmptyVersion = 1;

/// A watch of a table with one large row, from a store behind a slow link.
struct SlowLinkFixture : TableWatchHandler {
  SlowLinkFixture()
      : writer(loop, kBytesPerSecond),
        server(loop, [this](ScriptedServer::Connection& c) { OnInput(c); }),
        calls(loop, {}),
        client(std::make_shared<StoreClient>(calls, log)) {
    TableWatchOptions options;
    options.endpoint = LoopbackEndpoint(server.port());
    options.table = kTable;
    options.watch_wait = kLimit;
    options.answer_margin = kLimit;
    options.read_timeout = kLimit;
    options.check_timeout = kLimit;
    watch = std::make_shared<TableWatch>(loop, *client, times, options, *this);
  }
  ~SlowLinkFixture() override { watch->Stop(); }

  void OnTableRows(const std::string& /*table*/,
                   const std::vector<MirrorRow>& changes) override {
    for (const MirrorRow& row : changes) received = row.version;
  }
  void OnTableRestored(const std::string& /*table*/,
                       const std::vector<MirrorRow>& /*changes*/) override {}
  void OnTableUnavailable(const std::string& /*table*/, TimePoint /*sent_at*/,
                          std::string_view /*reason*/) override {
    ++failures;
  }
  void OnTableAnswered(const std::string& /*table*/) override {}
  void OnTableChecked(const std::string& /*table*/,
                      const std::optional<TableAnswer>& answer) override {
    checked = answer.has_value();
  }

  void OnInput(ScriptedServer::Connection& c) {
    while (const auto request = TakeRequest(c.input)) {
      ++requests;
      const std::string path = request->path();
      const std::size_t at = path.find("after=");
      const bool is_read = at == std::string::npos;
      if (is_read) ++reads;
      if (is_read || std::stoull(path.substr(at + 6)) < version) {
        writer.Write(c, Answer());
      } else if (path.ends_with("waitMs=0")) {
        writer.Write(c, AnswerWith(""));
      } else {
        poll = c.shared_from_this();
      }
    }
  }

  /// Puts the first version of the row, or another one.
  void PutRow() {
    ++version;
    if (poll != nullptr) writer.Write(*poll, Answer());
    poll = nullptr;
  }

  /// @return the row, if there is one
  std::string Answer() const {
    if (version == kEmptyVersion) return AnswerWith("");
    return AnswerWith(
        fmt::format(R"({{"key":"config","value":"{}","rowVersion":{}}})",
                    absl::Base64Escape(std::string(kRowBytes, 'x')), version));
  }
  std::string AnswerWith(const std::string& rows) const {
    const std::string body = fmt::format(
        R"({{"rows":[{}],"rowVersion":{},"nowMs":1}})", rows, version);
    return fmt::format("HTTP/1.1 200 X\r\nContent-Length: {}\r\n\r\n{}",
                       body.size(), body);
  }

  /// Starts with an empty table, and waits until a poll is open.
  void StartEmpty() {
    watch->Start();
    REQUIRE(RunUntil(loop, [this] { return poll != nullptr; }));
  }
  /// Waits until an answer with the row is being received.
  void AwaitArriving() {
    REQUIRE(
        RunUntil(loop, [this] { return watch->ArrivingAnswer() != nullptr; }));
  }
  /// @return false if the newest row didn't arrive within `limit`
  bool Arrives(milliseconds limit) {
    bool ended = false;
    asio::steady_timer timer(loop, limit);
    // A wait that is cancelled may be handled after this has returned.
    timer.async_wait([&ended](const asio::error_code& ec) {
      if (!ec) ended = true;
    });
    RunUntil(loop, [&] { return ended || received == version; });
    return received == version;
  }
  void Run(milliseconds duration) {
    bool ended = false;
    asio::steady_timer timer(loop, duration);
    timer.async_wait([&ended](const asio::error_code& ec) {
      if (!ec) ended = true;
    });
    RunUntil(loop, [&ended] { return ended; });
  }

  asio::io_context loop;
  std::uint64_t version = kEmptyVersion;
  std::uint64_t received = 0;
  int requests = 0;  ///< Received by the store.
  int reads = 0;     ///< Of these, reads of the whole table.
  int failures = 0;
  bool checked = false;
  std::shared_ptr<ScriptedServer::Connection> poll;
  PacedWriter writer;
  ScriptedServer server;
  StoreTimes times;
  CallClient calls;
  LogSink log;
  std::shared_ptr<StoreClient> client;
  std::shared_ptr<TableWatch> watch;
};

TEST_CASE("A table is read though its answer takes longer than the limit") {
  SlowLinkFixture fixture;
  fixture.PutRow();
  fixture.watch->Start();
  CHECK(fixture.Arrives(kArrivalTime * 2));
  CHECK(fixture.failures == 0);
}

TEST_CASE("A poll brings a row that takes longer to arrive than the limit") {
  SlowLinkFixture fixture;
  fixture.StartEmpty();
  fixture.PutRow();
  CHECK(fixture.Arrives(kArrivalTime * 2));
  CHECK(fixture.failures == 0);
}

TEST_CASE("A check brings a row that takes longer to arrive than the limit") {
  SlowLinkFixture fixture;
  fixture.StartEmpty();
  fixture.poll = nullptr;
  fixture.PutRow();
  fixture.watch->Check();
  CHECK(fixture.Arrives(kArrivalTime * 2));
  CHECK(fixture.checked);
}

TEST_CASE("A renewal doesn't interrupt an answer that is arriving") {
  SlowLinkFixture fixture;
  fixture.StartEmpty();
  fixture.PutRow();
  fixture.AwaitArriving();
  const int requests = fixture.requests;
  fixture.watch->Renew();
  CHECK(fixture.Arrives(kArrivalTime * 2));
  CHECK(fixture.requests == requests);
}

TEST_CASE("A renewal ends the poll that it replaces") {
  SlowLinkFixture fixture;
  fixture.StartEmpty();
  const auto replaced = fixture.poll;
  fixture.watch->Renew();
  fixture.Run(kLimit / 2);
  CHECK(replaced->closed_by_peer);
}

TEST_CASE("An answer that stops arriving is given up") {
  SlowLinkFixture fixture;
  fixture.StartEmpty();
  fixture.PutRow();
  fixture.AwaitArriving();
  fixture.writer.set_stalled(true);
  fixture.Run(kStallLimit);
  CHECK(fixture.failures > 0);
}

TEST_CASE("After a failed call only the changes are read") {
  SlowLinkFixture fixture;
  fixture.StartEmpty();
  fixture.PutRow();
  REQUIRE(fixture.Arrives(kArrivalTime * 2));
  const int reads = fixture.reads;
  REQUIRE(RunUntil(fixture.loop, [&] { return fixture.poll != nullptr; }));
  fixture.poll->Close();
  fixture.poll = nullptr;
  REQUIRE(RunUntil(fixture.loop, [&] { return fixture.poll != nullptr; }));
  CHECK(fixture.failures > 0);
  CHECK(fixture.reads == reads);
}

}  // namespace
}  // namespace yuccapick
