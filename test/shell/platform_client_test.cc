#include "shell/platform_client.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <vector>

#include "test/shell/scripted_server.h"

namespace yuccapick {
namespace {

using Connection = ScriptedServer::Connection;

enum class AfterResponse { kKeepOpen, kClose };

/// Responds to each complete request with `response`.
std::function<void(Connection&)> RespondWith(
    std::string response, AfterResponse after = AfterResponse::kKeepOpen) {
  return [response = std::move(response), after](Connection& c) {
    const bool complete =
        c.input.ends_with("}") || c.input.ends_with("\r\n\r\n");
    if (!complete) return;
    c.input.clear();
    c.Write(response);
    if (after == AfterResponse::kClose) c.Close();
  };
}

std::string HttpResponseText(const std::string& status,
                             const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

PlatformChannelOptions Options() {
  PlatformChannelOptions options;
  options.deadline = std::chrono::milliseconds(20'000);
  options.budget.initial_backoff = std::chrono::milliseconds(1);
  return options;
}

CommitResult CommitOnce(asio::io_context& loop, const std::string& url,
                        const PlatformChannelOptions& options = Options()) {
  HttpTableService table(std::make_shared<PlatformChannel>(loop, options), url);
  std::optional<CommitResult> result;
  table.Commit({{{"a", 1}}, {{"a", "x"}}, {}},
               [&](CommitResult it) { result = std::move(it); });
  REQUIRE_FALSE(result.has_value());
  REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
  return *result;
}

CommitResult CommitWithResponse(
    const std::string& response,
    AfterResponse after = AfterResponse::kKeepOpen) {
  asio::io_context loop;
  ScriptedServer server(loop, RespondWith(response, after));
  const CommitResult result = CommitOnce(loop, server.url("/table"));
  CHECK(server.connections.size() == 1);
  return result;
}

TEST_CASE("A commit is applied only if the response says so") {
  CHECK(CommitWithResponse(HttpResponseText("200 OK", R"({"applied":true})"))
            .result == WriteResult::kApplied);
  CHECK(CommitWithResponse(HttpResponseText("200 OK", "welcome")).result ==
        WriteResult::kUnknown);
}

TEST_CASE("A commit conflict returns the current rows") {
  const auto result = CommitWithResponse(HttpResponseText(
      "409 Conflict", R"({"applied":false,"conflicts":[)"
                      R"({"key":"a","version":7,"value":"y"}]})"));
  CHECK(result.result == WriteResult::kNotApplied);
  CHECK(result.conflicts == std::vector<TableRow>{{"a", "y", 7}});
}

TEST_CASE("A commit with a lost or ambiguous response is unknown") {
  CHECK(CommitWithResponse("", AfterResponse::kClose).result ==
        WriteResult::kUnknown);
  CHECK(CommitWithResponse(HttpResponseText("503 Unavailable", "{}")).result ==
        WriteResult::kUnknown);
  CHECK(CommitWithResponse(HttpResponseText("408 Timeout", "{}")).result ==
        WriteResult::kUnknown);
  const std::string truncated =
      "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{";
  CHECK(CommitWithResponse(truncated, AfterResponse::kClose).result ==
        WriteResult::kUnknown);
}

TEST_CASE("A commit that the table service rejected is not applied") {
  const auto result =
      CommitWithResponse(HttpResponseText("429 Too Many", "{}"));
  CHECK(result.result == WriteResult::kNotApplied);
  CHECK(result.conflicts.empty());
}

TEST_CASE("A commit that was never sent is not applied") {
  asio::io_context loop;
  std::string url;
  {
    ScriptedServer server(loop, RespondWith(""));
    url = server.url("/table");
  }
  CHECK(CommitOnce(loop, url).result == WriteResult::kNotApplied);
  PlatformChannelOptions no_budget = Options();
  no_budget.budget.write_burst = 0;
  no_budget.budget.writes_per_second = 0;
  CHECK(CommitOnce(loop, url, no_budget).result == WriteResult::kNotApplied);
}

TEST_CASE("A read is retried after the 503 response of an outage") {
  asio::io_context loop;
  int requests = 0;
  ScriptedServer server(loop, [&](Connection& c) {
    if (!c.input.ends_with("}")) return;
    c.input.clear();
    c.Write(++requests < 3 ? HttpResponseText("503 Unavailable", "{}")
                           : HttpResponseText(
                                 "200 OK", R"({"rows":[{"key":"a","version":2,)"
                                           R"("value":"v"}]})"));
  });
  HttpTableService table(std::make_shared<PlatformChannel>(loop, Options()),
                         server.url("/table"));
  std::optional<ReadResult> result;
  table.Read({"a"}, [&](ReadResult it) { result = std::move(it); });
  REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
  REQUIRE(result->ok());
  CHECK(**result == std::vector<TableRow>{{"a", "v", 2}});
  CHECK(requests == 3);
}

TEST_CASE("Reads are answered though the open connections fell silent") {
  constexpr std::size_t kConnections = 3;
  asio::io_context loop;
  std::size_t requests = 0;
  ScriptedServer server(loop, [&](Connection& c) {
    if (!c.input.ends_with("}")) return;
    c.input.clear();
    const auto response = HttpResponseText("200 OK", R"({"rows":[]})");
    if (++requests > kConnections) {
      const auto& first = server.connections.begin();
      const bool is_silent =
          std::any_of(first, first + kConnections,
                      [&c](const auto& it) { return it.get() == &c; });
      if (!is_silent) c.Write(response);
    } else if (requests == kConnections) {
      for (const auto& it : server.connections) it->Write(response);
    }
  });
  HttpTableService table(
      std::make_shared<PlatformChannel>(loop, PlatformChannelOptions()),
      server.url("/table"));
  const auto read = [&table](std::optional<ReadResult>& result) {
    table.Read({"a"}, [&](ReadResult it) { result = std::move(it); });
  };
  std::vector<std::optional<ReadResult>> warm(kConnections);
  for (auto& result : warm) read(result);
  REQUIRE(RunUntil(loop, [&] {
    return std::all_of(warm.begin(), warm.end(),
                       [](const auto& it) { return it && it->ok(); });
  }));
  REQUIRE(server.connections.size() == kConnections);
  for (int i = 0; i < 2; ++i) {
    std::optional<ReadResult> result;
    const auto began_at = std::chrono::steady_clock::now();
    read(result);
    REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
    CHECK(result->ok());
    // A change has to be in force everywhere 4 s after it.
    CHECK(std::chrono::steady_clock::now() - began_at <
          std::chrono::milliseconds(1'500));
  }
}

TEST_CASE("Listed instances of an unknown kind are skipped") {
  asio::io_context loop;
  ScriptedServer server(
      loop,
      RespondWith(HttpResponseText(
          "200 OK", R"({"instances":[{"id":"e1","kind":"model_engine",)"
                    R"("host":"127.0.0.1","port":7,"failure_domain":"d1",)"
                    R"("region":"r","state":"leaving"},)"
                    R"({"id":"x","kind":"toaster","host":"h","port":1}]})")));
  HttpInstanceList list(std::make_shared<PlatformChannel>(loop, Options()),
                        server.url("/instances"));
  std::optional<absl::StatusOr<std::vector<InstanceEntry>>> result;
  list.List([&](auto it) { result = std::move(it); });
  REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
  REQUIRE(result->ok());
  REQUIRE((*result)->size() == 1);
  const InstanceEntry& entry = (*result)->front();
  CHECK(entry.id == InstanceId("e1"));
  CHECK(entry.kind == InstanceKind::kModelEngine);
  CHECK(entry.leaving);
}

}  // namespace
}  // namespace yuccapick
