#ifndef YUCCAPICK_TEST_GATEWAY_CRASHING_DEPLOYMENT_H_
#define YUCCAPICK_TEST_GATEWAY_CRASHING_DEPLOYMENT_H_

/// @file
/// Two gateways before upstreams that crash on certain requests.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "test/gateway/gateway_fixture.h"

namespace yuccapick {

/// An upstream of the tests that counts its crashes.
template <typename T>
concept CrashingUpstream = requires(const T& v) {
  v.crashes();
};

/// How long gateways may take to learn on what upstreams crash.
struct CrashesToLearn {
  std::size_t crashes = 0;
  /// After these crashes.
  std::chrono::milliseconds time{0};
  /// Between the requests of a test, at least.
  std::chrono::milliseconds pause{0};
};

/// @tparam Upstream made from a `GatewayFixture` and an id
template <CrashingUpstream Upstream>
class CrashingDeployment {
 public:
  /// Starts two gateways before `n` upstreams.
  void Start(int n, const std::string& routes) {
    fixture.PutConfig(1, routes);
    for (int i = 1; i <= n; ++i) {
      upstreams.push_back(
          std::make_unique<Upstream>(fixture, fmt::format("up{}", i)));
    }
    fixture.Start();
    fixture.StartPeer();
    REQUIRE(fixture.AwaitListed(upstreams.size()));
  }

  std::size_t Crashes() const {
    std::size_t n = 0;
    for (const auto& upstream : upstreams) n += upstream->crashes();
    return n;
  }

  std::string AskEither(bool at_peer, const std::string& request) {
    return at_peer ? fixture.AskPeer(request) : fixture.Ask(request);
  }

  /// Calls `ask` until some time after so many crashes.
  void RunWhileGatewaysLearn(const CrashesToLearn& limit,
                             const std::function<void()>& ask) {
    using std::chrono::steady_clock;
    std::optional<steady_clock::time_point> end;
    while (!end || steady_clock::now() < *end) {
      ask();
      if (!end && Crashes() >= limit.crashes) {
        end = steady_clock::now() + limit.time;
      }
      fixture.Run(limit.pause);
    }
  }

  GatewayFixture fixture;
  std::vector<std::unique_ptr<Upstream>> upstreams;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_GATEWAY_CRASHING_DEPLOYMENT_H_
