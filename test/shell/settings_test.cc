#include "shell/settings.h"

#include <catch2/catch.hpp>

namespace yuccapick {
namespace {

constexpr char kValidSettings[] = R"([process]
instance = "router-1"
failure_domain = "east"
secret = "s"
drain_deadline_ms = 500
[router.listen]
port = 8080
[agent]
kind = "plain_service"
services = ["bookings"]
)";

constexpr char kInvalidSettings[] = R"([process]
instance = 7
failure_domain = "east"
secret = "s"
[router.listen]
prot = 8080
[agent]
kind = "printer"
)";

TEST_CASE("Settings are parsed into typed values") {
  const auto settings = ParseSettings(kValidSettings, "a.toml");
  REQUIRE(settings.ok());
  CHECK(settings->instance == InstanceId("router-1"));
  CHECK(settings->drain_deadline == std::chrono::milliseconds(500));
  CHECK(settings->router.listen.port == 8080);
  CHECK(settings->agent.kind == UpstreamKind::kPlainService);
  CHECK(settings->agent.services == std::vector{ServiceId("bookings")});
}

TEST_CASE("An empty list of services is parsed as empty") {
  std::string text = kValidSettings;
  text.replace(text.find("[\"bookings\"]"), 12, "[]");
  const auto settings = ParseSettings(text, "a.toml");
  REQUIRE(settings.ok());
  CHECK(settings->agent.services.empty());
}

TEST_CASE("All errors of a settings file are reported at once") {
  const auto settings = ParseSettings(kInvalidSettings, "a.toml");
  REQUIRE_FALSE(settings.ok());
  const std::string text(settings.status().message());
  CHECK(text.find("a.toml:2: 'process.instance' must be a string") !=
        std::string::npos);
  CHECK(text.find("a.toml:6: unknown key 'router.listen.prot'") !=
        std::string::npos);
  CHECK(text.find("'printer' is no kind of upstream") != std::string::npos);
}

TEST_CASE("A TOML syntax error is reported with its line") {
  const auto settings = ParseSettings("[process]\nx = = 1\n", "a.toml");
  REQUIRE_FALSE(settings.ok());
  CHECK(std::string(settings.status().message()).rfind("a.toml:2:", 0) == 0);
}

}  // namespace
}  // namespace yuccapick
