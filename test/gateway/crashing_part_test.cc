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
 {"name":"tell","host":"crew.example","prefix":"/tell/","kind":"streaming",
  "timeoutMs":8000,"targetLatencyMs":2000,"gapTargetMs":2000,
  "service":"engines","maxAttempts":2,"resumable":true,"sticky":true}])";

constexpr char kCrashingPart[] = "bad0";
constexpr char kBlockedPartsTable[] = "yuccapick-blocked-parts";
/// When gateways must know the part.
constexpr CrashesToLearn kLearning{5, milliseconds(3'000), milliseconds(10)};
/// Requests with the part that may reach engines after that.
constexpr std::size_t kTolerated = 3;
bool HasCrashingPart(const ReceivedRequest& request) {
  return request.Field("X-Prompt-Prefix").find(kCrashingPart) !=
         std::string::npos;
}

/// An engine that crashes as soon as it has begun an answer to a request with
/// `kCrashingPart`, and restarts at once. It answers all other requests.
class CrashingEngine {
 public:
  CrashingEngine(GatewayFixture& fixture, const std::string& id)
      : fixture_(fixture),
        fake_(fixture.loop, id,
              [this](Connection& c, const ReceivedRequest& r) {
                OnRequest(c, r);
              }) {
    fixture_.RegisterEngine(fake_, 1, born_);
  }

  std::size_t crashes() const { return crashes_; }

 private:
  void OnRequest(Connection& connection, const ReceivedRequest& request) {
    fake_.BeginStream(connection, request);
    if (!HasCrashingPart(request)) {
      connection.Write("11\r\nid: 1\ndata: yes\n\n\r\n0\r\n\r\n");
      return;
    }
    ++crashes_;
    for (const auto& c : fake_.server().connections) c->Close();
    fixture_.RegisterEngine(fake_, 1, ++born_);
  }

  GatewayFixture& fixture_;
  int born_ = 1;
  std::size_t crashes_ = 0;
  FakeUpstream fake_;
};

/// Two gateways before six engines.
class Deployment : public CrashingDeployment<CrashingEngine> {
 public:
  Deployment() { Start(6, kRoutes); }

  /// @return a new request with `kCrashingPart`
  std::string CrashingRequest() { return Request(kCrashingPart); }
  std::string AskCrashing(bool at_peer) {
    return AskEither(at_peer, CrashingRequest());
  }
  /// @return true if a request that shares the first part is answered
  bool IsSoundServed(bool at_peer) {
    return IsComplete(AskEither(at_peer, Request("b0")));
  }

  /// Sends requests of both kinds to both gateways until they must have
  /// learned.
  /// @return true if all sound requests were answered
  bool RunWhileGatewaysLearn() {
    bool sound = true;
    CrashingDeployment::RunWhileGatewaysLearn(kLearning, [&] {
      AskCrashing(false);
      AskCrashing(true);
      sound = IsSoundServed(false) && IsSoundServed(true) && sound;
    });
    return sound;
  }

  static bool IsComplete(const std::string& answer) {
    return answer.ends_with("data: yes\n\n\r\n0\r\n\r\n");
  }

 private:
  /// @return a request with the shared parts "a0" and `part`
  std::string Request(const std::string& part) {
    ++requests_;
    return CallerRequest("POST", "/tell/1",
                         fmt::format("X-Model: m\r\nX-Token-Count: 130,10\r\n"
                                     "X-Prompt-Prefix: a0:100,{}:20,c{}:10\r\n",
                                     part, requests_),
                         "", fmt::format("id-{}", requests_));
  }

  int requests_ = 0;
};

}  // namespace

TEST_CASE(
    "Requests with a part under which five engines crashed reach no more "
    "engines") {
  Deployment deployment;
  CHECK(deployment.RunWhileGatewaysLearn());
  const std::size_t crashes = deployment.Crashes();
  for (int i = 0; i < 20; ++i) {
    CHECK(IsRefusal(deployment.AskCrashing(i % 2 == 1)));
    CHECK(deployment.IsSoundServed(i % 2 == 1));
  }
  CHECK(deployment.Crashes() <= crashes + kTolerated);
}

TEST_CASE("A gateway that starts later refuses a blocked part at once") {
  Deployment deployment;
  REQUIRE(deployment.RunWhileGatewaysLearn());
  const std::size_t crashes = deployment.Crashes();
  deployment.fixture.StartLate();
  REQUIRE(deployment.fixture.AwaitListed(6));
  CHECK(IsRefusal(deployment.fixture.AskLate(deployment.CrashingRequest())));
  CHECK(deployment.Crashes() == crashes);
}

TEST_CASE("Gateways block a crashing part while the store is away") {
  Deployment deployment;
  deployment.fixture.store.set_up(false);
  REQUIRE(deployment.RunWhileGatewaysLearn());
  CHECK(IsRefusal(deployment.AskCrashing(false)));
  CHECK(IsRefusal(deployment.AskCrashing(true)));
}

TEST_CASE("A block ends when its row is removed") {
  Deployment deployment;
  REQUIRE(deployment.RunWhileGatewaysLearn());
  const std::size_t crashes = deployment.Crashes();
  const std::string key = fmt::format("{:016x}", PartIdOf(kCrashingPart).value);
  REQUIRE(deployment.fixture.store.Has(kBlockedPartsTable, key));
  deployment.fixture.store.Remove(kBlockedPartsTable, key);
  CHECK(deployment.fixture.RunUntilTrue([&] {
    deployment.AskCrashing(false);
    return deployment.Crashes() > crashes;
  }));
}

TEST_CASE("An engine that sends invalid answers does not count as crashed") {
  GatewayFixture fixture;
  std::vector<std::unique_ptr<FakeUpstream>> engines;
  std::size_t received = 0;
  fixture.PutConfig(1, kRoutes);
  for (int i = 1; i <= 4; ++i) {
    engines.push_back(std::make_unique<FakeUpstream>(
        fixture.loop, fmt::format("e{}", i),
        [&received](Connection& c, const ReceivedRequest&) {
          ++received;
          c.Write("no answer\r\n\r\n");
        }));
    fixture.RegisterEngine(*engines.back(), 1);
  }
  fixture.Start();
  REQUIRE(fixture.AwaitListed(engines.size()));
  const auto end = steady_clock::now() + kLearning.time;
  std::size_t sent = 0;
  while (steady_clock::now() < end) {
    fixture.Ask(CallerRequest("POST", "/tell/1",
                              "X-Model: m\r\nX-Token-Count: 130,10\r\n"
                              "X-Prompt-Prefix: a0:100,c0:10\r\n",
                              "", fmt::format("id-{}", ++sent)));
    const auto next = steady_clock::now() + kLearning.pause;
    fixture.RunUntilTrue([next] { return steady_clock::now() >= next; });
  }
  CHECK(received >= sent);
}

}  // namespace yuccapick
