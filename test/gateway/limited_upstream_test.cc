#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <vector>

#include "test/gateway/gateway_fixture.h"

namespace yuccapick {
namespace {

using Connection = FakeUpstream::Connection;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr char kRoutes[] = R"([
 {"name":"look","host":"crew.example","prefix":"/look/","kind":"idempotent",
  "timeoutMs":3000,"targetLatencyMs":300,"service":"app","maxAttempts":2}])";

constexpr double kLimit = 1.5;
constexpr milliseconds kWindow{4'000};
/// Requests that an upstream with `kLimit` may get in `kWindow`.
constexpr std::size_t kAllowed = 14;
/// Time within which gateways must keep a new limit together.
constexpr milliseconds kTimeToLearn{3'000};
/// Pause between the requests of a test, at least.
constexpr milliseconds kPause{10};

/// An upstream that answers at once, and names a limit if it has one.
class LimitedUpstream {
 public:
  LimitedUpstream(GatewayFixture& fixture, const std::string& id)
      : fake_(fixture.loop, id,
              [this](Connection& c, const ReceivedRequest& r) {
                arrivals_.push_back(steady_clock::now());
                fake_.Answer(c, r, 200, "yes", Fields());
              }) {
    fixture.Register(fake_, "app");
  }

  void set_limit(std::optional<double> per_second) { limit_ = per_second; }

  /// @return the most requests that arrived in `kWindow`, from `from` on
  std::size_t Most(steady_clock::time_point from) const {
    std::size_t most = 0;
    for (auto it = arrivals_.begin(); it != arrivals_.end(); ++it) {
      if (*it < from) continue;
      const auto end = std::lower_bound(it, arrivals_.end(), *it + kWindow);
      most = std::max(most, static_cast<std::size_t>(end - it));
    }
    return most;
  }
  std::size_t ArrivedSince(steady_clock::time_point from) const {
    const auto it = std::lower_bound(arrivals_.begin(), arrivals_.end(), from);
    return static_cast<std::size_t>(arrivals_.end() - it);
  }

 private:
  std::string Fields() const {
    return limit_ ? fmt::format("Server-Limit: {}\r\n", *limit_) : "";
  }

  FakeUpstream fake_;
  std::optional<double> limit_;
  std::vector<steady_clock::time_point> arrivals_;
};

/// Two gateways before three upstreams.
class Deployment {
 public:
  Deployment() {
    fixture.PutConfig(1, kRoutes);
    for (const char* id : {"u1", "u2", "u3"}) {
      upstreams_.push_back(std::make_unique<LimitedUpstream>(fixture, id));
    }
    fixture.Start();
    fixture.StartPeer();
    REQUIRE(fixture.AwaitListed(upstreams_.size()));
  }

  LimitedUpstream& upstream(std::size_t n) { return *upstreams_[n]; }

  /// Sends requests to both gateways.
  /// @return the number of requests that were not answered by an upstream
  std::size_t Run(milliseconds time) {
    std::size_t refused = 0;
    const auto end = steady_clock::now() + time;
    while (steady_clock::now() < end) {
      if (!IsServed(fixture.Ask(Request()))) ++refused;
      if (!IsServed(fixture.AskPeer(Request()))) ++refused;
      const auto next = steady_clock::now() + kPause;
      fixture.RunUntilTrue([next] { return steady_clock::now() >= next; });
    }
    return refused;
  }

  std::string Request() {
    return CallerRequest("GET", "/look/1", "", "",
                         fmt::format("id-{}", ++requests_));
  }
  static bool IsServed(const std::string& answer) {
    return answer.starts_with("HTTP/1.1 200");
  }

  GatewayFixture fixture;

 private:
  std::vector<std::unique_ptr<LimitedUpstream>> upstreams_;
  int requests_ = 0;
};

}  // namespace

TEST_CASE(
    "An upstream that names a limit gets no more from all gateways together") {
  Deployment deployment;
  deployment.Run(milliseconds(500));
  deployment.upstream(0).set_limit(kLimit);
  const auto in_force = steady_clock::now() + kTimeToLearn;
  CHECK(deployment.Run(kTimeToLearn + kWindow) == 0);
  CHECK(deployment.upstream(0).Most(in_force) <= kAllowed);
  CHECK(deployment.upstream(0).ArrivedSince(in_force) >= 2);
}

TEST_CASE("Requests are refused at once if all upstreams are at their limits") {
  Deployment deployment;
  for (std::size_t n = 0; n < 3; ++n) deployment.upstream(n).set_limit(1.0);
  deployment.Run(milliseconds(500));
  const auto from = steady_clock::now();
  CHECK(deployment.Run(milliseconds(2'000)) > 0);
  for (std::size_t n = 0; n < 3; ++n) {
    CHECK(deployment.upstream(n).ArrivedSince(from) <= 4);
  }
  std::string answer;
  CHECK(deployment.fixture.RunUntilTrue([&] {
    answer = deployment.fixture.Ask(deployment.Request());
    return !Deployment::IsServed(answer);
  }));
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(answer.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("An upstream that names its limit no more gets requests as before") {
  Deployment deployment;
  deployment.upstream(0).set_limit(kLimit);
  deployment.Run(milliseconds(1'000));
  deployment.upstream(0).set_limit(std::nullopt);
  deployment.Run(milliseconds(2'000));
  const auto from = steady_clock::now();
  CHECK(deployment.Run(milliseconds(1'000)) == 0);
  CHECK(deployment.upstream(0).ArrivedSince(from) > 5);
}

}  // namespace yuccapick
