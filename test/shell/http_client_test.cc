#include "shell/http_client.h"

#include <catch2/catch.hpp>
#include <optional>

#include "shell/upstream_exchange.h"
#include "test/shell/scripted_server.h"

namespace yuccapick {
namespace {

constexpr std::size_t kMaxBody = 1 << 20;

bool HasCompleteHeaders(const ScriptedServer::Connection& c) {
  return c.input.find("\r\n\r\n") != std::string::npos;
}

HttpResponse FetchOnce(asio::io_context& loop, HttpClient& client,
                       HttpRequest request, std::size_t max_body = kMaxBody) {
  std::optional<HttpResponse> response;
  client.Fetch(std::move(request), max_body,
               [&](HttpResponse a) { response = std::move(a); });
  REQUIRE(RunUntil(loop, [&] { return response.has_value(); }));
  return *std::move(response);
}

TEST_CASE("Fetch returns the complete body and headers of a response") {
  asio::io_context loop;
  ScriptedServer server(loop, [](ScriptedServer::Connection& c) {
    if (!HasCompleteHeaders(c)) return;
    c.Write(
        "HTTP/1.1 201 Created\r\nX-Kind: Demo\r\nContent-Length: 5\r\n\r\n"
        "hello");
  });
  HttpClient client(loop);
  HttpRequest request{"POST", server.url("/a"), {{"x-team", "moor"}}, "body"};
  const HttpResponse response = FetchOnce(loop, client, request);
  CHECK(response.result.status.ok());
  CHECK(response.result.http_status == 201);
  CHECK(response.body == "hello");
  CHECK(response.headers.at(0) == Header{"x-kind", "Demo"});
  const std::string& input = server.connections.at(0)->input;
  CHECK(input.find("POST /a HTTP/1.1\r\n") == 0);
  CHECK(input.find("x-team: moor\r\n") != std::string::npos);
  CHECK(client.active() == 0);
}

TEST_CASE("A refused connection counts as not sent") {
  asio::io_context loop;
  std::uint16_t port = 0;
  {
    ScriptedServer server(loop, [](auto&) {});
    port = server.port();
  }
  HttpClient client(loop);
  HttpRequest request;
  request.url = "http://127.0.0.1:" + std::to_string(port) + "/";
  const HttpResponse response = FetchOnce(loop, client, request);
  CHECK_FALSE(response.result.status.ok());
  CHECK_FALSE(response.result.sent);
}

TEST_CASE("A truncated response fails and counts as sent") {
  asio::io_context loop;
  ScriptedServer server(loop, [](ScriptedServer::Connection& c) {
    c.Write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello");
    c.Close();
  });
  HttpClient client(loop);
  HttpRequest request;
  request.url = server.url("/");
  const HttpResponse response = FetchOnce(loop, client, request);
  CHECK_FALSE(response.result.status.ok());
  CHECK(response.result.sent);
}

/// @return what a client makes of a response that ends after `sent`
HttpResponse FetchCut(const std::string& sent) {
  asio::io_context loop;
  ScriptedServer server(loop, [&](ScriptedServer::Connection& c) {
    if (!HasCompleteHeaders(c)) return;
    c.Write(sent);
    c.Close();
  });
  HttpClient client(loop);
  HttpRequest request;
  request.url = server.url("/");
  return FetchOnce(loop, client, request);
}

/// Guards against a response cut within its head that passes for a complete
/// one.
TEST_CASE("A response that ends anywhere within its head fails") {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Kind: Demo\r\nContent-Length: 0\r\n\r\n";
  for (std::size_t n = 0; n < head.size(); ++n) {
    const std::string sent = head.substr(0, n);
    CAPTURE(sent);
    const HttpResponse response = FetchCut(sent);
    CHECK_FALSE(response.result.status.ok());
    CHECK(response.result.sent);
  }
  CHECK(FetchCut(head).result.status.ok());
}

TEST_CASE("A response after an interim one that is cut in its head fails") {
  const HttpResponse response =
      FetchCut("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Ki");
  CHECK_FALSE(response.result.status.ok());
}

TEST_CASE(
    "A non-repeatable request is sent once when its connection is closed") {
  asio::io_context loop;
  int requests = 0;
  ScriptedServer server(loop, [&](ScriptedServer::Connection& c) {
    if (!HasCompleteHeaders(c)) return;
    c.input.clear();
    if (++requests == 1) {
      c.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    } else {
      c.Close();
    }
  });
  HttpClient client(loop);
  HttpRequest request{"POST", server.url("/"), {}, "x"};
  CHECK(FetchOnce(loop, client, request).result.status.ok());
  const HttpResponse second = FetchOnce(loop, client, request);
  CHECK_FALSE(second.result.status.ok());
  CHECK(second.result.sent);
  CHECK(requests == 2);
}

TEST_CASE("Requests that may repeat share a kept-alive connection") {
  asio::io_context loop;
  ScriptedServer server(loop, [&](ScriptedServer::Connection& c) {
    if (!HasCompleteHeaders(c)) return;
    c.input.clear();
    c.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  HttpClient client(loop);
  HttpRequest request;
  request.url = server.url("/");
  request.repeatable = true;
  CHECK(FetchOnce(loop, client, request).result.status.ok());
  CHECK(FetchOnce(loop, client, request).result.status.ok());
  CHECK(server.connections.size() == 1);
}

/// Guards against a late copy of an answer that is taken for the next one.
TEST_CASE("Requests to an upstream each have a connection of their own") {
  asio::io_context loop;
  ScriptedServer server(loop, [&](ScriptedServer::Connection& c) {
    if (!HasCompleteHeaders(c)) return;
    c.input.clear();
    c.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  HttpClient client(loop);
  AttemptRequest attempt;
  attempt.kind = RequestKind::kPlain;
  attempt.method = "GET";
  attempt.target = "/";
  for (std::size_t n = 1; n <= 2; ++n) {
    attempt.attempt = AttemptId("attempt-" + std::to_string(n));
    attempt.deadline = std::chrono::seconds(5);
    const auto request = MakeUpstreamRequest(attempt, server.url(""));
    REQUIRE(request.ok());
    CHECK(FetchOnce(loop, client, *request).result.status.ok());
    CHECK(server.connections.size() == n);
  }
}

TEST_CASE("Cancel closes the connection and runs no further callback") {
  asio::io_context loop;
  ScriptedServer server(loop, [](ScriptedServer::Connection& c) {
    c.Write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello");
  });
  HttpClient client(loop);
  HttpRequest request;
  request.url = server.url("/");
  bool got_data = false;
  bool done = false;
  RequestHandle handle{};
  HttpCallbacks callbacks;
  callbacks.on_data = [&](std::string_view) {
    got_data = true;
    client.Cancel(handle);
  };
  callbacks.on_done = [&](const HttpResult&) { done = true; };
  handle = client.Start(request, callbacks);
  REQUIRE(RunUntil(loop, [&] {
    return got_data && server.connections.at(0)->closed_by_peer;
  }));
  CHECK_FALSE(done);
  CHECK(client.active() == 0);
}

TEST_CASE("A paused request receives no data until it is resumed") {
  asio::io_context loop;
  const std::string body(4 << 20, 'a');
  bool responded = false;
  ScriptedServer server(loop, [&](ScriptedServer::Connection& c) {
    if (!HasCompleteHeaders(c) || responded) return;
    responded = true;
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n";
    auto text = std::make_shared<std::string>(head + body);
    asio::async_write(c.socket, asio::buffer(*text),
                      [text](asio::error_code, std::size_t) {});
  });
  HttpClient client(loop);
  HttpRequest request;
  request.url = server.url("/");
  std::size_t received = 0;
  int calls = 0;
  std::optional<HttpResult> result;
  RequestHandle handle{};
  HttpCallbacks callbacks;
  callbacks.on_data = [&](std::string_view data) {
    received += data.size();
    if (++calls == 1) client.Pause(handle);
  };
  callbacks.on_done = [&](const HttpResult& r) { result = r; };
  handle = client.Start(request, callbacks);
  REQUIRE(RunUntil(loop, [&] { return calls == 1; }));
  while (loop.poll_one() > 0) {
  }
  CHECK(calls == 1);
  client.Resume(handle);
  REQUIRE(RunUntil(loop, [&] { return result.has_value(); }));
  CHECK(result->status.ok());
  CHECK(received == body.size());
}

TEST_CASE("A response body over the size limit fails the request") {
  asio::io_context loop;
  ScriptedServer server(loop, [](ScriptedServer::Connection& c) {
    c.Write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
  });
  HttpClient client(loop);
  HttpRequest request;
  request.url = server.url("/");
  const HttpResponse response = FetchOnce(loop, client, request, 4);
  CHECK(response.result.status.code() == absl::StatusCode::kResourceExhausted);
  REQUIRE(RunUntil(loop, [&] { return client.active() == 0; }));
}

TEST_CASE("A header with a line break is rejected before anything is sent") {
  asio::io_context loop;
  HttpClient client(loop);
  HttpRequest request;
  request.url = "http://127.0.0.1:1/";
  request.headers = {{"x-a", "b\r\nx-c: d"}};
  const HttpResponse response = FetchOnce(loop, client, request);
  CHECK(response.result.status.code() == absl::StatusCode::kInvalidArgument);
  CHECK_FALSE(response.result.sent);
}

/// Writes a response of `parts` single bytes, one each interval. Stops after
/// half of them if `stalls` is set.
struct SlowResponse {
  SlowResponse(int parts, bool stalls)
      : timer(loop),
        left(stalls ? parts / 2 : parts),
        server(loop, [this, parts](ScriptedServer::Connection& c) {
          if (!HasCompleteHeaders(c)) return;
          c.Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                  std::to_string(parts) + "\r\n\r\n");
          connection = c.shared_from_this();
          WriteNext();
        }) {}

  void WriteNext() {
    timer.expires_after(std::chrono::milliseconds(50));
    timer.async_wait([this](const asio::error_code& ec) {
      if (ec || left-- == 0) return;
      connection->Write("x");
      WriteNext();
    });
  }

  HttpResponse Fetch() {
    HttpClient client(loop);
    HttpRequest request;
    request.url = server.url("/");
    request.timeouts.total = std::chrono::milliseconds(200);
    request.timeouts.until_response = true;
    return FetchOnce(loop, client, request);
  }

  asio::io_context loop;
  asio::steady_timer timer;
  int left;
  std::shared_ptr<ScriptedServer::Connection> connection;
  ScriptedServer server;
};

TEST_CASE("A response may arrive for longer than the limit until it begins") {
  SlowResponse slow(30, /*stalls=*/false);
  const HttpResponse response = slow.Fetch();
  CHECK(response.result.status.ok());
  CHECK(response.body.size() == 30);
}

TEST_CASE("A response that stops arriving fails") {
  SlowResponse slow(30, /*stalls=*/true);
  const auto began_at = std::chrono::steady_clock::now();
  const HttpResponse response = slow.Fetch();
  CHECK(absl::IsDeadlineExceeded(response.result.status));
  CHECK(std::chrono::steady_clock::now() - began_at <
        std::chrono::milliseconds(4'000));
}

}  // namespace
}  // namespace yuccapick
