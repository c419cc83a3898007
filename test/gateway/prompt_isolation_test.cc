#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using Connection = FakeUpstream::Connection;

/// Prompts on routes of every kind. "bare" is a service whose upstreams name no
/// weights.
constexpr char kConfig[] = R"({"version":1,
 "services":[{"name":"engines","maxConns":100,"engine":{"slots":4}},
             {"name":"bare","maxConns":100}],
 "tenants":[{"name":"moor","apiKeys":["key-moor"],"isolated":true},
            {"name":"fen","apiKeys":["key-fen"]},
            {"name":"dale","apiKeys":["key-dale"]}],
 "routes":[
 {"name":"tell","host":"crew.example","prefix":"/tell/","kind":"streaming",
  "timeoutMs":3000,"targetLatencyMs":300,"gapTargetMs":300,"sticky":true,
  "service":"engines","maxAttempts":2,"resumable":true},
 {"name":"sum","host":"crew.example","prefix":"/sum/","kind":"idempotent",
  "timeoutMs":3000,"targetLatencyMs":300,"service":"engines","sticky":true},
 {"name":"note","host":"crew.example","prefix":"/note/",
  "kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":300,
  "service":"engines","sticky":true},
 {"name":"plain","host":"crew.example","prefix":"/plain/","kind":"idempotent",
  "timeoutMs":3000,"targetLatencyMs":300,"service":"engines"},
 {"name":"bare","host":"crew.example","prefix":"/bare/","kind":"idempotent",
  "timeoutMs":3000,"targetLatencyMs":300,"service":"bare"}]})";

std::string Prompt(const std::string& path, const std::string& key,
                   const std::string& attempt_id) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: crew.example\r\nX-Attempt-Id: {}\r\n"
      "X-Key: {}\r\nX-Model: m\r\nX-Token-Count: 900,10\r\n"
      "X-Prompt-Prefix: a1:800,c{}:100\r\nX-Cache-Salt: forged\r\n\r\n",
      path, attempt_id, key, attempt_id);
}

struct PromptUpstreams {
  PromptUpstreams()
      : engine(fixture.loop, "engine",
               [this](Connection& c, const ReceivedRequest& r) {
                 engine.Answer(c, r, 200, "id: 1\ndata: x\n\n",
                               "Content-Type: text/event-stream\r\n");
               }),
        bare(fixture.loop, "bare-1",
             [this](Connection& c, const ReceivedRequest& r) {
               bare.Answer(c, r, 200, "x");
             }) {
    fixture.store.Put("op", "config", kConfig);
    fixture.RegisterEngine(engine, 3);
    fixture.Register(bare, "bare");
    fixture.Start();
    REQUIRE(fixture.AwaitListed(2));
  }

  /// @return the request as the upstream received it
  ReceivedRequest Send(const std::string& path, const std::string& key) {
    const std::string id = fmt::format("1{:x}", ++requests);
    CHECK(fixture.Ask(Prompt(path, key, id)).starts_with("HTTP/1.1 200"));
    return path == "/bare/" ? bare.received().back() : engine.received().back();
  }

  GatewayFixture fixture;
  FakeUpstream engine;
  FakeUpstream bare;
  int requests = 0;
};

/// Guards against teams that share cached parts on routes that aren't streams.
TEST_CASE("An isolated team's prompts have a cache scope of their own") {
  const std::string path =
      GENERATE("/tell/", "/sum/", "/note/", "/plain/", "/bare/");
  CAPTURE(path);
  PromptUpstreams upstreams;
  std::set<std::string> scopes;
  for (const char* key : {"key-moor", "key-fen", "key-dale"}) {
    const std::string scope = upstreams.Send(path, key).Field("X-Cache-Salt");
    CHECK_FALSE(scope.empty());
    CHECK(scope != "forged");
    scopes.insert(scope);
  }
  // The two teams that aren't isolated share theirs.
  CHECK(scopes.size() == 2);
}

/// Guards against prompts that begin on other weights than their scope names.
TEST_CASE("A prompt names the weights that the engine must have") {
  const std::string path = GENERATE("/tell/", "/sum/", "/note/", "/plain/");
  CAPTURE(path);
  PromptUpstreams upstreams;
  const ReceivedRequest received = upstreams.Send(path, "key-fen");
  CHECK(received.Field("X-Expect-Version") == "3");
  CHECK_FALSE(received.Field("X-Request-Urgency").empty());
}

}  // namespace
}  // namespace yuccapick
