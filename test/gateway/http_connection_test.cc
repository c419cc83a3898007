#include "gateway/http_connection.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "gateway/http_connection_pool.h"
#include "test/gateway/received_request.h"
#include "test/shell/scripted_server.h"

namespace yuccapick {
namespace {

const OutgoingRequest kRequest{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", nullptr};
constexpr char kAnswerHead[] = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";

/// Records the events of one exchange.
struct RecordingHandler : ExchangeHandler {
  HeadDecision OnAnswerHead(const HttpHead& /*head*/) override {
    ++heads;
    return HeadDecision::kAccept;
  }
  void OnAnswerBody(std::string_view bytes) override { body += bytes; }
  void OnExchangeEnd(ExchangeEnd end, std::string_view /*reason*/) override {
    ends.push_back(end);
  }

  int heads = 0;
  std::string body;
  std::vector<ExchangeEnd> ends;
};

/// A server that answers requests while `answers` is set.
struct AnsweringServer {
  AnsweringServer()
      : server(loop, [this](ScriptedServer::Connection& c) {
          if (!TakeRequest(c.input)) return;
          ++requests;
          if (answers) c.Write(std::string(kAnswerHead) + "good");
        }) {}

  std::string endpoint() { return LoopbackEndpoint(server.port()); }
  ScriptedServer::Connection& last() { return *server.connections.back(); }
  bool RunUntilRequests(int n) {
    return RunUntil(loop, [this, n] { return requests == n; });
  }

  asio::io_context loop;
  int requests = 0;
  bool answers = true;
  ScriptedServer server;
};

/// Guards against a request that is sent again while it is still being sent.
TEST_CASE("A write that fails at once is reported after the start returned") {
  AnsweringServer answering;
  auto connection = std::make_shared<HttpConnection>(
      answering.loop, answering.endpoint(), HttpConnectionOptions(), 1);
  bool idle = false;
  const auto on_idle = [&idle](const std::shared_ptr<HttpConnection>&) {
    idle = true;
  };
  connection->Start(kRequest, false, std::make_shared<RecordingHandler>(),
                    on_idle);
  REQUIRE(RunUntil(answering.loop, [&idle] { return idle; }));
  answering.last().socket.set_option(asio::socket_base::linger(true, 0));
  answering.last().Close();
  const auto handler = std::make_shared<RecordingHandler>();
  connection->Start(kRequest, false, handler, on_idle);
  CHECK(handler->ends.empty());
  REQUIRE(
      RunUntil(answering.loop, [&handler] { return !handler->ends.empty(); }));
  CHECK(handler->ends.front() == ExchangeEnd::kNotSent);
  answering.loop.poll();
  CHECK(handler->ends.size() == 1);
}

/// Guards against an attempt that was given up whose bytes reach its request.
TEST_CASE("An exchange that is dropped closes its connection unheard") {
  AnsweringServer answering;
  answering.answers = false;
  HttpConnectionPool pool(answering.loop, {});
  const auto handler = std::make_shared<RecordingHandler>();
  {
    const Exchange exchange =
        pool.Start(answering.endpoint(), kRequest, {}, handler);
    REQUIRE(answering.RunUntilRequests(1));
    CHECK(exchange.active());
    // These bytes wait in the socket when the exchange is dropped.
    answering.last().Write(std::string(kAnswerHead) + "late");
  }
  REQUIRE(RunUntil(answering.loop,
                   [&] { return answering.last().closed_by_peer; }));
  CHECK(handler->heads == 0);
  CHECK(handler->body.empty());
  CHECK(handler->ends.empty());
  CHECK(handler.use_count() == 1);
}

TEST_CASE("An exchange that has ended leaves its connection to later ones") {
  AnsweringServer answering;
  HttpConnectionPool pool(answering.loop, {});
  const auto first = std::make_shared<RecordingHandler>();
  const auto second = std::make_shared<RecordingHandler>();
  {
    Exchange ended = pool.Start(answering.endpoint(), kRequest, {}, first);
    REQUIRE(RunUntil(answering.loop, [&] { return first->ends.size() == 1; }));
    CHECK_FALSE(ended.active());
    answering.answers = false;
    const Exchange next =
        pool.Start(answering.endpoint(), kRequest, {}, second);
    REQUIRE(answering.RunUntilRequests(2));
    ended.Abandon();
    CHECK(pool.GiveUp(ended) == 0);
    CHECK(next.active());
    answering.last().Write(std::string(kAnswerHead) + "good");
    REQUIRE(RunUntil(answering.loop, [&] { return second->ends.size() == 1; }));
  }
  CHECK(second->body == "good");
  CHECK(first->body == "good");
  CHECK(answering.server.connections.size() == 1);
}

TEST_CASE("An exchange avoids connections that are excluded") {
  AnsweringServer answering;
  HttpConnectionPool pool(answering.loop, {});
  const auto ask = [&](const ExchangeOptions& options) {
    const auto handler = std::make_shared<RecordingHandler>();
    Exchange exchange =
        pool.Start(answering.endpoint(), kRequest, options, handler);
    REQUIRE(
        RunUntil(answering.loop, [&] { return handler->ends.size() == 1; }));
    return exchange.connection()->number();
  };
  ExchangeOptions excluding;
  const auto handler = std::make_shared<RecordingHandler>();
  const Exchange first =
      pool.Start(answering.endpoint(), kRequest, {}, handler);
  REQUIRE(RunUntil(answering.loop, [&] { return handler->ends.size() == 1; }));
  excluding.excluded = {first.connection()};
  CHECK(ask(excluding) == 2);
  CHECK(ask(excluding) == 2);
  CHECK(pool.idle_count() == 2);
  ExchangeOptions own;
  own.own_connection = true;
  CHECK(ask(own) == 3);
  CHECK(pool.idle_count() == 2);
}

/// Drops its exchange within the head, or within the first part of the body.
struct DroppingHandler : RecordingHandler {
  explicit DroppingHandler(bool in_head) : drops_in_head(in_head) {}

  HeadDecision OnAnswerHead(const HttpHead& head) override {
    RecordingHandler::OnAnswerHead(head);
    if (drops_in_head) exchange.Abandon();
    return HeadDecision::kAccept;
  }
  void OnAnswerBody(std::string_view bytes) override {
    RecordingHandler::OnAnswerBody(bytes);
    exchange.Abandon();
  }

  bool drops_in_head;
  Exchange exchange;
};

/// Guards against parts of an answer that reach whoever has dropped it.
TEST_CASE("An exchange dropped within an answer hears no more of it") {
  const bool in_head = GENERATE(true, false);
  AnsweringServer answering;
  answering.answers = false;
  HttpConnectionPool pool(answering.loop, {});
  const auto handler = std::make_shared<DroppingHandler>(in_head);
  handler->exchange = pool.Start(answering.endpoint(), kRequest, {}, handler);
  REQUIRE(answering.RunUntilRequests(1));
  answering.last().Write(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n");
  REQUIRE(RunUntil(answering.loop,
                   [&] { return answering.last().closed_by_peer; }));
  CHECK(handler->heads == 1);
  CHECK(handler->body == (in_head ? "" : "one"));
  CHECK(handler->ends.empty());
  CHECK(pool.idle_count() == 0);
}

}  // namespace
}  // namespace yuccapick
