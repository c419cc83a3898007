#include "test/gateway/fake_upstream.h"

#include <fmt/format.h>

#include <utility>

namespace yuccapick {

FakeUpstream::FakeUpstream(asio::io_context& loop, std::string id,
                           Script script)
    : id_(std::move(id)),
      script_(std::move(script)),
      server_(loop, [this](Connection& c) { OnInput(c); }) {}

std::string FakeUpstream::endpoint() const {
  return LoopbackEndpoint(server_.port());
}

void FakeUpstream::OnInput(Connection& connection) {
  while (auto request = TakeRequest(connection.input)) {
    if (request->path() == "/report" || request->path() == "/order") {
      ++rollout_calls_;
    }
    if (request->path().starts_with("/kv-") || request->path() == "/report") {
      connection.Write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    received_.push_back(*request);
    script_(connection, *request);
  }
}

void FakeUpstream::Answer(Connection& connection,
                          const ReceivedRequest& request, int status,
                          const std::string& body,
                          const std::string& more_fields) const {
  connection.Write(fmt::format(
      "HTTP/1.1 {} X\r\nX-Attempt-Id: {}\r\nX-Server-Seal: {}-seal\r\n"
      "{}Content-Length: {}\r\n\r\n{}",
      status, request.Field("X-Attempt-Id"), id_, more_fields, body.size(),
      body));
}

void FakeUpstream::BeginStream(Connection& connection,
                               const ReceivedRequest& request) const {
  connection.Write(fmt::format(
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: {}-seal\r\n"
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
      request.Field("X-Attempt-Id"), id_));
}

}  // namespace yuccapick
