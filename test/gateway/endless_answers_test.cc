#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>

#include "platform/names.h"
#include "test/gateway/caller_crowd.h"
#include "test/gateway/endless_server.h"
#include "test/gateway/gateway_child.h"
#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kMegabyte = 1'048'576;
/// Memory and descriptors in the gateway's settings; it must stay within them.
constexpr std::size_t kMemoryBytes = 32 * kMegabyte;
constexpr std::size_t kMaxFds = 600;
constexpr std::size_t kCallers = 60;
constexpr int kEngines = 12;
constexpr std::size_t kPieceBytes = 16'384;
constexpr milliseconds kFaultyTime{5'000};
constexpr milliseconds kRetryDelay{200};

const std::string kPiece(kPieceBytes, 'x');

Json Row(const std::string& service, const std::string& endpoint) {
  return Json{{"service", service}, {"address", endpoint},
              {"zone", "here"},     {"version", "v1"},
              {"slots", 64},        {"state", "ready"},
              {"sequence", 0},      {"born", 1}};
}

/// The head of an answer to the request, from an upstream of that id.
std::string Head(const ReceivedRequest& request, const std::string& fields) {
  return fmt::format(
      "HTTP/1.1 200 X\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s\r\n{}",
      request.Field("X-Attempt-Id"), fields);
}

std::string Repeated(const std::string& text) {
  std::string piece;
  while (piece.size() < kPieceBytes) piece += text;
  return piece;
}

/// A gateway process with a sound upstream and faulty ones, which all share one
/// address.
class GatewayBesideFaulty {
 public:
  explicit GatewayBesideFaulty(EndlessServer::Script script)
      : sound_(fixture_.loop, "sound",
               [this](FakeUpstream::Connection& c, const ReceivedRequest& r) {
                 sound_.Answer(c, r, 200, "ok");
               }),
        faulty_(fixture_.loop, std::move(script)) {
    fixture_.settings.memory_bytes = kMemoryBytes;
    PutConfig();
    fixture_.store.Put("servers", "sound",
                       Row("app", sound_.endpoint()).dump());
    fixture_.store.Put("servers", "faulty",
                       Row("faulty", faulty_.endpoint()).dump());
    for (int i = 0; i < kEngines; ++i) {
      Json row = Row("engines", faulty_.endpoint());
      row["models"] = {{{"name", "m"}, {"version", 1}}};
      fixture_.store.Put("servers", fmt::format("engine-{}", i), row.dump());
    }
    child_ = std::make_unique<GatewayChild>(fixture_.settings, kMaxFds);
    REQUIRE(fixture_.RunUntilTrue([this] { return IsListening(); }));
    REQUIRE(fixture_.AwaitListed(kEngines + 2));
  }

  /// Sends requests for `path` from many callers, and checks the gateway.
  void CheckRequests(const std::string& path) {
    CallerScript script;
    script.piece = [path, ids = std::make_shared<int>(0)](std::size_t n) {
      if (n > 0) return std::string();
      return CallerRequest("POST", path,
                           "X-Model: m\r\nX-Token-Count: 10,10\r\n"
                           "Content-Length: 0\r\n",
                           "", fmt::format("crowd-{}", ++*ids));
    };
    const CallerCrowd crowd(fixture_.loop, fixture_.settings.caller_endpoint,
                            kCallers, script);
    fixture_.Run(kFaultyTime);
    Check();
  }
  /// Lets the gateway call the engines by itself, and checks it.
  void CheckOwnCalls() {
    fixture_.PutTargetWeights(2);
    fixture_.Run(kFaultyTime);
    Check();
  }

 private:
  void PutConfig() {
    Json routes = Json::array();
    for (const std::string name : {"app", "faulty"}) {
      routes.push_back(Json{{"name", name},
                            {"host", "crew.example"},
                            {"prefix", "/" + name + "/"},
                            {"kind", "non_idempotent"},
                            {"timeoutMs", 3'000},
                            {"targetLatencyMs", 300},
                            {"service", name},
                            {"maxAttempts", 1}});
    }
    routes.push_back(Json{{"name", "tell"},
                          {"host", "crew.example"},
                          {"prefix", "/tell/"},
                          {"kind", "streaming"},
                          {"timeoutMs", 10'000},
                          {"targetLatencyMs", 3'000},
                          {"gapTargetMs", 3'000},
                          {"service", "engines"},
                          {"maxAttempts", 2},
                          {"resumable", true}});
    const Json engine{{"slots", 64},
                      {"kvCapacityTokens", 100'000},
                      {"maxInflight", 12},
                      {"models", {{{"name", "m"}}}}};
    const Json config{
        {"version", 1},
        {"routes", routes},
        {"services",
         {{{"name", "app"}, {"maxConns", 1'000}},
          {{"name", "faulty"}, {"maxConns", 1'000}},
          {{"name", "engines"}, {"maxConns", 1'000}, {"engine", engine}}}},
        {"tenants", {{{"name", "moor"}, {"apiKeys", {"key-moor"}}}}}};
    fixture_.store.Put("op", "config", config.dump());
  }

  void Check() {
    REQUIRE(child_->Lives());
    WARN(fmt::format("peak memory {} of {} bytes, {} answers without end",
                     child_->PeakMemory(), kMemoryBytes, faulty_.answers()));
    CHECK(faulty_.answers() > 0);
    CHECK(child_->PeakMemory() <= kMemoryBytes);
    CHECK(child_->OpenDescriptors() <= kMaxFds);
    CHECK(AnswersOrdinaryRequest());
  }

  bool IsListening() {
    if (!child_->Lives()) return true;
    asio::error_code ec;
    asio::ip::tcp::socket socket(fixture_.loop);
    socket.connect(ParseEndpoint(fixture_.settings.ready_endpoint), ec);
    if (ec) fixture_.Run(milliseconds(20));
    return !ec && fixture_.IsReady();
  }

  bool AnswersOrdinaryRequest() {
    for (int i = 0; i < 50; ++i) {
      const std::string answer = fixture_.Ask(CallerRequest(
          "POST", "/app/1", "", "short", fmt::format("ordinary-{}", i)));
      if (answer.starts_with("HTTP/1.1 200")) return true;
      fixture_.Run(kRetryDelay);
    }
    return false;
  }

  GatewayFixture fixture_;
  FakeUpstream sound_;
  EndlessServer faulty_;
  std::unique_ptr<GatewayChild> child_;
};

TEST_CASE("Memory: answers whose heads don't end", "[caller_load]") {
  GatewayBesideFaulty gateway([](const ReceivedRequest& r) {
    return EndlessAnswer{Head(r, "X-Note: "), kPiece};
  });
  gateway.CheckRequests("/faulty/1");
}

TEST_CASE("Memory: answers with short fields without end", "[caller_load]") {
  GatewayBesideFaulty gateway([](const ReceivedRequest& r) {
    return EndlessAnswer{Head(r, ""), Repeated("a:\r\n")};
  });
  gateway.CheckRequests("/faulty/1");
}

TEST_CASE("Memory: interim answers without end", "[caller_load]") {
  GatewayBesideFaulty gateway([](const ReceivedRequest&) {
    const std::string interim = Repeated("HTTP/1.1 102 X\r\n\r\n");
    return EndlessAnswer{interim, interim};
  });
  gateway.CheckRequests("/faulty/1");
}

TEST_CASE("Memory: bytes that are no answer", "[caller_load]") {
  GatewayBesideFaulty gateway([](const ReceivedRequest&) {
    return EndlessAnswer{kPiece, kPiece};
  });
  gateway.CheckRequests("/faulty/1");
}

TEST_CASE("Memory: bodies that don't end", "[caller_load]") {
  const std::string fields =
      GENERATE("\r\n", "Content-Length: 4000000000\r\n\r\n");
  GatewayBesideFaulty gateway([fields](const ReceivedRequest& r) {
    return EndlessAnswer{Head(r, fields), kPiece};
  });
  gateway.CheckRequests("/faulty/1");
}

TEST_CASE("Memory: chunks that don't end", "[caller_load]") {
  GatewayBesideFaulty gateway([](const ReceivedRequest& r) {
    return EndlessAnswer{Head(r, "Transfer-Encoding: chunked\r\n\r\n"),
                         fmt::format("{:x}\r\n{}\r\n", kPieceBytes, kPiece)};
  });
  gateway.CheckRequests("/faulty/1");
}

TEST_CASE("Memory: events that don't end", "[caller_load]") {
  GatewayBesideFaulty gateway([](const ReceivedRequest& r) {
    return EndlessAnswer{
        Head(r, "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: "),
        kPiece};
  });
  gateway.CheckRequests("/tell/1");
}

TEST_CASE("Memory: answers to own calls that don't end", "[caller_load]") {
  GatewayBesideFaulty gateway([](const ReceivedRequest&) {
    return EndlessAnswer{"HTTP/1.1 200 X\r\n\r\n[", kPiece};
  });
  gateway.CheckOwnCalls();
}

}  // namespace
}  // namespace yuccapick
