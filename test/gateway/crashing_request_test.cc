#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <memory>
#include <vector>

#include "test/gateway/crashing_deployment.h"

namespace yuccapick {
namespace {

using Connection = FakeUpstream::Connection;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr char kRoutes[] = R"([
 {"name":"look","host":"crew.example","prefix":"/look/","kind":"idempotent",
  "timeoutMs":1500,"targetLatencyMs":300,"service":"app","maxAttempts":2},
 {"name":"book","host":"crew.example","prefix":"/book/",
  "kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,
  "service":"app","maxAttempts":2}])";

/// When gateways must know the request.
constexpr CrashesToLearn kLearning{3, milliseconds(3'000), milliseconds(20)};
/// Times that the request may reach upstreams after that.
constexpr std::size_t kTolerated = 3;
/// An upstream that crashes as soon as it begins to run a request whose path
/// ends with `bad`, and restarts at once. It answers all other requests.
class CrashingApp {
 public:
  CrashingApp(GatewayFixture& fixture, const std::string& id)
      : fixture_(fixture),
        fake_(fixture.loop, id,
              [this](Connection& c, const ReceivedRequest& r) {
                OnRequest(c, r);
              }) {
    fixture_.RegisterRun(fake_, "app", born_);
  }

  std::size_t crashes() const { return crashes_; }
  /// While true, requests for `/look/hot` stay without an answer.
  void set_holding(bool holding) { holding_ = holding; }
  /// Loses power and starts again.
  void Crash() {
    for (const auto& c : fake_.server().connections) c->Close();
    fixture_.RegisterRun(fake_, "app", ++born_);
  }
  std::size_t held() const { return held_; }

 private:
  void OnRequest(Connection& connection, const ReceivedRequest& request) {
    if (request.path().ends_with("bad")) {
      ++crashes_;
      return Crash();
    }
    if (holding_ && request.path() == "/look/hot") {
      ++held_;
      return;
    }
    fake_.Answer(connection, request, 200, "yes");
  }

  GatewayFixture& fixture_;
  int born_ = 1;
  std::size_t crashes_ = 0;
  std::size_t held_ = 0;
  bool holding_ = false;
  FakeUpstream fake_;
};

/// Two gateways before a plain service of three upstreams.
class Deployment : public CrashingDeployment<CrashingApp> {
 public:
  Deployment() {
    fixture.store.RunClock();
    Start(3, kRoutes);
  }

  /// Sends a new attempt of the request.
  std::string Ask(bool at_peer, const std::string& method,
                  const std::string& path, const std::string& body = "") {
    const std::string request =
        CallerRequest(method, path, "", body, fmt::format("id-{}", ++attempts));
    return AskEither(at_peer, request);
  }

  /// Sends the request to both gateways until they must have learned.
  void RunWhileGatewaysLearn(const std::string& method,
                             const std::string& path) {
    CrashingDeployment::RunWhileGatewaysLearn(kLearning, [&] {
      Ask(false, method, path);
      Ask(true, method, path);
    });
  }

  int attempts = 0;
};

bool IsServed(const std::string& answer) {
  return answer.starts_with("HTTP/1.1 200");
}

}  // namespace

TEST_CASE("A request under which three upstreams ended reaches few more") {
  Deployment deployment;
  const std::string method = GENERATE("GET", "POST");
  const std::string path = method == "GET" ? "/look/bad" : "/book/bad";
  deployment.RunWhileGatewaysLearn(method, path);
  const std::size_t crashes = deployment.Crashes();
  const auto end = steady_clock::now() + milliseconds(3'000);
  while (steady_clock::now() < end) {
    for (const bool at_peer : {false, true}) {
      deployment.Ask(at_peer, method, path);
      // Another caller's request, and the same path with another body.
      CHECK(IsServed(deployment.Ask(at_peer, "GET", "/look/1")));
    }
    deployment.fixture.Run(kLearning.pause);
  }
  CHECK(IsRefusal(deployment.Ask(false, method, path)));
  CHECK(IsRefusal(deployment.Ask(true, method, path)));
  CHECK(deployment.Crashes() <= crashes + kTolerated);
}

TEST_CASE("A request under way when a whole service lost power is served") {
  Deployment deployment;
  std::vector<std::unique_ptr<FakeCaller>> callers;
  for (const auto& app : deployment.upstreams) app->set_holding(true);
  // A hot request runs at all upstreams.
  const auto held_everywhere = [&] {
    for (const auto& app : deployment.upstreams) {
      if (app->held() == 0) return false;
    }
    return true;
  };
  while (!held_everywhere()) {
    callers.push_back(std::make_unique<FakeCaller>(
        deployment.fixture.loop, deployment.fixture.settings.caller_endpoint));
    callers.back()->Send(CallerRequest("GET", "/look/hot", "", "",
                                       fmt::format("hot-{}", callers.size())));
    deployment.fixture.Run(milliseconds(5));
  }
  for (const auto& app : deployment.upstreams) app->Crash();
  callers.clear();
  for (const auto& app : deployment.upstreams) app->set_holding(false);
  // It is blocked for a moment, then one request is tried.
  const auto end = steady_clock::now() + milliseconds(6'000);
  bool served = false;
  while (!served && steady_clock::now() < end) {
    deployment.fixture.Run(kLearning.pause);
    served = IsServed(deployment.Ask(true, "GET", "/look/hot"));
  }
  CHECK(served);
  CHECK(IsServed(deployment.Ask(false, "GET", "/look/hot")));
}

}  // namespace yuccapick
