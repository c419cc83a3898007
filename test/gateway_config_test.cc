#include "yuccapick/gateway_config.h"

#include <catch2/catch.hpp>

#include "yuccapick/gateway_admission.h"

namespace yuccapick {
namespace {

GatewayRoute Route(std::string name, std::string prefix) {
  GatewayRoute route;
  route.name = std::move(name);
  route.host = "crew.example";
  route.prefix = std::move(prefix);
  route.targets = {{ServiceId("crew-app"), 1.0}};
  return route;
}

GatewayTeam Team(std::string name, std::string key, bool isolated) {
  GatewayTeam team;
  team.id = TeamId(std::move(name));
  team.keys = {std::move(key)};
  team.isolated = isolated;
  return team;
}

GatewayConfig Example() {
  GatewayRoute open = Route("open", "/open/");
  open.anonymous = true;
  return GatewayConfig(
      ConfigVersion(3), {Route("all", "/a/"), Route("inner", "/a/b/"), open},
      {}, AccessControl::kApiKeys,
      {Team("moor", "key-moor", false), Team("fen", "key-fen", true)}, {});
}

AdmissionRefusal RefusalOf(const GatewayConfig* config, bool confirmed,
                           const AdmissionQuery& query) {
  return std::get<AdmissionRefusal>(AdmitToRoute(config, confirmed, query));
}

TEST_CASE("The longest prefix of a host selects the route") {
  const GatewayConfig config = Example();
  CHECK(config.FindRoute("crew.example", "/a/b/c")->name == "inner");
  CHECK(config.FindRoute("crew.example", "/a/x")->name == "all");
  CHECK(config.FindRoute("crew.example", "/a") == nullptr);
  CHECK(config.FindRoute("other.example", "/a/b/c") == nullptr);
}

TEST_CASE("The longest resumable stream is that of any route") {
  GatewayRoute shorter = Route("shorter", "/s/");
  shorter.resumable = true;
  shorter.timeout = std::chrono::milliseconds(9'000);
  GatewayRoute longer = Route("longer", "/l/");
  longer.resumable = true;
  longer.timeout = std::chrono::milliseconds(90'000);
  GatewayRoute other = Route("other", "/o/");
  other.timeout = std::chrono::milliseconds(900'000);
  const GatewayConfig config(ConfigVersion(1), {shorter, longer, other}, {},
                             AccessControl::kNone, {}, {});
  CHECK(config.LongestStreamTime() == longer.timeout);
  CHECK(GatewayConfig().LongestStreamTime() == std::chrono::milliseconds(0));
}

TEST_CASE("A key selects its team, and an anonymous route requires none") {
  const GatewayConfig config = Example();
  const auto permit = std::get<AdmittedRoute>(
      AdmitToRoute(&config, true, {"crew.example", "/a/x?q=1", "key-moor"}));
  CHECK(permit.route->name == "all");
  CHECK(permit.team->id == TeamId("moor"));
  const auto open = std::get<AdmittedRoute>(
      AdmitToRoute(&config, true, {"crew.example", "/open/x", ""}));
  CHECK(open.team == nullptr);
}

TEST_CASE("Unknown routes and unknown keys get different refusals") {
  const GatewayConfig config = Example();
  CHECK(RefusalOf(&config, true, {"crew.example", "/none/", "key-moor"}) ==
        AdmissionRefusal::kUnknownRoute);
  CHECK(RefusalOf(&config, true, {"crew.example", "/a/x", "no-key"}) ==
        AdmissionRefusal::kUnknownKey);
  CHECK(RefusalOf(&config, true, {"crew.example", "/a/x", ""}) ==
        AdmissionRefusal::kUnknownKey);
}

/// Guards against a configuration whose last team is gone that admits everyone.
TEST_CASE("Without any team left nobody is admitted but to anonymous routes") {
  GatewayRoute open = Route("open", "/open/");
  open.anonymous = true;
  const GatewayConfig config(ConfigVersion(5), {Route("all", "/a/"), open}, {},
                             AccessControl::kApiKeys, {}, {});
  for (const char* key : {"", "key-moor", "no-key"}) {
    CHECK(RefusalOf(&config, true, {"crew.example", "/a/x", key}) ==
          AdmissionRefusal::kUnknownKey);
    CHECK(std::holds_alternative<AdmittedRoute>(
        AdmitToRoute(&config, true, {"crew.example", "/open/x", key})));
  }
}

TEST_CASE("Without access control every caller is admitted") {
  const GatewayConfig config(ConfigVersion(5), {Route("all", "/a/")}, {},
                             AccessControl::kNone, {}, {});
  CHECK(std::holds_alternative<AdmittedRoute>(
      AdmitToRoute(&config, true, {"crew.example", "/a/x", ""})));
}

TEST_CASE(
    "Without a confirmed configuration requests are refused for that reason") {
  const GatewayConfig config = Example();
  CHECK(RefusalOf(nullptr, true, {"crew.example", "/a/x", "key-moor"}) ==
        AdmissionRefusal::kNoConfig);
  CHECK(RefusalOf(&config, false, {"crew.example", "/none/", "key-moor"}) ==
        AdmissionRefusal::kNoConfig);
  CHECK(RefusalOf(&config, false, {"crew.example", "/a/x", "no-key"}) ==
        AdmissionRefusal::kNoConfig);
}

TEST_CASE(
    "Cache scopes differ between weight versions and for isolated teams") {
  const GatewayConfig config = Example();
  const GatewayTeam* moor = config.FindTeam("key-moor");
  const GatewayTeam* fen = config.FindTeam("key-fen");
  CHECK(config.CacheScopeOf(moor, 1) == config.CacheScopeOf(nullptr, 1));
  CHECK(config.CacheScopeOf(moor, 1) != config.CacheScopeOf(moor, 2));
  CHECK(config.CacheScopeOf(fen, 1) != config.CacheScopeOf(moor, 1));
}

TEST_CASE(
    "After a team becomes isolated, other teams do not share its earlier "
    "entries") {
  const GatewayConfig before = Example();
  const GatewayConfig after(
      ConfigVersion(4), {}, {}, AccessControl::kApiKeys,
      {Team("moor", "key-moor", true), Team("fen", "key-fen", true),
       Team("dale", "key-dale", false)},
      {});
  CHECK(before.CacheScopeOf(before.FindTeam("key-moor"), 1) !=
        after.CacheScopeOf(after.FindTeam("key-dale"), 1));
}

}  // namespace
}  // namespace yuccapick
