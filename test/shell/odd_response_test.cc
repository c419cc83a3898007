#include <catch2/catch.hpp>
#include <cstddef>
#include <optional>
#include <string>

#include "shell/http_client.h"
#include "test/gateway/abrupt_server.h"
#include "test/shell/scripted_server.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMaxBody = 1 << 20;
constexpr std::size_t kReadBytes = 1'000;
constexpr std::size_t kPartBytes = 5'000;
/// More than the buffers of a connection hold.
constexpr std::size_t kLongUpload = 3'900'000;
/// The kernel takes such an upload at once; the server's takes a part of it.
constexpr std::size_t kShortUpload = 150'000;

/// Sends a request with a body of `upload` bytes.
HttpResponse Put(asio::io_context& loop, const std::string& endpoint,
                 std::size_t upload) {
  HttpClient client(loop);
  HttpRequest request;
  request.method = "PUT";
  request.url = "http://" + endpoint + "/x";
  request.body.assign(upload, 'u');
  request.timeouts.total = std::chrono::milliseconds(3'000);
  std::optional<HttpResponse> response;
  client.Fetch(std::move(request), kMaxBody,
               [&](HttpResponse r) { response = std::move(r); });
  REQUIRE(RunUntil(loop, [&] { return response.has_value(); }));
  return *std::move(response);
}

std::string UnboundedResponse(const ReceivedRequest& /*request*/) {
  return "HTTP/1.1 200 OK\r\n\r\n" + std::string(kPartBytes, 'x');
}

}  // namespace

/// Guards against a part of a response that passes for all of it, when a server
/// fails while it is sent a request.
TEST_CASE("A response whose server ends before it has the request fails") {
  const std::size_t upload = GENERATE(kLongUpload, kShortUpload);
  const ConnectionEnd end =
      GENERATE(ConnectionEnd::kReset, ConnectionEnd::kFinAndReset,
               ConnectionEnd::kFinThenReset);
  CAPTURE(upload, static_cast<int>(end));
  asio::io_context loop;
  AbruptServer server(loop, kReadBytes, end, UnboundedResponse);
  const HttpResponse response = Put(loop, server.endpoint(), upload);
  CHECK_FALSE(response.result.status.ok());
  CHECK(response.result.sent);
}

/// Guards against whole responses that are taken for failures.
TEST_CASE(
    "A response without a length is whole if its server has the request") {
  const std::size_t upload = GENERATE(std::size_t{10}, kShortUpload);
  asio::io_context loop;
  AbruptServer server(loop, AbruptServer::kWholeRequest, ConnectionEnd::kFin,
                      UnboundedResponse);
  const HttpResponse response = Put(loop, server.endpoint(), upload);
  CHECK(response.result.status.ok());
  CHECK(response.body.size() == kPartBytes);
}

/// Guards against a call that counts as done, or as known to be refused.
TEST_CASE("A response whose status HTTP doesn't have fails") {
  const std::string status =
      GENERATE("000", "099", "600", "999", "1000", "2000", "101");
  CAPTURE(status);
  asio::io_context loop;
  AbruptServer server(loop, AbruptServer::kWholeRequest, ConnectionEnd::kNone,
                      [&status](const ReceivedRequest&) {
                        return "HTTP/1.1 " + status +
                               " X\r\nContent-Length: 3\r\n\r\nodd";
                      });
  const HttpResponse response = Put(loop, server.endpoint(), 10);
  CHECK_FALSE(response.result.status.ok());
  CHECK(response.result.sent);
}

}  // namespace yuccapick
