#include <catch2/catch.hpp>
#include <string>

#include "platform/operator_rows.h"
#include "yuccapick/gateway_admission.h"

namespace yuccapick {
namespace {

/// @param fields further fields of the configuration
absl::StatusOr<GatewayConfigPtr> Decode(const std::string& fields,
                                        const std::string& route_fields = "") {
  return platform::DecodeConfig(
      R"({"version":7,"services":[],"routes":[{"name":"r","host":"h",)" +
      route_fields + R"("prefix":"/a/","kind":"idempotent","service":"s"}])" +
      fields + "}");
}

bool Admits(const GatewayConfigPtr& config, const std::string& key) {
  return std::holds_alternative<AdmittedRoute>(
      AdmitToRoute(config.get(), true, {"h", "/a/x", key}));
}

/// Guards against keys that open every route once the last team is removed.
TEST_CASE("A configuration with an empty list of teams admits nobody") {
  const auto config = Decode(R"(,"tenants":[])");
  REQUIRE(config.ok());
  CHECK((*config)->access() == AccessControl::kApiKeys);
  CHECK_FALSE(Admits(*config, ""));
  CHECK_FALSE(Admits(*config, "key"));
}

TEST_CASE("A configuration without a list of teams requires no key") {
  const auto config = Decode("");
  REQUIRE(config.ok());
  CHECK(Admits(*config, ""));
}

TEST_CASE("A team without keys admits nobody, and others keep theirs") {
  for (const std::string& keys :
       {std::string(), std::string(R"(,"apiKeys":null)"),
        std::string(R"(,"apiKeys":[])")}) {
    CAPTURE(keys);
    const auto config = Decode(R"(,"tenants":[{"name":"moor")" + keys +
                               R"(},{"name":"fen","apiKeys":["key-fen"]}])");
    REQUIRE(config.ok());
    CHECK_FALSE(Admits(*config, ""));
    CHECK_FALSE(Admits(*config, "key-moor"));
    CHECK(Admits(*config, "key-fen"));
  }
}

TEST_CASE("A configuration whose access control can't be read is rejected") {
  for (const std::string& fields :
       {R"(,"tenants":null)", R"(,"tenants":{})", R"(,"tenants":"moor")",
        R"(,"tenants":[7])", R"(,"tenants":[{"apiKeys":["k"]}])",
        R"(,"tenants":[{"name":"moor","apiKeys":"k"}])",
        R"(,"tenants":[{"name":"moor","apiKeys":[7]}])",
        R"(,"tenants":[{"name":"moor","apiKeys":[],"isolated":null}])",
        R"(,"tenants":[{"name":"moor","apiKeys":[],"isolated":"yes"}])"}) {
    CAPTURE(fields);
    CHECK_FALSE(Decode(fields).ok());
  }
  for (const std::string& flag : {"null", "\"no\"", "0"}) {
    CAPTURE(flag);
    CHECK_FALSE(
        Decode(R"(,"tenants":[])", "\"authExempt\":" + flag + ",").ok());
  }
}

}  // namespace
}  // namespace yuccapick
