#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <variant>

#include "util/detail/capacity_samples.h"
#include "yuccapick/router_core.h"

namespace yuccapick {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::size_t kTeams = 2;

ConfigPtr LimitedConfig(std::uint32_t limit) {
  auto config = std::make_shared<ConfigSnapshot>(*SampleConfig(kTeams));
  for (ServiceConfig& service : config->services) {
    service.max_concurrency = limit;
  }
  return config;
}

std::optional<Error> FindRefusal(const RouterActions& actions) {
  for (const RouterAction& action : actions) {
    if (const auto* fail = std::get_if<FailRequest>(&action)) {
      return fail->error;
    }
  }
  return std::nullopt;
}

TEST_CASE(
    "A request over the concurrency limit is rejected until another ends") {
  RouterCore router({InstanceId("r1"), Incarnation(1), {}, {}, 1});
  router.Handle(ConfigChanged{LimitedConfig(2)}, kStart);
  router.Handle(UpstreamChanged{SampleEngine(1)}, kStart);
  const auto arrive = [&router](std::uint64_t id) {
    return FindRefusal(
        router.Handle(RequestArrived{SampleRequest(id, kTeams)}, kStart));
  };
  CHECK_FALSE(arrive(1).has_value());
  CHECK_FALSE(arrive(2).has_value());
  const std::optional<Error> error = arrive(3);
  REQUIRE(error.has_value());
  CHECK(error->kind == ErrorKind::kOverloaded);
  CHECK(error->execution == Execution::kNotRun);
  CHECK(error->retry_after.has_value());
  router.Handle(CallerDisconnected{RequestId(1)}, kStart);
  CHECK_FALSE(arrive(4).has_value());
  CHECK(arrive(5).has_value());
}

}  // namespace
}  // namespace yuccapick
