#include "test/gateway/ending_gateway.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>

#include "test/shell/test_address.h"

namespace yuccapick {
namespace {

using std::chrono::milliseconds;

constexpr char kInstance[] = "gateway-0";

std::string FreeEndpoint() {
  return fmt::format("{}:{}", TestHost(), NextTestPort());
}

}  // namespace

EndingGateway::EndingGateway(GatewayFixture& fixture)
    : fixture_(fixture), settings_(fixture.settings) {
  settings_.instance = InstanceId(kInstance);
  settings_.caller_endpoint = FreeEndpoint();
  settings_.ready_endpoint = FreeEndpoint();
  settings_.peer_port = NextTestPort();
  settings_.metrics_port = NextTestPort();
  process_ = std::make_unique<GatewayProcess>(loop_, settings_, Incarnation(1));
  REQUIRE(process_->Start().ok());
}

bool EndingGateway::RunUntilTrue(const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (!done()) {
    if (std::chrono::steady_clock::now() >= end) return false;
    loop_.run_one_for(milliseconds(1));
    fixture_.loop.run_one_for(milliseconds(1));
  }
  return true;
}

void EndingGateway::Unregister() {
  fixture_.store.Remove("yuccapick-gateways", kInstance);
}

}  // namespace yuccapick
