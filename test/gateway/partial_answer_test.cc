#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "gateway/call_client.h"
#include "gateway/http_connection.h"
#include "test/gateway/abrupt_server.h"
#include "test/gateway/failing_socket.h"
#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr char kRoutes[] = R"([
 {"name":"put","host":"crew.example","prefix":"/put/","kind":"idempotent",
  "timeoutMs":4000,"targetLatencyMs":300,"service":"app","maxAttempts":2},
 {"name":"book","host":"crew.example","prefix":"/book/",
  "kind":"non_idempotent","timeoutMs":4000,"targetLatencyMs":300,
  "service":"app","maxAttempts":2}])";

constexpr std::size_t kReadBytes = 1'000;
constexpr std::size_t kPartBytes = 5'000;
/// More than the buffers of a connection hold.
constexpr std::size_t kLongUpload = 3'900'000;
/// The kernel takes such an upload at once; the server's takes a part of it.
constexpr std::size_t kShortUpload = 150'000;

/// An answer whose end only the end of the connection tells, and its part.
std::string UnboundedAnswer(const ReceivedRequest& request) {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s\r\n\r\n{}",
      request.Field("X-Attempt-Id"), std::string(kPartBytes, 'x'));
}

/// A gateway with one upstream that ends its connections.
struct GatewayWithAbruptServer {
  GatewayWithAbruptServer(std::size_t read_bytes, ConnectionEnd end)
      : server(fixture.loop, read_bytes, end, UnboundedAnswer) {
    fixture.PutConfig(1, kRoutes);
    const nlohmann::json row{{"service", "app"}, {"address", server.endpoint()},
                             {"zone", "here"},   {"version", "v1"},
                             {"slots", 6},       {"state", "ready"},
                             {"sequence", 0},    {"born", 1}};
    fixture.store.Put("servers", "app-1", row.dump());
    fixture.Start();
    REQUIRE(fixture.AwaitListed(1));
  }

  GatewayFixture fixture;
  AbruptServer server;
};

/// Records how an exchange ends.
struct EndRecorder : ExchangeHandler {
  HeadDecision OnAnswerHead(const HttpHead& /*head*/) override {
    return HeadDecision::kAccept;
  }
  void OnAnswerBody(std::string_view bytes) override { body += bytes; }
  void OnExchangeEnd(ExchangeEnd e, std::string_view r) override {
    end = e;
    reason = std::string(r);
  }

  std::string body;
  std::optional<ExchangeEnd> end;
  std::string reason;
};

}  // namespace

/// Guards against a part of an answer that passes for all of it, when a server
/// fails while it is sent a request.
TEST_CASE("A server that ends before it has a whole request gave no answer") {
  const std::size_t upload = GENERATE(kLongUpload, kShortUpload);
  const ConnectionEnd end =
      GENERATE(ConnectionEnd::kReset, ConnectionEnd::kFinAndReset,
               ConnectionEnd::kFinThenReset);
  const std::string path = GENERATE("/book/1", "/put/1");
  CAPTURE(upload, static_cast<int>(end), path);
  GatewayWithAbruptServer abrupt(kReadBytes, end);
  const std::string answer = abrupt.fixture.Ask(
      CallerRequest("POST", path, "", std::string(upload, 'u')));
  CHECK(abrupt.server.answers() >= 1);
  CHECK(answer.starts_with("HTTP/1.1 502"));
}

/// Guards against whole answers that are taken for failures.
TEST_CASE("An answer without a length is whole if its server has the request") {
  const std::size_t upload = GENERATE(std::size_t{10}, kShortUpload);
  const ConnectionEnd end =
      GENERATE(ConnectionEnd::kFin, ConnectionEnd::kFinThenReset);
  CAPTURE(upload, static_cast<int>(end));
  GatewayWithAbruptServer abrupt(AbruptServer::kWholeRequest, end);
  const std::string answer = abrupt.fixture.Ask(
      CallerRequest("POST", "/book/1", "", std::string(upload, 'u')));
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.find(std::string(kPartBytes, 'x')) != std::string::npos);
}

/// Guards against an end that is read between a failed write and its report.
TEST_CASE("An end that is read after a failed write completes no answer") {
  asio::io_context loop;
  AbruptServer server(loop, kReadBytes, ConnectionEnd::kNone, UnboundedAnswer);
  auto connection = std::make_shared<HttpConnection>(
      loop, server.endpoint(), HttpConnectionOptions(), 1);
  const auto recorder = std::make_shared<EndRecorder>();
  OutgoingRequest request;
  request.head = fmt::format(
      "POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a\r\n"
      "Content-Length: {}\r\n\r\n",
      kLongUpload);
  request.body = std::make_shared<const std::string>(kLongUpload, 'u');
  connection->Start(request, false, recorder, nullptr);
  REQUIRE(RunUntil(loop, [&] { return recorder->body.size() == kPartBytes; }));
  // Both the write and the read are ready, and the write goes first.
  REQUIRE(ShutDown(server.endpoint()) == 1);
  REQUIRE(RunUntil(loop, [&] { return recorder->end.has_value(); }));
  CHECK(*recorder->end == ExchangeEnd::kBroken);
}

/// Guards against the same in calls to upstreams, peers and the store.
TEST_CASE("A call whose server ends before it has the request has no answer") {
  const ConnectionEnd end =
      GENERATE(ConnectionEnd::kReset, ConnectionEnd::kFinAndReset,
               ConnectionEnd::kFinThenReset);
  const std::size_t upload = GENERATE(kLongUpload, kShortUpload);
  asio::io_context loop;
  AbruptServer server(loop, kReadBytes, end, UnboundedAnswer);
  CallClient calls(loop, {});
  std::optional<absl::Status> status;
  calls.Call(server.endpoint(),
             fmt::format("PUT /x HTTP/1.1\r\nHost: h\r\n"
                         "Content-Length: {}\r\n\r\n{}",
                         upload, std::string(upload, 'u')),
             milliseconds(2'000),
             [&status](const absl::StatusOr<CallAnswer>& answer,
                       const CallProgress&) { status = answer.status(); });
  REQUIRE(RunUntil(loop, [&status] { return status.has_value(); }));
  CHECK(absl::IsUnknown(*status));
}

}  // namespace yuccapick
